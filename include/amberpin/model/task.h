/* A task of a job that the leader schedules. A standby controller keeps no tasks. */
#ifndef AMBERPIN_MODEL_TASK_H
#define AMBERPIN_MODEL_TASK_H

#include "amberpin/base/util.h"
#include "amberpin/model/agent_messages.h"

struct amb_job;
struct amb_machine;

enum amb_task_state {
    AMB_TASK_WAITING, /* not placed on a machine */
    AMB_TASK_PLACED,  /* machine chosen, but the placement is not durable: no command may be sent */
    AMB_TASK_BOUND,   /* placement durable: it may be on its machine, but no heartbeat has listed it */
    AMB_TASK_SEEN,    /* listed by a heartbeat of its machine */
    AMB_TASK_DONE,
};

/* Whether the completion of a done task has been recorded in the state service. */
enum amb_completion_record {
    AMB_COMPLETION_UNRECORDED,
    AMB_COMPLETION_WRITING, /* its block is being written */
    AMB_COMPLETION_DURABLE,
};

/* Kept small: a job may have AMB_TASKS_MAX tasks, and the memory budget counts the size of each. */
struct amb_task {
    enum amb_task_state state;
    enum amb_agent_task_state agent_state; /* valid in state SEEN */
    bool done;
    enum amb_completion_record completion : 8; /* one byte, for the size of the structure */
    bool write_in_flight;                      /* it is PLACED, and its block is being written */
    bool stop_requested;                       /* a stop command was sent or is to be sent */
    bool interrupted;          /* it was running and was lost, so it is placed before others */
    bool start_sent;           /* a run command was sent, in any response */
    bool inherited;            /* placed by an earlier leader, which may have sent a run command */
    uint8_t missed_heartbeats; /* heartbeats that should have listed it and did not */
    uint32_t index;            /* in its job */
    bool start_due;            /* its machine's newest heartbeat shows that it must be told to start */
    bool start_unconfirmed;    /* a run command was sent in the response to the newest heartbeat */
    uint64_t attempt;
    struct amb_machine *machine; /* borrowed; NULL: not placed */
    struct amb_task *next_on_machine, *prev_on_machine;
    struct amb_job *job;
    uint64_t last_listed_in; /* number of the heartbeat that last listed it */
    amb_ms state_since;
    amb_ms running_at; /* since when it runs; 0: it does not run */
    double grace_s;    /* grace period of the requested stop */
};

#endif
