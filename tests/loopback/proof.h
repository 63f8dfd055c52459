/* What the parts of the loopback proof share: real controllers as child processes, against the stand-in's
 * models (tests/standin) served over HTTP on loopback. One run at a time in a process. */
#ifndef AMBERPIN_TESTS_LOOPBACK_PROOF_H
#define AMBERPIN_TESTS_LOOPBACK_PROOF_H

#include "checker.h"
#include "event_log.h"
#include "server.h"
#include "world.h"

#include <sys/types.h>

struct proof_plan {
    uint64_t seed;
    int controllers;
    uint32_t handovers;    /* the run goes on until so many were seen */
    bool duties;           /* switched on in the options */
    bool tokens;           /* the cloud knows tokens; the protocol's does not */
    bool calm;             /* nothing is done to the controllers: for measurements */
    amb_ms calm_for;       /* how long a calm run takes */
    bool idle;             /* there is no work */
    const char *only;      /* incident that alone happens; NULL: all */
    const char *program;   /* the controller, with the injected clock */
    const char *other;     /* program of the controllers with odd numbers; NULL: the same */
    const char *directory; /* for settings and logs of the controllers */
    const char *log_level;
};

enum { /* of the deployment */
       PROOF_REPORT_MS = 400,
       PROOF_LEASE_MS = 4000,
       PROOF_CANCEL_MS = 12000,
       PROOF_TTL_MS = 400, /* PROOF_LEADER_TTL of the workers' lease */
};
#define PROOF_LEADER_TTL "0.1"

struct proof_controller {
    pid_t pid; /* 0: does not run */
    bool paused;
    amb_ms cut_until;                                  /* the state service is out of its reach */
    char front[PROOF_ADDRESS], cluster[PROOF_ADDRESS]; /* reserved for it */
    char state[PROOF_ADDRESS], cloud[PROOF_ADDRESS];   /* its own doors to the stand-ins */
    struct proof_usage {
        double processor_ms; /* of all its processes */
        long memory_kb;      /* the most that one of them had in memory */
        uint32_t state_calls, cloud_calls;
        uint32_t handover_calls; /* of the state calls, those about who holds a duty */
    } usage;
};

struct proof_run {
    const struct proof_plan *plan;
    struct proof_log log;
    struct proof_controller controllers[SIM_NODES];
    uint32_t handovers;      /* seen so far */
    bool has_held[2];        /* a duty, or the lead without duties: controllers with even, with odd numbers */
    bool quiet;              /* no trouble any more */
    amb_ms cloud_held_until; /* orders to the cloud are held back, and delivered then */
};
extern struct proof_run run;

void proof_note(const struct proof_event *event); /* with the time of now */

/* network.c */
void proof_network_open(void);

/* witness.c: what commits and cloud calls mean, for the log and for incidents */
enum proof_step { /* of an order, as the stand-ins see it */
                  PROOF_STEP_NONE,
                  PROOF_STEP_RECORDED, /* carried out, not answered yet */
                  PROOF_STEP_SENT,     /* recorded as sent, not answered yet */
                  PROOF_STEP_ARRIVED,  /* at the cloud, not carried out yet */
                  PROOF_STEP_ACTED,    /* carried out by the cloud, not answered yet */
                  PROOF_STEP_SETTLING, /* its settlement is here, not carried out yet */
                  PROOF_STEP_SETTLED,  /* carried out, not answered yet */
                  PROOF_STEPS,
};
struct proof_moment {
    enum proof_step step;
    char duty[16]; /* that the order belongs to */
};
void proof_witness_open(void);
void proof_witness_tick(void);
/* Does it claim or release a duty, ask for its handover, or read who holds it or lives? */
bool proof_is_of_handover(const struct sim_call *call);
struct proof_moment proof_moment_of_commit(const cbor_item_t *transaction);
/* Of a call that the cloud has, to rent or to return. */
struct proof_moment proof_moment_of_cloud(const struct sim_call *call, enum proof_step step);
int proof_leader(void);                              /* -1: not known */
const char *proof_holder(int *node);                 /* of some duty, at random; NULL: nobody holds any */
void proof_cloud_comes(const struct sim_call *call); /* is about to be carried out */
void proof_cloud_done(struct sim_call *call, int status);

/* incidents.c */
struct proof_treatment { /* of one message */
    bool unanswered;
    bool doubled;
    amb_ms delay; /* before it is carried out */
};
struct proof_treatment proof_incident_at(const struct proof_moment *moment, int node);
void proof_incidents_tick(void);
void proof_incidents_end(void); /* undoes all */
bool proof_incident_known(const char *name);

/* controllers.c */
void proof_controllers_prepare(void);
void proof_controller_start(int node);
void proof_controller_kill(int node);
void proof_controller_pause(int node);
void proof_controller_wake(int node);
void proof_controllers_watch(void); /* none may end by itself */
void proof_controllers_end(void);

/* workload.c */
void proof_workload_tick(void);
bool proof_workload_done(void);

/* run.c */
struct proof_outcome {
    struct proof_verdict verdict;
    bool complete;    /* as many handovers as asked for were seen, and all work was done */
    char broken[256]; /* a rule of the protocol; empty: none */
    amb_ms took;
    struct proof_usage usage; /* of all controllers together; the memory is the most of any */
};
struct proof_outcome proof_play(const struct proof_plan *plan);

#endif
