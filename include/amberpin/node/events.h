/* Events that a module posts to those above it. A module calls only what lies below; when something happens
 * that others must act on it posts an event, and the node's handler (the controller's) passes it on at once.
 */
#ifndef AMBERPIN_NODE_EVENTS_H
#define AMBERPIN_NODE_EVENTS_H

#include "amberpin/model/absence_proof.h"

struct cbor_item_t;
struct amb_job;
struct amb_machine;
struct amb_node;
struct amb_task;

enum amb_event_type {
    AMB_EVENT_LEADERSHIP_GAINED,
    AMB_EVENT_LEADERSHIP_LOST,      /* cause: why */
    AMB_EVENT_JOB_READY,            /* job: no dependency keeps it from starting */
    AMB_EVENT_JOB_HAS_DEPENDENCIES, /* job: it is accepted, and depends on others */
    AMB_EVENT_JOB_FINAL,            /* job: it is done, or cancelled by its own record */
    AMB_EVENT_PLACEMENT_DURABLE,    /* task: its start may be commanded */
    AMB_EVENT_MACHINE_ADDED,        /* machine: added to the leader's table */
    AMB_EVENT_MACHINE_REMOVED,      /* machine: it and its tasks are gone, by this proof; freed after */
    AMB_EVENT_DUTY_KEY_CHANGED,     /* change: of a key of single-holder duties */
    AMB_EVENT_STORE_LISTED,         /* every key of the state service that nodes watch has been listed */
    AMB_EVENT_CYCLE_REQUESTED,      /* a change that the next scheduling cycle should see */
};

/* A key of the state service and its present value. Borrowed: valid while the event is handled. */
struct amb_key_change {
    const char *key;
    const struct cbor_item_t *value; /* NULL: the key is gone */
    uint64_t revision;
};

/* Of the members, each type uses those that its comment names. All are borrowed. */
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

/* Calls the node's handler, and returns when it has. */
void amb_event_post(struct amb_node *node, const struct amb_event *event);
/* Posts AMB_EVENT_CYCLE_REQUESTED: the leader runs a scheduling cycle soon. */
void amb_node_request_cycle(struct amb_node *node);

#endif
