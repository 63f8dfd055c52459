/* The records of single-holder duties as this member knows them: read once, then kept current by changes. */
#include "service_internal.h"

#include "amberpin/codec/change_page.h"

#include <stdlib.h>
#include <string.h>

static bool has_prefix(const char *key, const char *prefix) {
    return !strncmp(key, prefix, strlen(prefix));
}

/* ---- intents ---- */

struct amb_duty_intent_entry *duty_find_entry(const struct amb_duty_service *service, const char *key) {
    struct amb_duty_intent_entry *entry;
    HASH_FIND_STR(service->entries, key, entry);
    return entry;
}

static struct amb_duty_intent_entry *add_entry(struct amb_duty_service *service, const char *key) {
    struct amb_duty_intent_entry *entry = amb_alloc(sizeof *entry);
    strcpy(entry->key, key);
    HASH_ADD_STR(service->entries, key, entry);
    return entry;
}

static void free_entry(struct amb_duty_service *service, struct amb_duty_intent_entry *entry) {
    HASH_DEL(service->entries, entry);
    amb_duty_intent_payload_free(&entry->payload);
    amb_duty_intent_payload_free(&entry->acquired);
    free(entry);
}

void duty_free_entries(struct amb_duty_service *service) {
    struct amb_duty_intent_entry *entry, *next;
    HASH_ITER(hh, service->entries, entry, next) free_entry(service, entry);
}

/* Feeds the record of an intent to the core. `event_type` is INTENT_CHANGED or INTENT_READ. */
static void feed_intent(struct amb_duty_service *service, enum amb_duty_event_type event_type,
                        const struct amb_duty_intent_record *record) {
    struct amb_duty_event event = {.type = event_type, .duty = record->duty, .intent = *record};
    duty_feed_event(service, &event);
}

void duty_feed_intents(struct amb_duty_service *service) {
    for (const struct amb_duty_intent_entry *entry = service->entries; entry; entry = entry->hh.next)
        if (entry->record.present) feed_intent(service, AMB_DUTY_INTENT_CHANGED, &entry->record);
}

/* While all records are being read, the entry of a removed intent stays with the revision of the removal;
 * otherwise a page that was made before the removal would restore the intent. */
static void remove_intent(struct amb_duty_service *service, enum amb_duty_event_type event_type,
                          const char *key, struct amb_duty_intent_record *record) {
    struct amb_duty_intent_entry *entry = duty_find_entry(service, key);
    if (entry && record->revision <= entry->record.revision) return;
    if (!entry && service->listing) entry = add_entry(service, key);
    if (entry) entry->record = *record;
    feed_intent(service, event_type, record);
    service->callbacks.intent_changed(service->callbacks.context, record, NULL);
    if (entry && !service->listing) free_entry(service, entry);
}

static void apply_intent(struct amb_duty_service *service, enum amb_duty_event_type event_type,
                         const char *key, const struct amb_cbor_item *value, uint64_t revision) {
    struct amb_duty_intent_record record = {.revision = revision};
    struct amb_duty_intent_payload payload;
    if (!amb_duty_parse_intent_key(key, &record.duty, record.id)) return;
    if (!value) {
        remove_intent(service, event_type, key, &record);
        return;
    }
    struct amb_duty_intent_entry *entry = duty_find_entry(service, key);
    if (entry) entry->listed = true;
    if (entry && revision <= entry->record.revision) return;
    if (amb_duty_decode_intent(value, &record, &payload) != AMB_DUTY_DECODED) {
        duty_log(service, "duty %s: ignoring intent %s: unknown record version",
                 amb_duty_name_text(record.duty), record.id);
        record = (struct amb_duty_intent_record){.revision = revision, .duty = record.duty};
        amb_duty_parse_intent_key(key, &record.duty, record.id);
        remove_intent(service, event_type, key, &record);
        return;
    }
    if (!entry) entry = add_entry(service, key);
    entry->listed = true;
    entry->record = record;
    amb_duty_intent_payload_free(&entry->payload);
    entry->payload = payload;
    feed_intent(service, event_type, &record);
    service->callbacks.intent_changed(service->callbacks.context, &entry->record, &entry->payload);
}

/* ---- duties and members ---- */

static void log_holder(struct amb_duty_service *service, enum amb_duty_name duty,
                       const struct amb_duty_record *record) {
    const struct amb_duty_holder_change *last = NULL;
    for (uint32_t i = service->holder_changes; i > 0 && !last; i--) {
        if (service->holder_changes - i >= AMB_DUTY_HOLDER_HISTORY) break;
        const struct amb_duty_holder_change *seen =
            &service->holder_history[(i - 1) % AMB_DUTY_HOLDER_HISTORY];
        if (seen->duty == duty) last = seen;
    }
    if (record->state == AMB_DUTY_RECORD_RELEASED) {
        duty_log(service, "duty %s: released by %s, token %llu: %s", amb_duty_name_text(duty), record->holder,
                 (unsigned long long)record->fencing_token, record->cause);
        return;
    }
    if (last && record->fencing_token <= last->fencing_token) return;
    duty_log(service, "duty %s: held by %s, token %llu: %s", amb_duty_name_text(duty), record->holder,
             (unsigned long long)record->fencing_token, record->cause);
    struct amb_duty_holder_change *seen =
        &service->holder_history[service->holder_changes++ % AMB_DUTY_HOLDER_HISTORY];
    struct amb_duty_holder_change entry = {.duty = duty,
                                           .fencing_token = record->fencing_token,
                                           .at = service->callbacks.now(service->callbacks.context)};
    if (last) strcpy(entry.from, last->to);
    strcpy(entry.to, record->holder);
    strcpy(entry.cause, record->cause);
    *seen = entry;
}

static void apply_record(struct amb_duty_service *service, const char *name,
                         const struct amb_cbor_item *value, uint64_t revision) {
    struct amb_duty_event event = {.type = AMB_DUTY_RECORD_CHANGED, .record = {.revision = revision}};
    if (!amb_duty_name_parse(name, &event.duty)) return;
    const struct amb_duty *duty = &service->core.duties[event.duty];
    service->record_listed[event.duty] = true;
    if (value && amb_duty_decode_record(value, &event.record) != AMB_DUTY_DECODED) {
        if (!service->unknown_version[event.duty])
            duty_log(service, "duty %s: ignoring its record: unknown version", name);
        service->unknown_version[event.duty] = true;
        return;
    }
    if (duty->record_known && revision < duty->record.revision) return;
    service->unknown_version[event.duty] = false;
    if (value) log_holder(service, event.duty, &event.record);
    duty_feed_event(service, &event);
}

static bool is_listed(const struct amb_duty_service *service, const char *member) {
    for (uint32_t i = 0; i < service->listed_member_count; i++)
        if (!strcmp(service->listed_members[i], member)) return true;
    return false;
}

static void apply_member(struct amb_duty_service *service, const char *member,
                         const struct amb_cbor_item *value, uint64_t revision) {
    struct amb_duty_event event = {.type = AMB_DUTY_MEMBER_CHANGED, .member = {.revision = revision}};
    if (strlen(member) >= AMB_NAME_SIZE) return;
    strcpy(event.member.member, member);
    /* A member whose key has an unknown version counts as alive, so its duties are not claimed. */
    if (value && amb_duty_decode_member(value, &event.member) != AMB_DUTY_DECODED)
        event.member.present = true;
    if (value && !is_listed(service, member) && service->listed_member_count < AMB_DUTY_MAX_MEMBERS)
        strcpy(service->listed_members[service->listed_member_count++], member);
    duty_feed_event(service, &event);
}

static void apply_handover(struct amb_duty_service *service, const char *name,
                           const struct amb_cbor_item *value, uint64_t revision) {
    enum amb_duty_name duty;
    struct amb_duty_handover handover;
    if (!value || !amb_duty_name_parse(name, &duty) || revision <= service->handover_revision[duty] ||
        amb_duty_decode_handover(value, &handover) != AMB_DUTY_DECODED)
        return;
    service->handover_revision[duty] = revision;
    service->handover[duty] = handover;
    duty_log(service, "duty %s: an operator requested a handover to %s", name,
             handover.successor[0] ? handover.successor : "any other member");
}

void amb_duty_service_apply_change(struct amb_duty_service *service, const char *key,
                                   const struct amb_cbor_item *value, uint64_t revision) {
    if (!service->active) return;
    if (has_prefix(key, AMB_DUTY_RECORD_KEYS))
        apply_record(service, key + strlen(AMB_DUTY_RECORD_KEYS), value, revision);
    else if (has_prefix(key, AMB_DUTY_MEMBER_KEYS))
        apply_member(service, key + strlen(AMB_DUTY_MEMBER_KEYS), value, revision);
    else if (has_prefix(key, AMB_DUTY_HANDOVER_KEYS))
        apply_handover(service, key + strlen(AMB_DUTY_HANDOVER_KEYS), value, revision);
    else if (has_prefix(key, AMB_DUTY_INTENT_KEYS))
        apply_intent(service, AMB_DUTY_INTENT_CHANGED, key, value, revision);
}

/* ---- reads ---- */

/* Applies the read of one key; `value` is NULL if the key is absent. An intent that the core has removed
 * since is not added to its table again, even if the removal has not been received yet. */
static void apply_read(struct amb_duty_service *service, const char *key, const struct amb_cbor_item *value,
                       uint64_t revision) {
    if (has_prefix(key, AMB_DUTY_INTENT_KEYS))
        apply_intent(service, AMB_DUTY_INTENT_READ, key, value, revision);
    else
        amb_duty_service_apply_change(service, key, value, revision);
}

/* Applies a page and copies its last key to `after`. Returns true if `key` is among its keys. With a `key`,
 * the page is the response to a read of that key alone. */
static bool apply_page(struct amb_duty_service *service, const struct amb_list_page *page, const char *key,
                       char *after, size_t cap) {
    struct amb_parsed_change pair;
    struct amb_cbor_cursor position = page->pairs;
    bool found = false;
    while (amb_list_page_next(&position, &pair)) {
        if (key && !strcmp(pair.key, key)) found = true;
        /* Only known intents are read, so this one was removed since. */
        bool is_intent = has_prefix(pair.key, AMB_DUTY_INTENT_KEYS);
        if (key && is_intent && !duty_find_entry(service, pair.key)) continue;
        if (key)
            apply_read(service, pair.key, pair.value, pair.revision);
        else
            amb_duty_service_apply_change(service, pair.key, pair.value, pair.revision);
        if (after && strlen(pair.key) < cap) strcpy(after, pair.key);
    }
    return found;
}

static void handle_read(void *arg, int status, const struct amb_cbor_item *body) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    struct amb_list_page page;
    /* After a failure the core requests the read again later. */
    if (!service || status != 200 || !amb_list_page_decode(body, &page)) return;
    bool found = apply_page(service, &page, call.key, NULL, 0);
    if (!found) apply_read(service, call.key, NULL, page.store_revision);
}

void duty_read_key(struct amb_duty_service *service, const char *key) {
    struct duty_call *call = duty_call_new(service, 0);
    strcpy(call->key, key);
    service->callbacks.kvstore.list(service->callbacks.kvstore.context, key, "", handle_read, call);
}

static void request_next_page(struct amb_duty_service *service);

static void finish_members(struct amb_duty_service *service, uint64_t revision) {
    for (int i = 0; i < AMB_DUTY_MAX_MEMBERS; i++) {
        const struct amb_duty_member *member = &service->core.members[i];
        if (member->alive && !is_listed(service, member->name) && member->incarnation <= revision)
            apply_member(service, member->name, NULL, revision);
    }
}

static void finish_duties(struct amb_duty_service *service, uint64_t revision) {
    finish_members(service, revision);
    for (int i = 0; i < AMB_DUTY_COUNT; i++)
        if (!service->record_listed[i])
            apply_record(service, amb_duty_name_text((enum amb_duty_name)i), NULL, revision);
    service->listing_prefix = AMB_DUTY_INTENT_KEYS;
    service->listing_cursor[0] = 0;
    service->listing_revision = 0;
    request_next_page(service);
}

static void finish_intents(struct amb_duty_service *service, uint64_t revision) {
    struct amb_duty_intent_entry *entry, *next;
    service->listing = false;
    HASH_ITER(hh, service->entries, entry, next) {
        if (!entry->record.present) {
            free_entry(service, entry);
        } else if (!entry->listed && entry->record.revision <= revision) {
            char key[AMB_DUTY_KEY_SIZE];
            strcpy(key, entry->key);
            apply_intent(service, AMB_DUTY_INTENT_CHANGED, key, NULL, revision);
        }
    }
    bool first = !service->loaded;
    service->loaded = true;
    if (first) service->callbacks.loaded(service->callbacks.context);
}

static void handle_page(void *arg, int status, const struct amb_cbor_item *body) {
    struct duty_call call;
    struct amb_duty_service *service = duty_call_take(arg, &call);
    struct amb_list_page page;
    if (!service || !service->listing) return;
    if (status != 200 || !amb_list_page_decode(body, &page)) {
        service->listing_retry_at =
            service->callbacks.now(service->callbacks.context) + service->core.settings.call_timeout;
        return;
    }
    if (!service->listing_revision) service->listing_revision = page.store_revision;
    apply_page(service, &page, NULL, service->listing_cursor, sizeof service->listing_cursor);
    if (page.has_more)
        request_next_page(service);
    else if (!strcmp(service->listing_prefix, AMB_DUTY_KEYS))
        finish_duties(service, service->listing_revision);
    else
        finish_intents(service, service->listing_revision);
}

static void request_next_page(struct amb_duty_service *service) {
    service->listing_retry_at = 0;
    service->callbacks.kvstore.list(service->callbacks.kvstore.context, service->listing_prefix,
                                    service->listing_cursor, handle_page, duty_call_new(service, 0));
}

/* Only one read of all records runs at a time. Revisions tell changes received meanwhile from older pages. */
void amb_duty_service_read_all(struct amb_duty_service *service) {
    struct amb_duty_intent_entry *entry, *next;
    if (!service->active || service->listing) return;
    service->listing = true;
    service->listing_prefix = AMB_DUTY_KEYS;
    service->listing_cursor[0] = 0;
    service->listing_revision = 0;
    service->listed_member_count = 0;
    memset(service->record_listed, 0, sizeof service->record_listed);
    HASH_ITER(hh, service->entries, entry, next) entry->listed = false;
    request_next_page(service);
}

void duty_records_tick(struct amb_duty_service *service) {
    if (!service->listing || !service->listing_retry_at) return;
    if (service->callbacks.now(service->callbacks.context) >= service->listing_retry_at)
        request_next_page(service);
}
