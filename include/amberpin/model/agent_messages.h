/* Decoded messages between agents and the leader: an agent's heartbeats with the tasks on its machine, and
 * the commands that the responses carry. */
#ifndef AMBERPIN_MODEL_AGENT_MESSAGES_H
#define AMBERPIN_MODEL_AGENT_MESSAGES_H

#include "amberpin/model/limits.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* State of a task on its machine. */
enum amb_agent_task_state {
    AMB_AGENT_TASK_FETCHING, /* its image is being fetched */
    AMB_AGENT_TASK_WAITING,  /* it waits for the other tasks of its gang */
    AMB_AGENT_TASK_RUNNING,
    AMB_AGENT_TASK_SAVING, /* it saves a checkpoint before it stops */
    AMB_AGENT_TASK_EXITED
};

enum amb_exit_reason {
    AMB_EXIT_NONE,
    AMB_EXIT_DONE,
    AMB_EXIT_STOPPED,          /* stopped as commanded */
    AMB_EXIT_GANG_PEER_GONE,   /* another task of its gang is gone */
    AMB_EXIT_GANG_INCOMPLETE,  /* its gang was not complete in time */
    AMB_EXIT_ERROR,            /* the task itself failed */
    AMB_EXIT_MACHINE_FULL,     /* start rejected: the machine lacks resources */
    AMB_EXIT_ATTEMPT_CONFLICT, /* start rejected: another attempt of the task is on the machine */
    AMB_EXIT_UNKNOWN_JOB,      /* start rejected: the job or task does not exist or is not submitted */
};

/* A task as an agent's heartbeat lists it. */
struct amb_agent_task {
    char job_ref[AMB_NAME_SIZE];
    uint32_t index;
    uint64_t attempt;
    enum amb_agent_task_state state;
    enum amb_exit_reason exit_reason; /* if the task has exited */
    bool checkpoint_saved;            /* it saved a checkpoint before it exited */
};

struct amb_agent_heartbeat {
    char machine[AMB_NAME_SIZE], address[AMB_NAME_SIZE], type[AMB_NAME_SIZE], zone[AMB_NAME_SIZE];
    bool spot;
    uint64_t incarnation;    /* increases when the agent restarts */
    uint64_t sequence;       /* increases with each heartbeat of an incarnation */
    uint64_t fencing_token;  /* the highest that the agent has seen */
    double reclaim_notice_s; /* time until the cloud reclaims the machine; negative: no notice */
    size_t task_count;
    struct amb_agent_task *tasks; /* owned (amb_codec_free_heartbeat) */
};

enum amb_agent_command_kind {
    AMB_COMMAND_RUN,
    AMB_COMMAND_STOP,
    AMB_COMMAND_CLEAR, /* makes the agent forget a task that has exited */
};

struct amb_agent_command {
    enum amb_agent_command_kind kind;
    char job_ref[AMB_NAME_SIZE];
    uint32_t index;
    uint64_t attempt;
    double grace_s; /* STOP only: grace period to save a checkpoint */
};

#endif
