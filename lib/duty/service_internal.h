/* What the parts of the duty service share: service.c (start, end and time), service_actions.c (what the
 * core decides, carried out), service_records.c (records as they are read, and as they change),
 * service_queue.c (calls under way, the log, and events into the core). */
#ifndef AMBERPIN_DUTY_SERVICE_INTERNAL_H
#define AMBERPIN_DUTY_SERVICE_INTERNAL_H

#include "amberpin/duty/service.h"

/* A call under way; whoever gets its answer frees it. */
struct duty_call {
    struct amb_duty_service *service;
    uint64_t activation; /* of the service, when it was sent */
    uint64_t number;     /* the core's; 0: it has none */
    enum amb_duty_name duty;
    char key[AMB_DUTY_KEY_SIZE]; /* that it is about; empty: none */
};

struct duty_call *duty_call_new(struct amb_duty_service *service, uint64_t number);
/* The service that the answer is for; NULL: it has ended meanwhile. Copies the call to `out` and frees it. */
struct amb_duty_service *duty_call_take(void *arg, struct duty_call *out);

/* Feeds the core, and carries out what it decides. `now` is filled in here. */
void duty_feed_event(struct amb_duty_service *service, const struct amb_duty_event *event);
void duty_log(struct amb_duty_service *service, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

void duty_perform_action(struct amb_duty_service *service, const struct amb_duty_action *action);

struct amb_duty_intent_entry *duty_find_entry(const struct amb_duty_service *service, const char *key);
/* Feeds the core all intents: it had no room for some. */
void duty_feed_intents(struct amb_duty_service *service);
void duty_free_entries(struct amb_duty_service *service);
/* Reads one key again, and feeds the core with what is found. */
void duty_read_key(struct amb_duty_service *service, const char *key);
void duty_records_tick(struct amb_duty_service *service);

#endif
