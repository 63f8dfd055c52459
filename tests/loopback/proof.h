/* Shared declarations of the loopback proof, which runs real controllers as child processes against the
 * stand-in's models (tests/standin), served over HTTP on loopback. A process does one run at a time. */
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
    uint32_t handovers;    /* how many the run waits for */
    bool duties;           /* duties are switched on in the options */
    bool tokens;           /* the cloud checks fencing tokens, which the protocol's cloud does not */
    bool calm;             /* no incidents: for measurements */
    amb_ms calm_for;       /* length of a calm run */
    bool idle;             /* no jobs are submitted */
    const char *only;      /* the only incident that is injected; NULL: all */
    const char *program;   /* the controller, with the injected clock */
    const char *other;     /* program of the controllers with odd numbers; NULL: the same */
    const char *directory; /* for settings and logs of the controllers */
    const char *log_level;
};

enum { /* settings of the deployment */
       PROOF_REPORT_MS = 400,
       PROOF_LEASE_MS = 4000,
       PROOF_CANCEL_MS = 12000,
       PROOF_TTL_MS = 400, /* PROOF_LEADER_TTL of PROOF_LEASE_MS */
};
#define PROOF_LEADER_TTL "0.1"

struct proof_controller {
    pid_t pid; /* 0: not running */
    bool paused;
    amb_ms cut_until;                                  /* the state service is unreachable until then */
    char front[PROOF_ADDRESS], cluster[PROOF_ADDRESS]; /* where it listens, reserved for it */
    char state[PROOF_ADDRESS], cloud[PROOF_ADDRESS];   /* where the stand-ins serve it alone */
    struct proof_usage {
        double processor_ms; /* of all its processes that have ended */
        long memory_kb;      /* largest resident size of any of them */
        uint32_t state_calls, cloud_calls;
        uint32_t handover_calls; /* those of state_calls that concern the holders of duties */
    } usage;
};

struct proof_run {
    const struct proof_plan *plan;
    struct proof_log log;
    struct proof_controller controllers[SIM_NODES];
    uint32_t handovers;      /* seen so far */
    bool has_held[2];        /* a duty, or the lead without duties: controllers with even, with odd numbers */
    bool quiesced;           /* incidents are over */
    amb_ms cloud_held_until; /* orders to the cloud are delayed until then */
};
extern struct proof_run run;

void proof_note(const struct proof_event *event); /* logs the event with the current time */

/* network.c */
void proof_network_open(void);

/* witness.c: interprets commits and cloud calls, for the event log and for incidents */
enum proof_step { /* of an order, as the stand-ins observe it */
                  PROOF_STEP_NONE,
                  PROOF_STEP_RECORDED, /* committed, not answered yet */
                  PROOF_STEP_SENT,     /* committed as sent, not answered yet */
                  PROOF_STEP_ARRIVED,  /* received by the cloud, not carried out yet */
                  PROOF_STEP_ACTED,    /* carried out by the cloud, not answered yet */
                  PROOF_STEP_SETTLING, /* its settlement was received, not committed yet */
                  PROOF_STEP_SETTLED,  /* committed, not answered yet */
                  PROOF_STEPS,
};
struct proof_moment {
    enum proof_step step;
    char duty[16]; /* the order's */
};
void proof_witness_open(void);
void proof_witness_tick(void);
/* Does the call claim or release a duty, ask for its handover, or read a duty's or a member's record? */
bool proof_is_of_handover(const struct sim_call *call);
struct proof_moment proof_moment_of_commit(const struct amb_cbor_item *transaction);
/* The moment of a cloud call that rents or returns machines. */
struct proof_moment proof_moment_of_cloud(const struct sim_call *call, enum proof_step step);
int proof_leader(void); /* -1: not known */
/* The name of a random duty, and its holder; NULL: that duty is not held. */
const char *proof_holder(int *node);
void proof_cloud_comes(const struct sim_call *call); /* called before the cloud carries out the call */
void proof_cloud_done(struct sim_call *call, int status);

/* incidents.c */
struct proof_treatment { /* what happens to one message */
    bool unanswered;
    bool doubled;
    amb_ms delay; /* before it is carried out */
};
struct proof_treatment proof_incident_at(const struct proof_moment *moment, int node);
void proof_incidents_tick(void);
void proof_incidents_end(void); /* undoes every incident */
bool proof_incident_known(const char *name);

/* controllers.c */
void proof_controllers_prepare(void);
void proof_controller_start(int node);
void proof_controller_kill(int node);
void proof_controller_pause(int node);
void proof_controller_resume(int node);
void proof_controllers_watch(void); /* reports a controller that ended by itself */
void proof_controllers_end(void);

/* workload.c */
void proof_workload_tick(void);
bool proof_workload_done(void);

/* run.c */
struct proof_outcome {
    struct proof_verdict verdict;
    bool complete;    /* the handovers asked for were seen, all work is done, and the leadership is settled */
    char broken[256]; /* the rule of the protocol that was broken; empty: none */
    amb_ms took;
    struct proof_usage usage; /* sum over the controllers; of memory_kb, the maximum */
};
struct proof_outcome proof_play(const struct proof_plan *plan);

#endif
