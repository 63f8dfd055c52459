#include "checker.h"

#include <string.h>

struct check {
    const struct proof_log *log;
    struct proof_terms terms;
    size_t at; /* index of the event that is checked */
    struct proof_verdict *verdict;
};

static void violated(struct check *check, enum proof_violation_type type) {
    struct proof_verdict *verdict = check->verdict;
    if (verdict->violations < sizeof verdict->first / sizeof *verdict->first)
        verdict->first[verdict->violations] = (struct proof_violation){type, check->at};
    verdict->violations++;
}

static bool same_machine(const struct proof_event *left, const struct proof_event *right) {
    return !strcmp(left->machine, right->machine);
}

static bool same_order(const struct proof_event *left, const struct proof_event *right) {
    return !strcmp(left->name, right->name) && !strcmp(left->duty, right->duty);
}

static bool same_duty(const struct proof_event *left, const struct proof_event *right) {
    return !strcmp(left->duty, right->duty);
}

/* The latest event of this type before the checked one for which `same` holds; NULL: none. */
static const struct proof_event *earlier(const struct check *check, enum proof_event_type type,
                                         bool (*same)(const struct proof_event *,
                                                      const struct proof_event *)) {
    const struct proof_event *event = &check->log->events[check->at];
    for (size_t i = check->at; i-- > 0;) {
        const struct proof_event *other = &check->log->events[i];
        if (other->type == type && same(other, event)) return other;
    }
    return NULL;
}

static bool is_of_another_moment(const struct proof_event *left, const struct proof_event *right) {
    return !strcmp(left->name, right->name) && left->at != right->at;
}

/* Counts an order that took effect after its holder was replaced. */
static void note_late(struct check *check) {
    const struct proof_event *holder = earlier(check, PROOF_HOLDER, same_duty);
    if (holder && check->log->events[check->at].token < holder->token) check->verdict->late++;
}

/* A cloud that checks tokens and has seen a newer one has to refuse this order. */
static void check_token(struct check *check) {
    static const enum proof_event_type shown[] = {PROOF_RENTED, PROOF_REPEATED, PROOF_RETURNED};
    const struct proof_event *event = &check->log->events[check->at];
    if (!check->terms.tokens_checked) return;
    for (size_t i = 0; i < check->at; i++) {
        const struct proof_event *other = &check->log->events[i];
        bool at_cloud = other->type == shown[0] || other->type == shown[1] || other->type == shown[2];
        if (!at_cloud || !same_duty(other, event) || other->token <= event->token) continue;
        violated(check, PROOF_STALE_ORDER);
        return;
    }
}

static void check_repeated(struct check *check) {
    check->verdict->repeats++;
    if (!check->terms.recorded) return;
    note_late(check);
    check_token(check);
}

/* One request may rent several machines, all at the same time. */
static void check_rented(struct check *check) {
    check->verdict->rents++;
    if (earlier(check, PROOF_RENTED, same_machine) || earlier(check, PROOF_RENTED, is_of_another_moment))
        violated(check, PROOF_RENTED_TWICE);
    if (!check->terms.recorded) return;
    note_late(check);
    check_token(check);
    const struct proof_event *record = earlier(check, PROOF_ORDER, same_order);
    const struct proof_event *removed = earlier(check, PROOF_ORDER_GONE, same_order);
    if (!record || !strcmp(record->state, "wanted"))
        violated(check, PROOF_UNRECORDED);
    else if (!strcmp(record->state, "void") || (removed && removed > record))
        violated(check, PROOF_STALE_ORDER);
}

static void check_returned(struct check *check) {
    const struct proof_event *event = &check->log->events[check->at];
    check->verdict->returns++;
    const struct proof_event *mark = earlier(check, PROOF_MARK, same_machine);
    bool given_up = event->silent || (mark && !strcmp(mark->duty, "reclaim"));
    if (event->tasks && !given_up) violated(check, PROOF_RETURNED_IN_USE);
    if (!check->terms.recorded) return;
    note_late(check);
    check_token(check);
    if (!mark) violated(check, PROOF_RETURNED_UNMARKED);
}

static void check_started(struct check *check) {
    check->verdict->starts++;
    if (earlier(check, PROOF_MARK, same_machine)) violated(check, PROOF_PLACED_LEAVING);
}

static void check_holder(struct check *check) {
    const struct proof_event *event = &check->log->events[check->at];
    const struct proof_event *before = earlier(check, PROOF_HOLDER, same_duty);
    /* With duties switched on, changes of the leader are no handovers of a duty. */
    if (!before || (check->terms.recorded && !strcmp(event->duty, "leader"))) return;
    if (strcmp(before->name, event->name))
        check->verdict->handovers++;
    else
        check->verdict->again++;
    if (event->token <= before->token) violated(check, PROOF_TOKEN_FELL);
}

static void check_event(struct check *check) {
    switch (check->log->events[check->at].type) {
    case PROOF_HOLDER: check_holder(check); break;
    case PROOF_RENTED: check_rented(check); break;
    case PROOF_REPEATED: check_repeated(check); break;
    case PROOF_RETURNED: check_returned(check); break;
    case PROOF_STALE: check->verdict->stale_refused++; break;
    case PROOF_STARTED: check_started(check); break;
    case PROOF_CHARGED: violated(check, PROOF_ORPHAN); break;
    case PROOF_INCIDENT: check->verdict->incidents++; break;
    default: break;
    }
}

void proof_check(const struct proof_log *log, struct proof_terms terms, struct proof_verdict *verdict) {
    struct check check = {.log = log, .terms = terms, .verdict = verdict};
    memset(verdict, 0, sizeof *verdict);
    for (; check.at < log->count; check.at++) check_event(&check);
}

const char *proof_violation_text(enum proof_violation_type type) {
    static const char *const texts[PROOF_VIOLATION_TYPES] = {
        [PROOF_RENTED_TWICE] = "rented twice",
        [PROOF_TOKEN_FELL] = "a token did not rise with its holder",
        [PROOF_STALE_ORDER] = "a stale order was acted on",
        [PROOF_UNRECORDED] = "an order was not recorded as sent before it took effect",
        [PROOF_RETURNED_IN_USE] = "a machine in use was returned",
        [PROOF_PLACED_LEAVING] = "a task started on a machine that was leaving",
        [PROOF_RETURNED_UNMARKED] = "a machine was returned without a mark",
        [PROOF_ORPHAN] = "a machine is charged that nobody uses or returns",
    };
    return texts[type];
}
