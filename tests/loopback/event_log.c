#include "event_log.h"

#include <stdlib.h>
#include <string.h>

void proof_log_add(struct proof_log *log, const struct proof_event *event) {
    if (log->count == log->room) {
        log->room = log->room ? 2 * log->room : 256;
        log->events = amb_realloc(log->events, log->room * sizeof *log->events);
    }
    log->events[log->count++] = *event;
}

const char *proof_event_text(enum proof_event_type type) {
    static const char *const texts[PROOF_EVENT_TYPES] = {
        [PROOF_HOLDER] = "holder",       [PROOF_RELEASED] = "released", [PROOF_LEASE_ENDED] = "lease-ended",
        [PROOF_ORDER] = "order",         [PROOF_ORDER_GONE] = "gone",   [PROOF_MARK] = "mark",
        [PROOF_RENTED] = "rented",       [PROOF_REPEATED] = "repeated", [PROOF_RETURNED] = "returned",
        [PROOF_STALE] = "stale-refused", [PROOF_STARTED] = "started",   [PROOF_DIED] = "died",
        [PROOF_CHARGED] = "charged",     [PROOF_INCIDENT] = "incident", [PROOF_RECOVERED] = "recovered",
        [PROOF_QUIESCED] = "quiet",
    };
    return texts[type];
}

void proof_log_write(const struct proof_log *log, FILE *out) {
    for (size_t i = 0; i < log->count; i++) {
        const struct proof_event *event = &log->events[i];
        fprintf(out, "%lld %s duty=%s name=%s machine=%s state=%s token=%llu node=%d tasks=%u silent=%d\n",
                (long long)event->at, proof_event_text(event->type), event->duty, event->name, event->machine,
                event->state, (unsigned long long)event->token, event->node, event->tasks, event->silent);
    }
}

void proof_log_free(struct proof_log *log) {
    free(log->events);
    memset(log, 0, sizeof *log);
}
