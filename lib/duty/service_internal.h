/* Declarations shared by the files of the duty service: service.c (start, stop and ticks), service_actions.c
 * (carries out actions of the core), service_records.c (reads records and follows their changes),
 * service_queue.c (calls in flight, the log, and events for the core). */
#ifndef AMBERPIN_DUTY_SERVICE_INTERNAL_H
#define AMBERPIN_DUTY_SERVICE_INTERNAL_H

#include "amberpin/duty/service.h"

/* A call in flight; the function that receives its response frees it. */
struct duty_call {
    struct amb_duty_service *service;
    uint64_t activation; /* activation of the service when the call was sent */
    uint64_t number;     /* call number of the core; 0: none */
    enum amb_duty_name duty;
    char key[AMB_DUTY_KEY_SIZE]; /* key that the call refers to; empty: none */
};

struct duty_call *duty_call_new(struct amb_duty_service *service, uint64_t number);
/* Copies the call to `out` and frees it. Returns its service, or NULL if the service has ended or was started
 * anew since the call was sent. */
struct amb_duty_service *duty_call_take(void *arg, struct duty_call *out);

/* Feeds an event to the core, with the current time as `now`, and carries out the actions. */
void duty_feed_event(struct amb_duty_service *service, const struct amb_duty_event *event);
void duty_log(struct amb_duty_service *service, const char *fmt, ...) __attribute__((format(printf, 2, 3)));

void duty_perform_action(struct amb_duty_service *service, const struct amb_duty_action *action);

struct amb_duty_intent_entry *duty_find_entry(const struct amb_duty_service *service, const char *key);
/* Feeds all intents to the core again, because some did not fit into its table. */
void duty_feed_intents(struct amb_duty_service *service);
void duty_free_entries(struct amb_duty_service *service);
/* Reads one key again and feeds the result to the core. */
void duty_read_key(struct amb_duty_service *service, const char *key);
void duty_records_tick(struct amb_duty_service *service);

#endif
