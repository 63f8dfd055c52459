/* Deterministic simulation of everything around the controllers: state service, cloud, machines, users and
 * the network, in simulated time. It replaces the library's clock, loop and HTTP, so that several complete
 * nodes run in one process and repeat exactly for a seed. It injects the faults of a scenario and checks the
 * protocol's rules at every task start, answer and tick. */
#ifndef AMBERPIN_TESTS_STANDIN_H
#define AMBERPIN_TESTS_STANDIN_H

#include "amberpin/node/node.h"

enum { SIM_NODES = 7 };                /* maximum number of nodes */
enum { SIM_PERMANENT_MS = 100000000 }; /* duration of a fault that does not end */

struct sim_size { /* size and limits of the deployment of a scenario */
    int nodes, machines, jobs;
    uint32_t max_array_tasks; /* tasks of an array, at most */
    int images;
    amb_ms heartbeat_ms, agent_lease_ms, cancel_ms;
    /* Calls per second: to the state service, its changes, calls to the cloud. */
    double store_rps, store_write_rps, cloud_rps;
};
extern const struct sim_size sim_small, sim_grown, sim_fleet, sim_slow, sim_zonal;

enum sim_fault_kind {
    SIM_KILL,               /* A node crashes and restarts after a while. */
    SIM_RESTART,            /* A node crashes and restarts at once. */
    SIM_CUT_STORE,          /* A node cannot reach the state service. */
    SIM_STORE_REFUSES_NODE, /* The state service refuses this node only. */
    SIM_CUT_AGENTS,         /* No agent can reach the node. */
    SIM_CUT_PEERS,          /* The node and the other nodes cannot reach each other. */
    SIM_CUT_ALL,            /* The node is cut off from everything above, from the cloud and from users. */
    SIM_CUT_ALL_BUT_AGENTS, /* Neither state service, peers nor cloud; agents and users reach the node. */
    SIM_STORE_OUTAGE,       /* The state service refuses all nodes. */
    SIM_MACHINE_HANG,       /* A machine hangs and resumes later. */
    SIM_MACHINE_CRASH,      /* A machine fails permanently. */
    SIM_LOSE_HEARTBEAT_REPLIES, /* A machine's heartbeats arrive, the replies do not. */
    SIM_DUPLICATE_HEARTBEATS,   /* Late copies of a machine's heartbeats arrive. */
    SIM_LOSE_RESPONSES,  /* The state service and the cloud apply requests, but some responses are lost. */
    SIM_LATE_REQUESTS,   /* Requests to the state service and the cloud are applied late, without response. */
    SIM_FAULTY_MACHINE,  /* A machine fails every task that it starts. */
    SIM_NO_CAPACITY,     /* The cloud has no machines to rent. */
    SIM_ZONE_PARTITION,  /* The two zones cannot reach each other. */
    SIM_LOSE_HEARTBEATS, /* A machine reaches no controller; direct commands reach it. */
    SIM_LATE_WRITES,     /* Percent of transactions that are applied 2 to 12 s later, without response. */
    SIM_UNANSWERED_WRITES,     /* Percent of transactions that are applied at once, without response. */
    SIM_LATE_HEARTBEAT_COPIES, /* Percent of heartbeats of which a copy arrives 2 s to 1.5 leases later. */
    SIM_REPLAYED_HEARTBEATS,   /* Percent of heartbeats of which a copy reaches every node when a new leader
                                * begins its term. */
    SIM_LATE_COMMANDS,         /* Percent of direct commands that are executed 2 to 16 s later, unanswered. */
    SIM_QUICK_BOOTS,           /* Machines boot within two seconds. */
    SIM_SLOW_STORE,            /* The state service takes up to two seconds. */
    SIM_CANCEL_BURST,          /* This many running jobs are cancelled within 0.2 s. If the fault lasts for a
                                * second or more, up to eight of their machines hang for its duration. */
    SIM_CANCEL_AT_COMPLETION,  /* Percent of completing jobs that are cancelled as they complete. */
    SIM_POLL_BURST, /* Users poll all nodes, resubmit and cancel within milliseconds of a state change. */
    SIM_INVALID_REQUESTS,   /* Resubmissions, malformed or unsatisfiable jobs, cancellations of done jobs. */
    SIM_SLOW_LINKS,         /* Every message takes up to 0.3 s. */
    SIM_CLOUD_OUTAGE,       /* The cloud refuses every call. */
    SIM_LOWER_STORE_LIMITS, /* The state service lowers its limits permanently, once an upgrade is over. */
    SIM_UPGRADE,            /* The scenario begins with nodes of the production version. `which` of them at a
                             * time (-1: one), once per `lasts`, restart with the present version. A node that
                             * crashes before its turn restarts with the production version. */
    SIM_SWITCH_DUTIES,  /* Single-holder duties are switched on: from the start in all nodes (at: 0), else by
                         * restarting one node after another. After `lasts` they are switched off in the
                         * same manner. */
    SIM_LOSE_ZONE,      /* All machines of a zone (-1: the last) fail permanently. */
    SIM_LATE_RETURNS,   /* Percent of calls that return machines that are applied 3 to 15 s later, unanswered.
                         */
    SIM_CUT_ZONE,       /* A zone (-1: the last) is cut off from everything outside of it. */
    SIM_LOSE_HALF_ZONE, /* Every second machine of a zone (-1: the last) fails permanently. */
    SIM_PAUSE_NODE,     /* A node is paused while its clock runs; messages wait until it resumes. */
    SIM_SLOW_BOOTS,     /* Machines take two to six times as long to boot. */
    SIM_FAILED_BOOTS,   /* Percent of rented machines that never boot. */
    SIM_FREQUENT_POLLING, /* Users poll eight times as often. */
    SIM_CANCEL_EARLY,     /* Percent of jobs whose users cancel them within 0.4 s of their acceptance. */
    SIM_SLOW_CHANGES,     /* Changes that the state service reports to a node arrive 0.4 s late. */
    SIM_REFUSE_PEERS,     /* Connections between a node and its peers are refused. */
    SIM_FAULT_KINDS,
};

struct sim_fault {
    enum sim_fault_kind kind;
    amb_ms at, lasts;
    /* Node or machine; -1: the leader, or the machine with the most tasks. For kinds that affect a share: its
     * percentage; -1: 25. For bursts: their size; -1: 8. */
    int which;
};

/* Properties of a scenario's jobs, in addition to the default mix; bits of sim_scenario.load. */
enum sim_load {
    SIM_LOAD_ZONE_BOUND = 1,   /* Arrays and gangs may be restricted to one zone. */
    SIM_LOAD_SMALL_QUOTAS = 2, /* A team's limit is one machine (small), or a sixteenth of the capacity. */
    SIM_LOAD_STREAM = 4,       /* Four jobs of one short task per second, a quarter of them cancelled. */
    SIM_LOAD_UNEVEN_TASKS = 8, /* Jobs of two or three tasks that end at very different times. */
    SIM_LOAD_OVERLOAD = 16,    /* More work of all priorities than capacity; quotas do not bind. */
    SIM_LOAD_ALL_FIELDS = 64,  /* Jobs use every field that a submission may have. */
    SIM_LOAD_PIPELINES = 32,   /* Jobs with dependencies, some of them cancelled; jobs of many tasks. */
    SIM_LOAD_LONG_TASKS = 256, /* Tasks run ten times as long. */
    SIM_LOAD_FLOOD = 128,      /* Jobs of one short task, many more at a time than can run. */
    SIM_LOAD_ZONAL = 512,      /* Three zones, jobs of three classes (enum sim_class) that need more than
                                * half of a zone's capacity; quotas do not bind. */
    SIM_LOAD_ZONE_RECOVERY = 1024,           /* The zone recovery option is on. */
    SIM_LOAD_REVERSED_RECOVERY_ORDER = 2048, /* Its list names the classes in the order opposite to the
                                              * promised one. */
    SIM_LOAD_FAILING_JOBS = 4096, /* Every fourth job fails on all machines until its user cancels it. */
    SIM_LOAD_NO_GUARANTEE = 8192, /* team-1 has no guarantee: best-effort arrays without GPUs. */
};

enum sim_class {                /* of zonal scenarios, in the order in which they are to be recovered */
                 SIM_ASSISTANT, /* replicas of the highest priority, spread over zones */
                 SIM_DRAFTS,    /* replicas of the next priority */
                 SIM_SWEEP,     /* batch */
                 SIM_CLASSES,
};
extern const char *const sim_class_names[SIM_CLASSES];

/* Input of a simulation; its result follows from these values alone. */
struct sim_scenario {
    const struct sim_size *size;
    uint64_t seed;
    amb_ms length;
    unsigned load; /* bits of enum sim_load */
    const struct sim_fault *faults;
    size_t fault_count;
};

struct sim_result {
    uint32_t accepted, done, cancelled, starts,
        open_jobs;      /* accepted arrays and gangs that are not done at the end */
    uint64_t digest;    /* hash of every request and answer, with their bytes and simulated times */
    amb_ms overtime_ms; /* time beyond the scenario's length until all work was done */
    uint32_t start_commands, long_poll_starts; /* start commands, and those sent in replies to long polls */
    amb_ms longest_long_poll_ms;               /* longest time until a heartbeat was replied to */
    uint32_t refused;                          /* invalid jobs that were refused */
    uint32_t commands_after_cancel;            /* start commands sent after the cancellation was confirmed */
    uint32_t starts_after_cancel;              /* task starts after it, also by commands sent before it */
    uint32_t late_commands; /* those of them in response to a heartbeat sent after the confirmation */
    amb_ms latest_command_after_cancel_ms; /* longest time from a confirmation to a start command */
    uint32_t dependents;                   /* accepted jobs with dependencies */
    uint32_t dependents_done;              /* those of them that are done */
    uint32_t dependents_cancelled;         /* cancelled with a dependency, not by their own user */
    uint32_t unknown_dependency_refusals;  /* refused submissions with a dependency that was never accepted */
    uint32_t size_refusals;          /* transactions over the lowered size limits of the state service */
    uint32_t rate_refusals;          /* transactions over its rate of changes */
    amb_ms upgraded_at;              /* when all nodes ran the present version, simulated clock */
    uint32_t refused_for_memory;     /* submissions answered 503 by a node without memory for another job */
    size_t peak_job_table_bytes;     /* largest job table of a node, in bytes */
    uint32_t duty_rent_calls;        /* rental requests sent by duty holders, repetitions included */
    uint32_t duty_returned_machines; /* machines returned by duty holders */
    int peak_machines;               /* largest number of machines at a time */
    uint32_t late_return_calls;      /* calls to return machines that arrived under a later leader */
    uint32_t stale_token_refusals;   /* calls of holders that the cloud refused for their fencing token */
    uint32_t handovers;              /* changes of a duty's holder */
    uint32_t mode_changes;           /* switches between leader and duty holders for renting and returning */
    uint32_t lost_replicas[SIM_CLASSES]; /* replicas lost with a zone, each counted once */
    amb_ms recovery_ms[SIM_CLASSES]; /* from the latest loss until all lost replicas that are not cancelled
                                      * serve again; 0: not yet */
    double worst_served_share;       /* lowest share of serving replicas over 30 s after a loss */
    uint32_t evicted_tasks;          /* tasks ended by the expiry of their machine's lease */
    uint32_t evicted_batch_tasks;    /* batch tasks among them */
    uint32_t machine_seconds;        /* rented machine time */
    uint32_t fresh_reads;            /* reads of changes that do not wait for one */
    uint32_t most_fresh_reads;       /* of one node within a second */
    char violation[256];             /* the first rule violation; empty: none */
};

/* Called with a node's index when its code begins to run, and with -1 when it returns; NULL: no callback. The
 * setting is kept between simulations. */
extern void (*sim_on_node_switch)(int node);
bool sim_node_leads(int node);

struct sim_result sim_run(const struct sim_scenario *plan);
/* True if scenarios with SIM_UPGRADE can run. */
bool sim_is_production_available(void);
/* The same with a memory limit per node; sim_run's default is ample. */
struct sim_result sim_run_with_memory(const struct sim_scenario *plan, double memory_mb);

/* The same, but the simulation continues for up to `overtime` until no array or gang is open. One that is
 * still open then is a violation. */
struct sim_result sim_run_until_done(const struct sim_scenario *plan, amb_ms overtime);

/* Runs until the work is done, with a memory limit per node. */
struct sim_result sim_run_large(const struct sim_scenario *plan, double memory_mb, amb_ms overtime);

/* Runs a scenario of `length` with the default job mix and random timings drawn from the seed. */
struct sim_result sim_run_default_load(const struct sim_size *size, uint64_t seed, amb_ms length,
                                       const struct sim_fault *faults, size_t count);

#endif
