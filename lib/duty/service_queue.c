/* Shared base of the duty service: calls in flight, the log, and the queue of events for the core. */
#include "service_internal.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- calls ---- */

struct duty_call *duty_call_new(struct amb_duty_service *service, uint64_t number) {
    struct duty_call *call = amb_alloc(sizeof *call);
    call->service = service;
    call->activation = service->activation;
    call->number = number;
    return call;
}

struct amb_duty_service *duty_call_take(void *arg, struct duty_call *out) {
    struct duty_call *call = arg;
    *out = *call;
    free(call);
    struct amb_duty_service *service = out->service;
    return service->active && service->activation == out->activation ? service : NULL;
}

void duty_log(struct amb_duty_service *service, const char *fmt, ...) {
    enum { MAX_LINE_SIZE = 400 };
    char line[MAX_LINE_SIZE];
    va_list arguments;
    va_start(arguments, fmt);
    vsnprintf(line, sizeof line, fmt, arguments);
    va_end(arguments);
    service->callbacks.log(service->callbacks.context, line);
}

/* ---- events for the core ---- */

static void enqueue(struct amb_duty_service *service, const struct amb_duty_event *event) {
    if (service->queue_count == service->queue_capacity) {
        service->queue_capacity = service->queue_capacity ? service->queue_capacity * 2 : 8;
        service->queue = amb_realloc(service->queue, service->queue_capacity * sizeof *service->queue);
    }
    service->queue[service->queue_count++] = *event;
}

static void step_next(struct amb_duty_service *service) {
    struct amb_duty_event event = service->queue[0];
    struct amb_duty_output out;
    memmove(service->queue, service->queue + 1, --service->queue_count * sizeof *service->queue);
    event.now = service->callbacks.now(service->callbacks.context);
    amb_duty_core_step(&service->core, &event, &out);
    for (uint32_t i = 0; i < out.count; i++) service->perform(service, &out.actions[i]);
    if (out.more) enqueue(service, &(struct amb_duty_event){.type = AMB_DUTY_TICK});
}

/* Carrying out an action may produce new events at once; they wait until all actions are carried out. */
void duty_feed_event(struct amb_duty_service *service, const struct amb_duty_event *event) {
    enqueue(service, event);
    if (service->is_stepping) return;
    service->is_stepping = true;
    while (service->queue_count) step_next(service);
    service->is_stepping = false;
}
