/* What the stand-ins saw, in the order in which they saw it. The checker judges a run by this alone. */
#ifndef AMBERPIN_TESTS_LOOPBACK_EVENT_LOG_H
#define AMBERPIN_TESTS_LOOPBACK_EVENT_LOG_H

#include "amberpin/base/util.h"

#include <stdio.h>

enum { PROOF_NAME = 64 };

enum proof_event_type {
    /* state service */
    PROOF_HOLDER,      /* a duty's record names a new holder: duty, name (holder), token */
    PROOF_RELEASED,    /* a duty's record says that it was handed back: duty, name (holder), token */
    PROOF_LEASE_ENDED, /* with it ends the right of its holder: duty (leader), or all duties of name (node) */
    PROOF_ORDER,       /* an order's record was written: duty, name (order), state, token */
    PROOF_ORDER_GONE,  /* an order's record was removed: duty, name */
    PROOF_MARK,        /* a machine is recorded as leaving for good: duty, name (order), machine */
    /* cloud */
    PROOF_RENTED,   /* a request took effect, one event for each machine: name (request), machine, token */
    PROOF_REPEATED, /* an order changed nothing: what it asks for was done before: duty, name, token */
    PROOF_RETURNED, /* a machine that was there ended: duty, machine, token, tasks, silent */
    PROOF_STALE,    /* an order under an old token was refused: duty, token */
    /* machines */
    PROOF_STARTED, /* a task started: machine, name (task) */
    PROOF_DIED,    /* a machine stopped of itself: machine */
    PROOF_CHARGED, /* at the end, once quiet: a machine is there still: machine, tasks */
    /* the run's own doings */
    PROOF_INCIDENT,  /* name (what), node */
    PROOF_RECOVERED, /* what was done to a node is undone: name (what), node */
    PROOF_QUIET,     /* no more trouble from here on */
    PROOF_EVENT_TYPES,
};

struct proof_event {
    enum proof_event_type type;
    amb_ms at;
    char duty[16], name[PROOF_NAME], machine[PROOF_NAME], state[16];
    uint64_t token;
    int node;       /* that it concerns; -1: none */
    uint32_t tasks; /* that ran on the machine */
    bool silent;    /* the machine had not been heard for its lease, or had failed */
};

struct proof_log {
    struct proof_event *events;
    size_t count, room;
};

/* Appends a copy. */
void proof_log_add(struct proof_log *log, const struct proof_event *event);
void proof_log_write(const struct proof_log *log, FILE *out);
void proof_log_free(struct proof_log *log);
const char *proof_event_text(enum proof_event_type type);

#endif
