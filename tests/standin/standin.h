/* A stand-in for everything around the controllers: state service, cloud, machines, users and the network, in
 * simulated time. It takes the place of the library's clock, loop and HTTP, so that whole nodes run in one
 * process, the same way every time for a seed. It breaks what it is told to break and checks the protocol's
 * rules at every start, answer and tick. */
#ifndef AMBERPIN_TESTS_STANDIN_H
#define AMBERPIN_TESTS_STANDIN_H

#include "amberpin/node/node.h"

enum { SIM_NODES = 7 };               /* at most */
enum { SIM_FOR_GOOD_MS = 100000000 }; /* a fault that lasts so long does not end */

struct sim_size { /* how large the deployment of a day is */
    int nodes, machines, jobs;
    uint32_t tasks; /* of an array, at most */
    int images;
    amb_ms report, lease, cancel;
    double rps, writes, cloud; /* calls a second: state service, its changes, cloud */
};
extern const struct sim_size sim_small, sim_grown, sim_fleet, sim_slow, sim_zonal;

enum sim_fault_kind {
    SIM_KILL,            /* node dies, comes back after a while */
    SIM_KILL_BRIEF,      /* node dies, comes back at once */
    SIM_CUT_STATE,       /* node can't reach the state service */
    SIM_REFUSE_STATE,    /* the state service refuses this node alone */
    SIM_CUT_WORKERS,     /* no worker can reach the node */
    SIM_CUT_PEERS,       /* node can't reach the other nodes, nor they it */
    SIM_CUT_ALL,         /* all of that */
    SIM_CUT_BUT_WORKERS, /* no state service, other nodes or cloud; workers and users reach it */
    SIM_OUTAGE,          /* the state service refuses everybody */
    SIM_HANG,            /* a machine stands still, and goes on later */
    SIM_DIE,             /* a machine stops for good */
    SIM_DEAF,            /* a machine's reports arrive, answers don't reach it */
    SIM_COPIES,          /* copies of a machine's reports come late */
    SIM_LOSE_ANSWERS,    /* the state service and the cloud carry requests out, but answers are lost */
    SIM_LATE,            /* requests to the state service and the cloud are carried out late, unanswered */
    SIM_BAD_MACHINE,     /* a machine fails every task it starts */
    SIM_NO_CAPACITY,     /* the cloud has nothing to rent */
    SIM_ZONES_APART,     /* the two zones can't reach each other */
    SIM_MUTE,            /* a machine reaches no controller; direct commands reach it */
    SIM_LATE_WRITES,     /* percent of transactions get no answer and are carried out 2 to 12 s later */
    SIM_LOST_WRITES,     /* percent of transactions are carried out at once and get no answer */
    SIM_LATE_REPORTS,    /* of a percent of reports a copy arrives from 2 s to 1.5 leases later */
    SIM_KEPT_REPORTS,    /* of a percent of reports a copy reaches every node as a new leader begins */
    SIM_LATE_COMMANDS,   /* percent of direct commands are carried out 2 to 16 s later, unanswered */
    SIM_QUICK_BOOTS,     /* machines are up within two seconds */
    SIM_SLOW_STATE,      /* the state service takes its time, up to two seconds */
    SIM_CANCEL_NOW,      /* so many running jobs are cancelled within 0.2 s; if it lasts for a second or
                            more, up to eight of their machines hang as long */
    SIM_CANCEL_AT_END,   /* percent of the jobs that end are cancelled at the moment of their end */
    SIM_CLOSE_LOOKS,     /* users ask at all nodes, repeat and cancel within milliseconds after news */
    SIM_ODD_REQUESTS,    /* submissions repeated, spoilt or unfit, cancellations of jobs that are done */
    SIM_SLOW_LINKS,      /* every message takes up to 0.3 s */
    SIM_CLOUD_OUTAGE,    /* the cloud refuses every call */
    SIM_LOWER_LIMITS,    /* the state service lowers its limits, from then on for good; after an upgrade */
    SIM_UPGRADE,         /* the day begins with nodes of the production version; `which` at a time (-1: one),
                            every `lasts`, they end and come back with the present one. A node that ends
                            before its turn comes back as it was */
    SIM_DUTIES,          /* single-holder duties: at the day's beginning (at: 0) all nodes have them switched
                            on; else one node after another ends and comes back with them. After `lasts`
                            they are switched off likewise */
    SIM_LOSE_ZONE,       /* all machines of a zone (-1: the second) stop for good */
    SIM_LATE_RETURNS, /* percent of calls that return machines are carried out 3 to 15 s later, unanswered */
    SIM_CUT_ZONE,     /* all of a zone (-1: the last) can't reach anything outside of it */
    SIM_HALVE_ZONE,   /* every second machine of a zone (-1: the last) stops for good */
    SIM_FREEZE,     /* a node stands still while its clock runs: what came meanwhile is there as it goes on */
    SIM_LATE_BOOTS, /* machines take two to six times as long to boot */
    SIM_NO_BOOTS,   /* percent of the machines rented never come up */
    SIM_QUESTIONS,  /* users ask eight times as often */
    SIM_FAULTS,
};

struct sim_fault {
    enum sim_fault_kind kind;
    amb_ms at, lasts;
    int which; /* node or machine; -1: the leader, or the machine with most tasks. Of kinds that strike a
                * share: percent; -1: 25. Of bursts: how many; -1: 8 */
};

/* What a day's jobs are like, beside the ordinary ones. */
enum sim_load {
    SIM_LOAD_ZONE_BOUND = 1, /* arrays and gangs may run in one zone only */
    SIM_LOAD_TIGHT_TEAMS =
        2,                 /* a team's limit is what one machine holds (small), or a sixteenth of the room */
    SIM_LOAD_STREAM = 4,   /* jobs of one short task, four a second, a quarter of them cancelled */
    SIM_LOAD_UNEVEN = 8,   /* jobs of two or three tasks that end far apart */
    SIM_LOAD_CROWDED = 16, /* more work than room, urgent and not, and limits that don't bind */
    SIM_LOAD_ALL_FIELDS = 64, /* jobs that use every field that a submission may have */
    SIM_LOAD_PIPELINES = 32,  /* jobs that await others, some cancelled on the way; jobs of many tasks */
    SIM_LOAD_LONG = 256,      /* tasks run ten times as long */
    SIM_LOAD_FLOOD = 128,     /* jobs of one short task, far more at a time than can run */
    SIM_LOAD_ZONAL = 512, /* three zones, jobs of three classes (enum sim_class), more than half a zone has
                             room for; limits that don't bind */
    SIM_LOAD_ZONE_RECOVERY = 1024, /* the operators have switched zone recovery on */
    SIM_LOAD_REVERSED = 2048,      /* and their list has the classes in the order that is not promised */
    SIM_LOAD_BROKEN = 4096,        /* every fourth job fails everywhere, until its user cancels it */
    SIM_LOAD_GUEST = 8192,         /* team-1 is guaranteed nothing: arrays of best effort without GPUs */
};

enum sim_class {                /* of zonal days, in the order in which they are to come back */
                 SIM_ASSISTANT, /* replicas of the highest priority, spread over zones */
                 SIM_DRAFTS,    /* replicas of the next */
                 SIM_SWEEP,     /* batch */
                 SIM_CLASSES,
};
extern const char *const sim_class_names[SIM_CLASSES];

/* A day: everything in it follows from these. */
struct sim_plan {
    const struct sim_size *size;
    uint64_t seed;
    amb_ms length;
    unsigned load; /* of enum sim_load */
    const struct sim_fault *faults;
    size_t fault_count;
};

struct sim_result {
    uint32_t accepted, done, cancelled, starts,
        open;                      /* open: accepted arrays and gangs not done at the end */
    uint64_t digest;               /* of every request and answer, with their bytes and simulated times */
    amb_ms overtime;               /* that the day took */
    uint32_t ordered, kept_starts; /* run orders; and those in answers that had been kept for them */
    amb_ms kept_most;              /* the longest that an answer to a report took */
    uint32_t refused;              /* jobs that may not be accepted and were refused */
    uint32_t orders_after_cancel;  /* run orders sent after the cancellation was confirmed */
    uint32_t starts_after_cancel;  /* starts of tasks after it, of orders sent before it too */
    amb_ms latest_order;           /* the longest that an order was sent after the confirmation */
    uint32_t dependants;           /* accepted jobs that await others */
    uint32_t dependants_done;      /* of them */
    uint32_t dependants_cancelled; /* with a job that they need, their own user has not asked for it */
    uint32_t unknown_refused;      /* submissions that await a job that was never accepted */
    uint32_t size_refusals;        /* transactions beyond the limits of the state service's lowered sizes */
    uint32_t rate_refusals;        /* changes beyond its rate */
    amb_ms upgraded_at;            /* when all nodes were of the present version; of the day */
    uint32_t refused_for_memory;   /* submissions answered 503 by a node without room for a job more */
    size_t job_table_most;         /* bytes, the most that a node's table of jobs took */
    uint32_t rents_by_duty;        /* rental requests that the holder of a duty sent, repeated ones too */
    uint32_t returns_by_duty;      /* machines that one returned */
    int machines_most;             /* that were there at a time */
    uint32_t late_returns;         /* calls to return machines that were sent under an earlier leader */
    uint32_t stale_refused;        /* calls of holders that the cloud refused for their token */
    uint32_t handovers;            /* changes of a duty's holder */
    uint32_t mode_changes;         /* of who rents and returns: leader or holders */
    uint32_t lost_replicas[SIM_CLASSES]; /* with zones, each counted once */
    amb_ms served_after[SIM_CLASSES];    /* the latest loss: all of them that are not cancelled; 0: not yet */
    double worst_window;                 /* share of replicas that served, in the worst 30 s after a loss */
    uint32_t killed;                     /* tasks, by the end of their machine's lease */
    uint32_t killed_batch;               /* of them */
    uint32_t machine_seconds;            /* that were paid for */
    char broken[256];                    /* the first rule broken; empty: none */
};

/* Called when the code of a node begins to run, and with -1 when it ends; NULL: nobody watches. Outlives a
 * day. */
extern void (*sim_watch_switch)(int node);
bool sim_node_leads(int node);

struct sim_result sim_play(const struct sim_plan *plan);
bool sim_production_at_hand(void); /* can a day with SIM_UPGRADE be played? */
/* With as much memory for each node; sim_play gives them ample. */
struct sim_result sim_play_with_memory(const struct sim_plan *plan, double memory_mb);

/* The same, but the day goes on for up to `overtime` until no array or gang is open. One that still is then
 * breaks a rule. */
struct sim_result sim_play_until_done(const struct sim_plan *plan, amb_ms overtime);

/* With as much memory, and until the work is done. */
struct sim_result sim_play_large(const struct sim_plan *plan, double memory_mb, amb_ms overtime);

/* Plays an ordinary day of `length` with jobs and small luck drawn from the seed. */
struct sim_result sim_day(const struct sim_size *size, uint64_t seed, amb_ms length,
                          const struct sim_fault *faults, size_t count);

#endif
