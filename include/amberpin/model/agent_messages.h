/* What agents and the leader tell each other, decoded: an agent's heartbeats with the tasks on its machine,
 * and the commands that the responses carry. */
#ifndef AMBERPIN_MODEL_AGENT_MESSAGES_H
#define AMBERPIN_MODEL_AGENT_MESSAGES_H

#include "amberpin/model/limits.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What a task does on its machine. */
enum amb_agent_task_state {
    AMB_AGENT_TASK_FETCHING, /* its image */
    AMB_AGENT_TASK_WAITING,  /* for the other tasks of its gang */
    AMB_AGENT_TASK_RUNNING,
    AMB_AGENT_TASK_SAVING, /* a checkpoint, before it stops */
    AMB_AGENT_TASK_EXITED
};

enum amb_exit_reason {
    AMB_EXIT_NONE,
    AMB_EXIT_DONE,             /* completed */
    AMB_EXIT_STOPPED,          /* as commanded */
    AMB_EXIT_GANG_PEER_GONE,   /* another task of its gang is gone */
    AMB_EXIT_GANG_INCOMPLETE,  /* its gang was not complete in time */
    AMB_EXIT_ERROR,            /* failed by itself */
    AMB_EXIT_MACHINE_FULL,     /* start refused: the machine has no room */
    AMB_EXIT_ATTEMPT_CONFLICT, /* start refused: the task is there with another attempt */
    AMB_EXIT_UNKNOWN_JOB,      /* start refused: no such job or task, or it is not submitted */
};

/* A task as an agent's heartbeat lists it. */
struct amb_agent_task {
    char job_ref[AMB_NAME_SIZE];
    uint32_t index;
    uint64_t attempt;
    enum amb_agent_task_state state;
    enum amb_exit_reason exit_reason; /* of an exited task */
    bool checkpoint_saved;            /* it saved a checkpoint before it exited */
};

struct amb_agent_heartbeat {
    char machine[AMB_NAME_SIZE], address[AMB_NAME_SIZE], type[AMB_NAME_SIZE], zone[AMB_NAME_SIZE];
    bool spot;
    uint64_t incarnation;    /* grows when the agent restarts */
    uint64_t sequence;       /* grows with each heartbeat of an incarnation */
    uint64_t fencing_token;  /* the highest that the agent has met */
    double reclaim_notice_s; /* until the cloud takes the machine back; negative: no notice */
    size_t task_count;
    struct amb_agent_task *tasks; /* owned (amb_codec_free_heartbeat) */
};

enum amb_agent_command_kind {
    AMB_COMMAND_RUN,
    AMB_COMMAND_STOP,
    AMB_COMMAND_CLEAR, /* forget a task that has exited */
};

struct amb_agent_command {
    enum amb_agent_command_kind kind;
    char job_ref[AMB_NAME_SIZE];
    uint32_t index;
    uint64_t attempt;
    double grace_s; /* of STOP: time to save a checkpoint */
};

#endif
