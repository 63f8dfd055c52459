/* State of the simulation and the interfaces of its parts. There is one simulation at a time, since the
 * library's clock and network functions carry no context. */
#ifndef AMBERPIN_TESTS_STANDIN_WORLD_H
#define AMBERPIN_TESTS_STANDIN_WORLD_H

#include "amberpin/node/node.h"
#include "standin.h"

#ifndef SIM_CAPACITY
#define SIM_CAPACITY 1 /* multiplies the table sizes, for scenarios with thousands of machines */
#endif

enum { /* table sizes */
       SIM_MACHINES = 2048 * SIM_CAPACITY,
       SIM_JOB_TASKS = 64,
       SIM_JOBS = 4096 * SIM_CAPACITY,
       SIM_TIMERS = 32768 * SIM_CAPACITY,
       SIM_CALLS = SIM_CAPACITY > 1 ? 4 * 8192 : 8192,
       SIM_KEYS = 8192 * SIM_CAPACITY,
       SIM_LEASES = 256,
       SIM_CHANGES = 65536 * SIM_CAPACITY,
       SIM_RENTALS = 256 * SIM_CAPACITY,
       SIM_MAX_FAULTS = 64,
       SIM_KEY_SIZE = 200,
       SIM_REPLAYS = 256,
       SIM_EXTRA_REQUESTS = 8192,
       SIM_MAX_DEPENDENCIES = 8, /* of a job; a name that is listed twice counts twice */
};

enum { /* parameters of every deployment, in addition to struct sim_size */
       SIM_GANG_WAIT_MS = 20000,
       SIM_MACHINE_GPUS = 8,
       SIM_TICK_MS = 50,
       SIM_RESTART_MS = 6000,  /* from a node's crash to its restart */
       SIM_VALUE_BYTES = 2560, /* records of jobs of more than 51 tasks take several blocks */
       SIM_TXN_OPS = 8,
       SIM_LOWERED_VALUE_BYTES = 1024, /* after the state service has lowered its limits */
       SIM_LOWERED_TXN_OPS = 4,
       SIM_TEAMS = 2,
       SIM_ZONES = 3,     /* maximum */
       SIM_WINDOW_S = 30, /* over which the share of serving replicas is averaged */
       /* A zone that is back counts as stable after half an agent lease, the default of the option. */
       SIM_STABLE_ZONE_LEASE_DIVISOR = 2,
};

struct sim_cloud_timing { /* typical times of the cloud and its machines */
    amb_ms list_lag, boot, fetch;
};
extern const struct sim_cloud_timing sim_cloud_timing;

/* Share of the rate of changes that remains once limits are lowered. */
static const double sim_lowered_write_share = 0.72;

struct sim_timer {
    struct amb_timer *timer;
    int owner; /* node that set it, or -1 */
    uint64_t serial;
};

enum sim_destination { SIM_TO_STORE, SIM_TO_CLOUD, SIM_TO_API, SIM_TO_PEER, SIM_TO_AGENT };

/* The latest state of a job that its user was told. */
enum sim_reported_state { SIM_NOT_REPORTED, SIM_REPORTED_ACCEPTED, SIM_REPORTED_FINAL };

struct sim_call { /* a request and its answer in transit */
    bool used;
    uint64_t serial; /* distinguishes successive uses of this entry */
    enum sim_destination destination;
    int node, machine, from, from_machine; /* from: node, or -1 for an agent or user */
    char method[8], path[400];
    char *body;
    size_t len;
    amb_http_done on_done;
    void *arg;
    bool timed_out, answered;
    bool delayed;              /* the late-delivery faults have been applied to it */
    bool unanswered;           /* its answer is always lost */
    uint64_t incarnation;      /* of the sending node */
    uint64_t sent_at_revision; /* of the state service; terms of leaders elected later are higher */
    bool returns_recorded;     /* when it was sent, leaders recorded the machines that they return */
    struct amb_timer delivery_timer, reply_timer, timeout_timer;
    int status;
    amb_ms answered_at;
    bool answered_by_production; /* by a node of the production version */
    struct amb_buf answer;
    void (*on_reply)(struct sim_call *call); /* for calls of agents and users */
    void *user;
    enum sim_reported_state reported_before; /* for a user's call: state of the job known when it was sent */
};

struct sim_server { /* opened by a node */
    amb_http_handler handler;
    void *arg;
    size_t max_body_bytes;
};

struct sim_node {
    const struct sim_node_version *version;
    void *node;
    bool alive;
    bool production; /* runs the production version, also after a crash */
    bool duties;     /* has the option for single-holder duties on, also after a restart */
    uint64_t incarnation;
    struct sim_server api_server, peer_server; /* for users and agents; for peers */
    bool was_leader;                           /* at the last call of sim_new_leader_began */
    struct amb_timer restart;
};

struct sim_job;
struct sim_machine;

struct sim_command_origin {   /* where an agent's command comes from */
    amb_ms heartbeat_sent_at; /* of the heartbeat that it answers; 0: it came in a request of its own */
    amb_ms issued_at;
    bool production; /* issued by a node of the production version */
};

struct sim_task {
    struct sim_job *job;
    struct sim_machine *machine;  /* as of the latest scan for gangs */
    struct sim_task *next_of_job; /* as of the same scan */
    char ref[AMB_NAME_SIZE];
    uint32_t index;
    uint64_t attempt;
    uint64_t token; /* of the leader that sent the start command */
    enum amb_agent_task_state state;
    enum amb_exit_reason exit_reason;
    amb_ms image_ready_at, end_at, waiting_since;
    bool has_image;
};

struct sim_machine {
    char name[AMB_NAME_SIZE];
    int zone;
    bool spot, exists, up, dead, heartbeat_pending;
    amb_ms created_at, removed_at, died_at, lease_from, hang_until;
    uint64_t incarnation, sequence, token;
    int node;               /* receives its heartbeats */
    struct sim_task *tasks; /* including exited tasks that have not been cleared */
    uint32_t task_count, task_room;
    struct amb_timer heartbeat_timer;
    bool changed;
};

enum sim_defect { /* why a job must be refused */
                  SIM_NO_DEFECT,
                  SIM_TOO_LARGE, /* a task that fits on no machine */
                  SIM_UNKNOWN_TEAM,
                  SIM_OVER_LIMIT, /* a gang that exceeds its team's limit */
                  SIM_MISSING_FIELD,
                  SIM_UNKNOWN_DEPENDENCY,     /* a dependency that was never accepted */
                  SIM_MALFORMED_DEPENDENCIES, /* the field awaits is not a list of job names */
                  SIM_DEFECTS,
};

/* When the user of a job with dependencies submits it. */
enum sim_submit_condition {
    SIM_SUBMIT_WHEN_ACCEPTED, /* as soon as its dependencies are accepted */
    SIM_SUBMIT_WHEN_FINISHED, /* once they are done or cancelled */
};

struct sim_job {
    struct amb_job_spec spec;
    enum sim_defect defect;
    enum sim_reported_state reported;
    bool submitted, refused, accepted, cancel_requested, cancel_confirmed, done_reported;
    amb_ms submit_at, cancel_at, cancel_confirmed_at, answered_at;
    amb_ms placeable_since; /* since when a task could have been placed and was not */
    uint64_t previously_placed;
    bool uneven, short_task;
    bool always_fails;                      /* every task fails on every machine */
    struct sim_task *first_task;            /* on any machine, as of the latest scan for gangs */
    int pipeline;                           /* 0: none */
    int dependencies[SIM_MAX_DEPENDENCIES]; /* indices in world.jobs */
    int dependency_count;
    bool depends_on_earlier; /* also on a random accepted job, chosen at submission */
    enum sim_submit_condition submit_condition;
    bool cancel_at_completion; /* its user cancels it as it completes */
    bool done[SIM_JOB_TASKS];
    struct amb_timer timer;
};

struct sim_key {
    char key[SIM_KEY_SIZE];
    struct amb_buf value;
    uint64_t revision, lease;
};

struct sim_lease {
    uint64_t id;
    amb_ms ttl, end;
};

struct sim_change {
    char key[SIM_KEY_SIZE];
    struct amb_buf value; /* empty: the key was removed */
    uint64_t revision;
};

struct sim_store {
    struct sim_key keys[SIM_KEYS];
    uint64_t key_hashes[SIM_KEYS]; /* hashes of keys, at the same indices */
    struct sim_lease leases[SIM_LEASES];
    struct sim_change changes[SIM_CHANGES];
    int key_count, lease_count, change_count;
    int refused_nodes;                /* number of nodes refused at the last tick */
    amb_ms counted_second[SIM_NODES]; /* the second in which fresh reads of a node were last counted */
    uint32_t fresh_reads[SIM_NODES];  /* in that second */
    uint64_t revision, lease_serial;
    double change_tokens; /* token bucket for changes */
    amb_ms change_tokens_at;
};

struct sim_rental { /* a fulfilled rental request */
    char name[48];
    int first, count; /* its machines, as indices in world.machines */
};

struct sim_cloud {
    struct sim_rental rentals[SIM_RENTALS];
    int rental_count;
    uint64_t tokens[AMB_DUTY_COUNT]; /* highest fencing token seen for each duty */
};

enum sim_request { SIM_QUERY, SIM_RESUBMIT, SIM_RESUBMIT_INVALID, SIM_CANCEL };

struct sim_extra_request { /* a user's request in addition to the regular polling */
    struct amb_timer timer;
    struct sim_job *job;
    enum sim_request request;
    int node; /* -1: any */
};

struct sim_recovery {
    amb_ms lost_at;                     /* time of the latest loss of a zone; 0: none yet */
    uint64_t lost_tasks[SIM_JOBS];      /* bit per task: was lost with a zone */
    uint64_t ever_served[SIM_JOBS];     /* bit per task: has served at some time */
    double window_shares[SIM_WINDOW_S]; /* share of serving replicas in each of the last seconds */
    double window_sum;
    uint64_t seconds;
};

struct sim_recorded_heartbeat { /* replayed to the next leader */
    int machine;
    struct amb_buf body;
};

struct sim_world {
    const struct sim_size *size;
    unsigned load;
    double memory_mb;
    uint64_t random;
    amb_ms now;
    int current; /* the node whose code runs, or -1 */
    struct sim_result result;

    struct sim_timer timers[SIM_TIMERS]; /* binary heap, earliest first */
    size_t timer_count;
    uint64_t timer_serial;

    struct sim_call calls[SIM_CALLS];
    uint64_t call_serial;
    int last_call;

    struct sim_fault faults[SIM_MAX_FAULTS];
    bool fault_begun[SIM_MAX_FAULTS];
    size_t fault_count;
    amb_ms fault_effects_end; /* end of all faults and of the messages that they delayed */
    struct amb_timer upgrade_timer, duties_timer;
    bool upgraded; /* all nodes have run the present version at the same time */

    struct sim_node nodes[SIM_NODES];
    struct sim_store store;
    struct sim_cloud cloud;
    struct sim_machine machines[SIM_MACHINES];
    int machine_count;
    struct sim_recorded_heartbeat recorded_heartbeats[SIM_REPLAYS]; /* ring buffer */
    uint32_t recorded_count;
    struct sim_job jobs[SIM_JOBS];
    int job_count;
    struct sim_recovery recovery;
    struct sim_extra_request extra_requests[SIM_EXTRA_REQUESTS];
    int last_extra_request;
    struct amb_timer invalid_request_timer;
};
extern struct sim_world world;

/* Called for every transaction that the state service applies, and for every answered message between nodes;
 * NULL: no callback. The setting is kept between simulations. */
extern void (*sim_on_transaction)(const struct sim_call *call, const struct amb_cbor_item *transaction);
extern void (*sim_on_peer_message)(const struct sim_call *call);

/* clock.c */
uint64_t sim_random(void);
amb_ms sim_random_between(amb_ms min, amb_ms max);
int sim_random_node(void);
bool sim_run_timer(amb_ms until); /* runs the next timer if it is due before `until` */
void sim_stop_timers(int owner);

/* network.c */
struct sim_call *sim_call_new(void);
void sim_call_start(struct sim_call *call, amb_ms timeout);
void sim_call_deliver(void *arg); /* timer callback: the request arrives */
void sim_call_answer(struct sim_call *call, int status, struct amb_buf *body); /* takes ownership of body */

/* digest.c: adds to the digest of the simulation */
void sim_digest_request(const struct sim_call *call, amb_ms timeout);
void sim_digest_answer(const struct sim_call *call);
void sim_digest_reply(const struct sim_call *call, int status, const char *type,
                      int retry_after_s); /* reply of a node */

/* state_service.c */
void sim_serve_store(struct sim_call *call);
void sim_store_tick(void);           /* expires leases; notifies watchers once a refusal ends */
bool sim_duties_in_use(void);        /* by the recorded duty mode */
uint64_t sim_leader_revision(void);  /* the recorded leader's term; 0: none */
bool sim_are_returns_recorded(void); /* by the recorded format: no leader of an older version can follow */

/* cloud.c */
void sim_serve_cloud(struct sim_call *call);
void sim_machine_new(int zone, bool spot, amb_ms boot_delay);

/* agents.c */
void sim_machine_address(int index, char out[AMB_NAME_SIZE]); /* address for commands; in network.c */
void sim_serve_agent(struct sim_call *call);
void sim_machine_advance(int index);
void sim_send_heartbeat(void *arg);
void sim_replay_heartbeats(void); /* to every node, when a leader begins its term */
void sim_gang_advance(struct sim_job *job);
bool sim_has_started(const struct sim_task *task); /* has its image and has not exited */

/* users.c */
void sim_draw_jobs(amb_ms length);
struct sim_job *sim_find_job(const char *ref);
int sim_team_limit(void); /* GPUs */
bool sim_all_tasks_done(const struct sim_job *job);
void sim_schedule_request(struct sim_job *job, enum sim_request request, int node, amb_ms delay);
void sim_job_accepted(struct sim_job *job);     /* when a user is first told so */
void sim_start_poll_burst(struct sim_job *job); /* if the fault SIM_POLL_BURST is active */
void sim_job_completed(struct sim_job *job);    /* called when its last task is done */
void sim_cancel_burst(int count, amb_ms hang);
void sim_start_invalid_requests(void);
struct sim_job *sim_job_new(void);
void sim_draw_spec(struct amb_job_spec *spec);
void sim_schedule_submission(struct sim_job *job, amb_ms at);

/* pipelines.c */
void sim_draw_pipelines(amb_ms length);
bool sim_may_submit(struct sim_job *job); /* checks its submit condition */
/* Adds the job's dependencies to the body of its submission. */
void sim_encode_dependencies(struct amb_buf *body, const struct sim_job *job);
void sim_poll_pipeline(const struct sim_job *job); /* queries all its jobs at all nodes */
bool sim_dependencies_done(const struct sim_job *job);
/* True if `other` depends on the job, directly or through others. */
bool sim_is_dependency_of(const struct sim_job *job, const struct sim_job *other);
/* True if a cancellation was requested for the job, or for a dependency that was not reported done. */
bool sim_cancel_requested(const struct sim_job *job);
/* When a user was first told that the job, or a dependency, is cancelled; 0: never. */
amb_ms sim_cancel_confirmed_at(const struct sim_job *job);

/* faults.c */
bool sim_fault_active(enum sim_fault_kind kind, int which); /* which < 0: any */
bool sim_fault_hits(enum sim_fault_kind kind);              /* active, and drawn by its percentage */
bool sim_fault_scheduled(enum sim_fault_kind kind);         /* at any time of the scenario */
bool sim_node_cut(enum sim_fault_kind kind, int node);
/* When a paused node resumes; 0: it is not paused. */
amb_ms sim_node_resumes_at(int node);
bool sim_link_is_open(const struct sim_call *call); /* no fault blocks its path */
int sim_zone_of_node(int node);
void sim_begin_faults(void); /* begins the faults that are due */
amb_ms sim_fault_effects_end(void);

int sim_zone_count(void); /* of the scenario */
const char *sim_zone_name(int zone);
int sim_zone_of_name(const char *name); /* 0 if no zone has this name */

/* recovery.c */
void sim_record_zone_loss(int zone);
void sim_sample_recovery(void);
void sim_check_recovery_complete(void); /* at the end of the simulation */
/* Called when the machine receives a start command for the task. */
void sim_check_recovery_order(const struct sim_machine *machine, const struct sim_task *task);

/* rules.c */
void sim_report_violation(const char *format, ...) __attribute__((format(printf, 1, 2)));
void sim_check_start(const struct sim_machine *machine, const struct sim_task *task);
void sim_check_task(const struct sim_machine *machine, const struct sim_task *task);  /* on every tick */
void sim_check_answer(const struct sim_call *call, const struct amb_cbor_item *body); /* answer to a user */
void sim_check_liveness(void); /* once a second: states that must not last */
/* Called when a machine receives a start command. */
void sim_check_start_command(const struct sim_job *job, const struct sim_command_origin *origin);
void sim_check_reply(const struct sim_node *node, const struct amb_http_req *request, int status,
                     int retry_after_s);   /* reply of a node */
uint32_t sim_open_jobs(void);              /* number of accepted arrays and gangs that are not done */
void sim_check_end(bool all_must_be_done); /* at the end of the simulation */

/* nodes.c */
void sim_start_nodes(void);
void sim_begin_upgrade(const struct sim_fault *fault);
void sim_begin_duties(const struct sim_fault *fault);
amb_ms sim_duties_switched(const struct sim_fault *fault); /* when the last node has been switched */
void sim_check_upgrade_complete(void); /* records when all nodes run the present version */
void sim_node_start(void *arg);
void sim_node_kill(int index, amb_ms restart_delay);
int sim_switch_to(int node); /* sets the node whose code runs next (-1: none); returns the previous one */
int sim_leader(void);
/* The leader, if it runs the present version and restored its records more than min_age ms ago; else NULL. */
const struct amb_node *sim_restored_leader_since(amb_ms min_age);
bool sim_new_leader_began(void); /* true if a node has begun to lead since the last call */

#endif
