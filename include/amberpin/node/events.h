/* Events that a module posts to the modules above it. A module calls only modules below it. When something
 * happens that higher modules must act on, it posts an event, which the node's handler (set by the
 * controller) dispatches at once. */
#ifndef AMBERPIN_NODE_EVENTS_H
#define AMBERPIN_NODE_EVENTS_H

#include "amberpin/model/absence_proof.h"

struct amb_cbor_item;
struct amb_job;
struct amb_machine;
struct amb_node;
struct amb_task;

enum amb_event_type {
    AMB_EVENT_LEADERSHIP_GAINED,
    AMB_EVENT_LEADERSHIP_LOST,      /* cause: the reason */
    AMB_EVENT_JOB_READY,            /* job: no dependency prevents it from starting */
    AMB_EVENT_JOB_HAS_DEPENDENCIES, /* job: it is accepted and depends on other jobs */
    AMB_EVENT_JOB_FINAL,            /* job: it is done, or cancelled by its own record */
    AMB_EVENT_PLACEMENT_DURABLE,    /* task: its run command may be sent */
    AMB_EVENT_MACHINE_ADDED,        /* machine: added to the leader's table */
    AMB_EVENT_MACHINE_REMOVED,      /* machine, proof: it and its tasks are gone; freed afterwards */
    AMB_EVENT_DUTY_KEY_CHANGED,     /* change: to a key of the single-holder duties */
    AMB_EVENT_STORE_LISTED,         /* all keys of the state service that nodes watch have been listed */
    AMB_EVENT_CYCLE_REQUESTED,      /* a scheduling cycle should run soon */
};

/* A key of the state service and its present value, valid only while the event is handled. */
struct amb_key_change {
    const char *key;
    const struct amb_cbor_item *value; /* NULL: the key has been removed */
    uint64_t revision;
};

/* Each type uses only the members that its comment names. All pointers are borrowed. */
struct amb_event {
    enum amb_event_type type;
    enum amb_absence proof;
    struct amb_job *job;
    struct amb_task *task;
    struct amb_machine *machine;
    struct amb_key_change change;
    const char *cause;
};

typedef void (*amb_event_handler)(struct amb_node *node, const struct amb_event *event);

/* Calls the node's handler synchronously. */
void amb_event_post(struct amb_node *node, const struct amb_event *event);
/* Posts AMB_EVENT_CYCLE_REQUESTED: the leader runs a scheduling cycle soon. */
void amb_node_request_cycle(struct amb_node *node);

#endif
