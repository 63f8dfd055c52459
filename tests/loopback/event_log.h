/* Log of the events that the stand-ins observe, in order. The checker judges a run by this log alone. */
#ifndef AMBERPIN_TESTS_LOOPBACK_EVENT_LOG_H
#define AMBERPIN_TESTS_LOOPBACK_EVENT_LOG_H

#include "amberpin/base/util.h"

#include <stdio.h>

enum { PROOF_NAME = 64 };

enum proof_event_type {
    /* state service */
    PROOF_HOLDER,      /* a duty's record names a new holder: duty, name (holder), token */
    PROOF_RELEASED,    /* a duty's record says that its holder released it: duty, name (holder), token */
    PROOF_LEASE_ENDED, /* the lease of the leader (duty) or of a member (name, node) ended: its holder loses
                          its right */
    PROOF_ORDER,       /* an order's record was written: duty, name (order), state, token */
    PROOF_ORDER_GONE,  /* an order's record was removed: duty, name */
    PROOF_MARK,        /* an order records that a machine is leaving: duty, name (order), machine */
    /* cloud */
    PROOF_RENTED,   /* a request took effect; one event for each machine: name (request), machine, token */
    PROOF_REPEATED, /* an order changed nothing because it had taken effect before: duty, name, token */
    PROOF_RETURNED, /* an existing machine was returned: duty, machine, token, tasks, silent */
    PROOF_STALE,    /* an order under an old token was refused: duty, token */
    /* machines */
    PROOF_STARTED, /* a task started: machine, name (task) */
    PROOF_DIED,    /* a machine failed: machine */
    PROOF_CHARGED, /* a machine still exists at the end of the run: machine, tasks */
    /* the run */
    PROOF_INCIDENT,  /* an incident was injected: name (incident), node */
    PROOF_RECOVERED, /* an incident was undone: name (incident), node */
    PROOF_QUIESCED,  /* no more incidents from here on */
    PROOF_EVENT_TYPES,
};

struct proof_event {
    enum proof_event_type type;
    amb_ms at;
    char duty[16], name[PROOF_NAME], machine[PROOF_NAME], state[16];
    uint64_t token;
    int node;       /* the one that the event concerns; -1: none */
    uint32_t tasks; /* number of tasks on the machine */
    bool silent;    /* the machine had failed, or had renewed no lease for the lease's length */
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
