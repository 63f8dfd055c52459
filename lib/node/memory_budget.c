#include "amberpin/node/memory_budget.h"

#include "amberpin/node/node.h"

/* Shares of the memory quota. The rest is for the program itself, machines, connections and messages. */
static const double TASK_SHARE = 1.0 / 3;
static const double ONE_JOB_SHARE = 0.4; /* the largest job, while no other is active */
static const double JOB_TABLE_SHARE = 1.0 / 3;
static const double MACHINE_SHARE = 1.0 / 4;
static const double REMOVED_MACHINES_SHARE = 1.0 / 64;
static const double RESPONSE_SHARE = 1.0 / 8;
static const double REQUEST_INPUT_SHARE = 1.0 / 16;
static const double PEER_INPUT_SHARE = 1.0 / 8;
static const double PEER_VALUES_SHARE = 1.0 / 4;
static const double PEER_MESSAGE_SHARE = 1.0 / 256; /* all cached messages of peers */

enum { ALLOCATION_OVERHEAD = 16, HASH_BUCKET = 16 }; /* bytes per allocation; per entry of a hash table */

static size_t share_of(const struct amb_settings *settings, double share) {
    return (size_t)(settings->memory_mb * 1024 * 1024 * share);
}

size_t amb_memory_max_tasks(const struct amb_settings *settings) {
    return share_of(settings, TASK_SHARE) / sizeof(struct amb_task);
}

size_t amb_memory_max_tasks_of_one_job(const struct amb_settings *settings) {
    return share_of(settings, ONE_JOB_SHARE) / sizeof(struct amb_task);
}

size_t amb_memory_job_table_bytes(const struct amb_settings *settings) {
    return share_of(settings, JOB_TABLE_SHARE);
}

enum {
    JOB_BYTES = sizeof(struct amb_job) + ALLOCATION_OVERHEAD + HASH_BUCKET,
    DESCRIPTION_BYTES = sizeof(struct amb_job_spec) + ALLOCATION_OVERHEAD,
};

size_t amb_memory_job_table_used_bytes(const struct amb_node *node) {
    return HASH_COUNT(node->jobs.all) * (size_t)JOB_BYTES + node->jobs.spec_count * DESCRIPTION_BYTES;
}

bool amb_memory_has_room_for_job(const struct amb_node *node, const struct amb_job_spec *spec) {
    const struct amb_settings *settings = &node->settings;
    size_t table_bytes = amb_memory_job_table_used_bytes(node) + JOB_BYTES + DESCRIPTION_BYTES;
    return table_bytes <= amb_memory_job_table_bytes(settings) &&
           spec->task_count <= amb_memory_max_tasks_of_one_job(settings);
}

/* ---- messages and machines ---- */

enum {
    PAGE_BYTES = 512 * 1024,        /* largest page of a listing of the state service, by the protocol */
    MESSAGES_PER_PEER = 2,          /* that are kept: its heartbeat and its response to ours */
    CONNECTION_BYTES = 1024,        /* a machine's connection, with its heartbeat while it is read */
    TYPICAL_IMAGES_PER_MACHINE = 6, /* whose location the leader and the followers keep */
    IMAGE_BYTES = 256,              /* as JSON in memory */
    MACHINE_BYTES = sizeof(struct amb_machine) + ALLOCATION_OVERHEAD + HASH_BUCKET + CONNECTION_BYTES +
                    (size_t)TYPICAL_IMAGES_PER_MACHINE * IMAGE_BYTES,
};

size_t amb_memory_max_response_bytes(const struct amb_settings *settings) {
    const size_t least = (size_t)2 * PAGE_BYTES, share = share_of(settings, RESPONSE_SHARE);
    return share > least ? share : least;
}

size_t amb_memory_max_request_input_bytes(const struct amb_settings *settings) {
    return share_of(settings, REQUEST_INPUT_SHARE);
}

size_t amb_memory_max_peer_input_bytes(const struct amb_settings *settings, size_t max_message_bytes) {
    const size_t least = 2 * max_message_bytes, share = share_of(settings, PEER_INPUT_SHARE);
    return share > least ? share : least;
}

size_t amb_memory_max_peer_values_bytes(const struct amb_settings *settings) {
    return share_of(settings, PEER_VALUES_SHARE);
}

size_t amb_memory_max_peer_message_bytes(const struct amb_settings *settings) {
    size_t peers = settings->peer_count ? settings->peer_count : 1;
    return share_of(settings, PEER_MESSAGE_SHARE) / (peers * (size_t)MESSAGES_PER_PEER);
}

size_t amb_memory_removed_machines_bytes(const struct amb_settings *settings) {
    return share_of(settings, REMOVED_MACHINES_SHARE);
}

size_t amb_memory_max_machines(const struct amb_settings *settings) {
    return share_of(settings, MACHINE_SHARE) / MACHINE_BYTES;
}
