/* The records of single-holder duties as this member knows them: read once, and followed by news. */
#include "service_internal.h"

#include <stdlib.h>
#include <string.h>

static bool begins(const char *key, const char *prefix) {
    return !strncmp(key, prefix, strlen(prefix));
}

/* ---- orders ---- */

struct amb_duty_order_entry *duty_entry_find(const struct amb_duty_service *service, const char *key) {
    struct amb_duty_order_entry *entry;
    HASH_FIND_STR(service->entries, key, entry);
    return entry;
}

static struct amb_duty_order_entry *entry_add(struct amb_duty_service *service, const char *key) {
    struct amb_duty_order_entry *entry = amb_alloc(sizeof *entry);
    strcpy(entry->key, key);
    HASH_ADD_STR(service->entries, key, entry);
    return entry;
}

static void entry_free(struct amb_duty_service *service, struct amb_duty_order_entry *entry) {
    HASH_DEL(service->entries, entry);
    amb_duty_work_free(&entry->work);
    amb_duty_work_free(&entry->rented);
    free(entry);
}

void duty_entries_free(struct amb_duty_service *service) {
    struct amb_duty_order_entry *entry, *next;
    HASH_ITER(hh, service->entries, entry, next) entry_free(service, entry);
}

/* How what is known of an order was learnt: ORDER_CHANGED or ORDER_READ. */
static void feed_order(struct amb_duty_service *service, enum amb_duty_event_type how,
                       const struct amb_duty_order_record *record) {
    struct amb_duty_event event = {.type = how, .duty = record->duty, .order = *record};
    duty_feed(service, &event);
}

void duty_feed_orders(struct amb_duty_service *service) {
    for (const struct amb_duty_order_entry *entry = service->entries; entry; entry = entry->hh.next)
        if (entry->record.present) feed_order(service, AMB_DUTY_ORDER_CHANGED, &entry->record);
}

/* While all records are being read, what is removed leaves its stamp behind: a page that was made before
 * would bring it back. */
static void order_gone(struct amb_duty_service *service, enum amb_duty_event_type how, const char *key,
                       struct amb_duty_order_record *record) {
    struct amb_duty_order_entry *entry = duty_entry_find(service, key);
    if (entry && record->stamp <= entry->record.stamp) return;
    if (!entry && service->listing) entry = entry_add(service, key);
    if (entry) entry->record = *record;
    feed_order(service, how, record);
    service->ports.order_changed(service->ports.context, record, NULL);
    if (entry && !service->listing) entry_free(service, entry);
}

static void order_news(struct amb_duty_service *service, enum amb_duty_event_type how, const char *key,
                       const cbor_item_t *value, uint64_t stamp) {
    struct amb_duty_order_record record = {.stamp = stamp};
    struct amb_duty_work work;
    if (!amb_duty_parse_order_key(key, &record.duty, record.id)) return;
    if (!value) {
        order_gone(service, how, key, &record);
        return;
    }
    struct amb_duty_order_entry *entry = duty_entry_find(service, key);
    if (entry) entry->listed = true;
    if (entry && stamp <= entry->record.stamp) return;
    if (amb_duty_decode_order(value, &record, &work) != AMB_DUTY_DECODED) {
        duty_log(service, "duty %s: order %s is of a form that is not known: left alone",
                 amb_duty_name_text(record.duty), record.id);
        record = (struct amb_duty_order_record){.stamp = stamp, .duty = record.duty};
        amb_duty_parse_order_key(key, &record.duty, record.id);
        order_gone(service, how, key, &record);
        return;
    }
    if (!entry) entry = entry_add(service, key);
    entry->listed = true;
    entry->record = record;
    amb_duty_work_free(&entry->work);
    entry->work = work;
    feed_order(service, how, &record);
    service->ports.order_changed(service->ports.context, &entry->record, &entry->work);
}

/* ---- duties and members ---- */

static void note_holder(struct amb_duty_service *service, enum amb_duty_name duty,
                        const struct amb_duty_record *record) {
    const struct amb_duty_handover_seen *last = NULL;
    for (uint32_t i = service->handover_count; i > 0 && !last; i--) {
        if (service->handover_count - i >= AMB_DUTY_HANDOVERS_KEPT) break;
        const struct amb_duty_handover_seen *seen = &service->handovers[(i - 1) % AMB_DUTY_HANDOVERS_KEPT];
        if (seen->duty == duty) last = seen;
    }
    if (record->state == AMB_DUTY_RECORD_RELEASED) {
        duty_log(service, "duty %s: released by %s, token %llu: %s", amb_duty_name_text(duty), record->holder,
                 (unsigned long long)record->token, record->cause);
        return;
    }
    if (last && record->token <= last->token) return;
    duty_log(service, "duty %s: held by %s, token %llu: %s", amb_duty_name_text(duty), record->holder,
             (unsigned long long)record->token, record->cause);
    struct amb_duty_handover_seen *seen =
        &service->handovers[service->handover_count++ % AMB_DUTY_HANDOVERS_KEPT];
    struct amb_duty_handover_seen entry = {
        .duty = duty, .token = record->token, .at = service->ports.now(service->ports.context)};
    if (last) strcpy(entry.from, last->to);
    strcpy(entry.to, record->holder);
    strcpy(entry.cause, record->cause);
    *seen = entry;
}

static void record_news(struct amb_duty_service *service, const char *name, const cbor_item_t *value,
                        uint64_t stamp) {
    struct amb_duty_event event = {.type = AMB_DUTY_RECORD_CHANGED, .record = {.stamp = stamp}};
    if (!amb_duty_name_parse(name, &event.duty)) return;
    const struct amb_duty *duty = &service->core.duties[event.duty];
    service->record_listed[event.duty] = true;
    if (value && amb_duty_decode_record(value, &event.record) != AMB_DUTY_DECODED) {
        if (!service->unknown_form[event.duty])
            duty_log(service, "duty %s: its record is of a form that is not known: left alone", name);
        service->unknown_form[event.duty] = true;
        return;
    }
    if (duty->record_known && stamp < duty->record.stamp) return;
    service->unknown_form[event.duty] = false;
    if (value) note_holder(service, event.duty, &event.record);
    duty_feed(service, &event);
}

static bool is_listed(const struct amb_duty_service *service, const char *member) {
    for (uint32_t i = 0; i < service->listed_member_count; i++)
        if (!strcmp(service->listed_members[i], member)) return true;
    return false;
}

static void member_news(struct amb_duty_service *service, const char *member, const cbor_item_t *value,
                        uint64_t stamp) {
    struct amb_duty_event event = {.type = AMB_DUTY_MEMBER_CHANGED, .member = {.stamp = stamp}};
    if (strlen(member) >= AMB_NAME_SIZE) return;
    strcpy(event.member.member, member);
    /* One of a form that is not known is alive: its duties are not taken. */
    if (value && amb_duty_decode_member(value, &event.member) != AMB_DUTY_DECODED)
        event.member.present = true;
    if (value && !is_listed(service, member) && service->listed_member_count < AMB_DUTY_MEMBERS)
        strcpy(service->listed_members[service->listed_member_count++], member);
    duty_feed(service, &event);
}

static void handover_news(struct amb_duty_service *service, const char *name, const cbor_item_t *value,
                          uint64_t stamp) {
    enum amb_duty_name duty;
    struct amb_duty_handover wish;
    if (!value || !amb_duty_name_parse(name, &duty) || stamp <= service->handover_stamp[duty] ||
        amb_duty_decode_handover(value, &wish) != AMB_DUTY_DECODED)
        return;
    service->handover_stamp[duty] = stamp;
    service->handover[duty] = wish;
    duty_log(service, "duty %s: an operator wants it handed over to %s", name,
             wish.successor[0] ? wish.successor : "anybody else");
}

void amb_duty_service_news(struct amb_duty_service *service, const char *key, const cbor_item_t *value,
                           uint64_t stamp) {
    if (!service->active) return;
    if (begins(key, AMB_DUTY_RECORD_KEYS))
        record_news(service, key + strlen(AMB_DUTY_RECORD_KEYS), value, stamp);
    else if (begins(key, AMB_DUTY_MEMBER_KEYS))
        member_news(service, key + strlen(AMB_DUTY_MEMBER_KEYS), value, stamp);
    else if (begins(key, AMB_DUTY_HANDOVER_KEYS))
        handover_news(service, key + strlen(AMB_DUTY_HANDOVER_KEYS), value, stamp);
    else if (begins(key, AMB_DUTY_ORDER_KEYS))
        order_news(service, AMB_DUTY_ORDER_CHANGED, key, value, stamp);
}

/* ---- reading ---- */

/* What the read of one key found; value NULL: it is not there. An order that the core has removed meanwhile
 * is not added to its ledger again, though the news of the removal has not come yet. */
static void key_found(struct amb_duty_service *service, const char *key, const cbor_item_t *value,
                      uint64_t stamp) {
    if (begins(key, AMB_DUTY_ORDER_KEYS))
        order_news(service, AMB_DUTY_ORDER_READ, key, value, stamp);
    else
        amb_duty_service_news(service, key, value, stamp);
}

/* Applies a page; its last key goes to `after`. How many keys it has, and whether `key` is among them. */
static size_t apply_page(struct amb_duty_service *service, const cbor_item_t *body, const char *key,
                         bool *found, char *after, size_t cap) {
    const cbor_item_t *pairs = amb_cbor_get(body, "pairs");
    size_t count = amb_cbor_len(pairs);
    for (size_t i = 0; i < count; i++) {
        const cbor_item_t *pair = amb_cbor_at(pairs, i);
        char path[256];
        uint64_t stamp;
        if (!amb_cbor_str(amb_cbor_get(pair, "path"), path, sizeof path) ||
            !amb_cbor_uint(amb_cbor_get(pair, "stamp"), &stamp))
            continue;
        const cbor_item_t *value = amb_cbor_get(pair, "value");
        if (key && !strcmp(path, key)) *found = true;
        /* Only orders that are known are read: this one has been removed since, and news of it came first. */
        bool is_order = begins(path, AMB_DUTY_ORDER_KEYS);
        if (key && is_order && !duty_entry_find(service, path)) continue;
        if (key)
            key_found(service, path, value, stamp);
        else
            amb_duty_service_news(service, path, value, stamp);
        if (after && strlen(path) < cap) strcpy(after, path);
    }
    return count;
}

static void key_read(void *arg, int status, const cbor_item_t *body) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    uint64_t epoch;
    bool found = false;
    /* The core asks again, in time. */
    if (!service || status != 200 || !amb_cbor_uint(amb_cbor_get(body, "epoch"), &epoch)) return;
    apply_page(service, body, call.key, &found, NULL, 0);
    if (!found) key_found(service, call.key, NULL, epoch);
}

void duty_read_key(struct amb_duty_service *service, const char *key) {
    struct duty_call *call = duty_call_new(service, 0);
    strcpy(call->key, key);
    service->ports.state.list(service->ports.state.context, key, "", key_read, call);
}

static void list_next(struct amb_duty_service *service);

static void members_over(struct amb_duty_service *service, uint64_t epoch) {
    for (int i = 0; i < AMB_DUTY_MEMBERS; i++) {
        const struct amb_duty_member *member = &service->core.members[i];
        if (member->alive && !is_listed(service, member->name) && member->session <= epoch)
            member_news(service, member->name, NULL, epoch);
    }
}

static void duties_over(struct amb_duty_service *service, uint64_t epoch) {
    members_over(service, epoch);
    for (int i = 0; i < AMB_DUTY_NAMES; i++)
        if (!service->record_listed[i])
            record_news(service, amb_duty_name_text((enum amb_duty_name)i), NULL, epoch);
    service->listing_prefix = AMB_DUTY_ORDER_KEYS;
    service->listing_after[0] = 0;
    service->listing_epoch = 0;
    list_next(service);
}

static void orders_over(struct amb_duty_service *service, uint64_t epoch) {
    struct amb_duty_order_entry *entry, *next;
    service->listing = false;
    HASH_ITER(hh, service->entries, entry, next) {
        if (!entry->record.present) {
            entry_free(service, entry);
        } else if (!entry->listed && entry->record.stamp <= epoch) {
            char key[AMB_DUTY_KEY];
            strcpy(key, entry->key);
            order_news(service, AMB_DUTY_ORDER_CHANGED, key, NULL, epoch);
        }
    }
    bool first = !service->loaded;
    service->loaded = true;
    if (first) service->ports.loaded(service->ports.context);
}

static void listed(void *arg, int status, const cbor_item_t *body) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    uint64_t epoch;
    bool found, more = false;
    if (!service || !service->listing) return;
    if (status != 200 || !amb_cbor_uint(amb_cbor_get(body, "epoch"), &epoch)) {
        service->listing_retry_at =
            service->ports.now(service->ports.context) + service->core.settings.call_timeout;
        return;
    }
    if (!service->listing_epoch) service->listing_epoch = epoch;
    size_t count =
        apply_page(service, body, NULL, &found, service->listing_after, sizeof service->listing_after);
    amb_cbor_bool(amb_cbor_get(body, "truncated"), &more);
    if (more && count)
        list_next(service);
    else if (!strcmp(service->listing_prefix, AMB_DUTY_KEYS))
        duties_over(service, service->listing_epoch);
    else
        orders_over(service, service->listing_epoch);
}

static void list_next(struct amb_duty_service *service) {
    service->listing_retry_at = 0;
    service->ports.state.list(service->ports.state.context, service->listing_prefix, service->listing_after,
                              listed, duty_call_new(service, 0));
}

/* One reading at a time. News that comes meanwhile is told from older pages by its stamps. */
void amb_duty_service_read_all(struct amb_duty_service *service) {
    struct amb_duty_order_entry *entry, *next;
    if (!service->active || service->listing) return;
    service->listing = true;
    service->listing_prefix = AMB_DUTY_KEYS;
    service->listing_after[0] = 0;
    service->listing_epoch = 0;
    service->listed_member_count = 0;
    memset(service->record_listed, 0, sizeof service->record_listed);
    HASH_ITER(hh, service->entries, entry, next) entry->listed = false;
    list_next(service);
}

void duty_records_tick(struct amb_duty_service *service) {
    if (!service->listing || !service->listing_retry_at) return;
    if (service->ports.now(service->ports.context) >= service->listing_retry_at) list_next(service);
}
