/* A stand-in for everything around the controllers: state service, cloud, machines, users and the network, in
 * simulated time. It takes the place of the library's clock, loop and HTTP, so that whole nodes run in one
 * process, the same way every time for a seed. It breaks what it is told to break and checks the protocol's
 * rules at every start, answer and tick. */
#ifndef AMBERPIN_TESTS_STANDIN_H
#define AMBERPIN_TESTS_STANDIN_H

#include "amberpin/node/node.h"

enum { SIM_NODES = 7 };                /* at most */
enum { SIM_PERMANENT_MS = 100000000 }; /* a fault that lasts so long does not end */

struct sim_size { /* how large the deployment of a day is */
    int nodes, machines, jobs;
    uint32_t max_array_tasks; /* of an array, at most */
    int images;
    amb_ms heartbeat_ms, agent_lease_ms, cancel_ms;
    double store_rps, store_write_rps, cloud_rps; /* calls a second: state service, its changes, cloud */
};
extern const struct sim_size sim_small, sim_grown, sim_fleet, sim_slow, sim_zonal;

enum sim_fault_kind {
    SIM_KILL,                   /* node dies, comes back after a while */
    SIM_RESTART,                /* node dies, comes back at once */
    SIM_CUT_STORE,              /* node can't reach the state service */
    SIM_STORE_REFUSES_NODE,     /* the state service refuses this node alone */
    SIM_CUT_AGENTS,             /* no worker can reach the node */
    SIM_CUT_PEERS,              /* node can't reach the other nodes, nor they it */
    SIM_CUT_ALL,                /* all of that */
    SIM_CUT_ALL_BUT_AGENTS,     /* no state service, other nodes or cloud; workers and users reach it */
    SIM_STORE_OUTAGE,           /* the state service refuses everybody */
    SIM_MACHINE_HANG,           /* a machine stands still, and goes on later */
    SIM_MACHINE_CRASH,          /* a machine stops for good */
    SIM_LOSE_HEARTBEAT_REPLIES, /* a machine's reports arrive, answers don't reach it */
    SIM_DUPLICATE_HEARTBEATS,   /* copies of a machine's reports come late */
    SIM_LOSE_RESPONSES,         /* the state service and the cloud carry requests out, but answers are lost */
    SIM_LATE_REQUESTS,     /* requests to the state service and the cloud are carried out late, unanswered */
    SIM_FAULTY_MACHINE,    /* a machine fails every task it starts */
    SIM_NO_CAPACITY,       /* the cloud has nothing to rent */
    SIM_ZONE_PARTITION,    /* the two zones can't reach each other */
    SIM_LOSE_HEARTBEATS,   /* a machine reaches no controller; direct commands reach it */
    SIM_LATE_WRITES,       /* percent of transactions get no answer and are carried out 2 to 12 s later */
    SIM_UNANSWERED_WRITES, /* percent of transactions are carried out at once and get no answer */
    SIM_LATE_HEARTBEAT_COPIES, /* of a percent of reports a copy arrives from 2 s to 1.5 leases later */
    SIM_REPLAYED_HEARTBEATS,   /* of a percent of reports a copy reaches every node as a new leader begins */
    SIM_LATE_COMMANDS,         /* percent of direct commands are carried out 2 to 16 s later, unanswered */
    SIM_QUICK_BOOTS,           /* machines are up within two seconds */
    SIM_SLOW_STORE,            /* the state service takes its time, up to two seconds */
    SIM_CANCEL_BURST,          /* so many running jobs are cancelled within 0.2 s; if it lasts for a second or
                                more, up to eight of their machines hang as long */
    SIM_CANCEL_AT_COMPLETION,  /* percent of the jobs that end are cancelled at the moment of their end */
    SIM_POLL_BURST,            /* users ask at all nodes, repeat and cancel within milliseconds after news */
    SIM_INVALID_REQUESTS,   /* submissions repeated, spoilt or unfit, cancellations of jobs that are done */
    SIM_SLOW_LINKS,         /* every message takes up to 0.3 s */
    SIM_CLOUD_OUTAGE,       /* the cloud refuses every call */
    SIM_LOWER_STORE_LIMITS, /* the state service lowers its limits, from then on for good; after an upgrade */
    SIM_UPGRADE,       /* the day begins with nodes of the production version; `which` at a time (-1: one),
                          every `lasts`, they end and come back with the present one. A node that ends
                          before its turn comes back as it was */
    SIM_SWITCH_DUTIES, /* single-holder duties: at the day's beginning (at: 0) all nodes have them switched
                   on; else one node after another ends and comes back with them. After `lasts`
                   they are switched off likewise */
    SIM_LOSE_ZONE,     /* all machines of a zone (-1: the second) stop for good */
    SIM_LATE_RETURNS,  /* percent of calls that return machines are carried out 3 to 15 s later, unanswered */
    SIM_CUT_ZONE,      /* all of a zone (-1: the last) can't reach anything outside of it */
    SIM_LOSE_HALF_ZONE, /* every second machine of a zone (-1: the last) stops for good */
    SIM_PAUSE_NODE, /* a node stands still while its clock runs: what came meanwhile is there as it goes on */
    SIM_SLOW_BOOTS, /* machines take two to six times as long to boot */
    SIM_FAILED_BOOTS,     /* percent of the machines rented never come up */
    SIM_FREQUENT_POLLING, /* users ask eight times as often */
    SIM_FAULT_KINDS,
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
    SIM_LOAD_SMALL_QUOTAS =
        2,               /* a team's limit is what one machine holds (small), or a sixteenth of the room */
    SIM_LOAD_STREAM = 4, /* jobs of one short task, four a second, a quarter of them cancelled */
    SIM_LOAD_UNEVEN_TASKS = 8, /* jobs of two or three tasks that end far apart */
    SIM_LOAD_OVERLOAD = 16,    /* more work than room, urgent and not, and limits that don't bind */
    SIM_LOAD_ALL_FIELDS = 64,  /* jobs that use every field that a submission may have */
    SIM_LOAD_PIPELINES = 32,   /* jobs that await others, some cancelled on the way; jobs of many tasks */
    SIM_LOAD_LONG_TASKS = 256, /* tasks run ten times as long */
    SIM_LOAD_FLOOD = 128,      /* jobs of one short task, far more at a time than can run */
    SIM_LOAD_ZONAL = 512, /* three zones, jobs of three classes (enum sim_class), more than half a zone has
                             room for; limits that don't bind */
    SIM_LOAD_ZONE_RECOVERY = 1024, /* the operators have switched zone recovery on */
    SIM_LOAD_REVERSED_RECOVERY_ORDER =
        2048,                     /* and their list has the classes in the order that is not promised */
    SIM_LOAD_FAILING_JOBS = 4096, /* every fourth job fails everywhere, until its user cancels it */
    SIM_LOAD_NO_GUARANTEE = 8192, /* team-1 is guaranteed nothing: arrays of best effort without GPUs */
};

enum sim_class {                /* of zonal days, in the order in which they are to come back */
                 SIM_ASSISTANT, /* replicas of the highest priority, spread over zones */
                 SIM_DRAFTS,    /* replicas of the next */
                 SIM_SWEEP,     /* batch */
                 SIM_CLASSES,
};
extern const char *const sim_class_names[SIM_CLASSES];

/* A day: everything in it follows from these. */
struct sim_scenario {
    const struct sim_size *size;
    uint64_t seed;
    amb_ms length;
    unsigned load; /* of enum sim_load */
    const struct sim_fault *faults;
    size_t fault_count;
};

struct sim_result {
    uint32_t accepted, done, cancelled, starts,
        open_jobs;      /* open: accepted arrays and gangs not done at the end */
    uint64_t digest;    /* of every request and answer, with their bytes and simulated times */
    amb_ms overtime_ms; /* that the day took */
    uint32_t start_commands,
        long_poll_starts;                  /* run orders; and those in answers that had been kept for them */
    amb_ms longest_long_poll_ms;           /* the longest that an answer to a report took */
    uint32_t refused;                      /* jobs that may not be accepted and were refused */
    uint32_t commands_after_cancel;        /* run orders sent after the cancellation was confirmed */
    uint32_t starts_after_cancel;          /* starts of tasks after it, of orders sent before it too */
    amb_ms latest_command_after_cancel_ms; /* the longest that an order was sent after the confirmation */
    uint32_t dependents;                   /* accepted jobs that await others */
    uint32_t dependents_done;              /* of them */
    uint32_t dependents_cancelled;        /* with a job that they need, their own user has not asked for it */
    uint32_t unknown_dependency_refusals; /* submissions that await a job that was never accepted */
    uint32_t size_refusals;          /* transactions beyond the limits of the state service's lowered sizes */
    uint32_t rate_refusals;          /* changes beyond its rate */
    amb_ms upgraded_at;              /* when all nodes were of the present version; of the day */
    uint32_t refused_for_memory;     /* submissions answered 503 by a node without room for a job more */
    size_t peak_job_table_bytes;     /* bytes, the most that a node's table of jobs took */
    uint32_t duty_rent_calls;        /* rental requests that the holder of a duty sent, repeated ones too */
    uint32_t duty_returned_machines; /* machines that one returned */
    int peak_machines;               /* that were there at a time */
    uint32_t late_return_calls;      /* calls to return machines that were sent under an earlier leader */
    uint32_t stale_token_refusals;   /* calls of holders that the cloud refused for their token */
    uint32_t handovers;              /* changes of a duty's holder */
    uint32_t mode_changes;           /* of who rents and returns: leader or holders */
    uint32_t lost_replicas[SIM_CLASSES]; /* with zones, each counted once */
    amb_ms recovery_ms[SIM_CLASSES];     /* the latest loss: all of them that are not cancelled; 0: not yet */
    double worst_served_share;           /* share of replicas that served, in the worst 30 s after a loss */
    uint32_t evicted_tasks;              /* tasks, by the end of their machine's lease */
    uint32_t evicted_batch_tasks;        /* of them */
    uint32_t machine_seconds;            /* that were paid for */
    char violation[256];                 /* the first rule broken; empty: none */
};

/* Called when the code of a node begins to run, and with -1 when it ends; NULL: nobody watches. Outlives a
 * day. */
extern void (*sim_on_node_switch)(int node);
bool sim_node_leads(int node);

struct sim_result sim_run(const struct sim_scenario *plan);
bool sim_is_production_available(void); /* can a day with SIM_UPGRADE be played? */
/* With as much memory for each node; sim_run gives them ample. */
struct sim_result sim_run_with_memory(const struct sim_scenario *plan, double memory_mb);

/* The same, but the day goes on for up to `overtime` until no array or gang is open. One that still is then
 * breaks a rule. */
struct sim_result sim_run_until_done(const struct sim_scenario *plan, amb_ms overtime);

/* With as much memory, and until the work is done. */
struct sim_result sim_run_large(const struct sim_scenario *plan, double memory_mb, amb_ms overtime);

/* Plays an ordinary day of `length` with jobs and small luck drawn from the seed. */
struct sim_result sim_run_default_load(const struct sim_size *size, uint64_t seed, amb_ms length,
                                       const struct sim_fault *faults, size_t count);

#endif
