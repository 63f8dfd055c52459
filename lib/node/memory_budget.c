#include "amberpin/node/memory_budget.h"

#include "amberpin/node/node.h"

/* Shares of the memory quota. The rest is for the program itself, machines, connections and messages. */
static const double TASK_SHARE = 1.0 / 3;
static const double ONE_JOB_SHARE = 0.4; /* the largest job, while no other is active */
static const double JOB_TABLE_SHARE = 1.0 / 3;
static const double NEARLY_FULL_SHARE = 3.0 / 4;      /* of the job table */
static const double UNHEARD_JOBS_MAX_SHARE = 1.0 / 4; /* of the job table */
static const double DRAFT_SHARE = 1.0 / 16;
static const double MACHINE_SHARE = 1.0 / 4;
static const double REMOVED_MACHINES_SHARE = 1.0 / 64;
static const double DEFERRED_COMMANDS_SHARE = 1.0 / 64;
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

/* Dependencies. A name has an entry in a table of names and, while its job waits or is waited for, one in the
 * dependency graph. An edge is a number in the list of the dependent and one in that of the dependency, which
 * may have room for further ones. */
enum {
    ID_BYTES = sizeof(uint32_t),
    ID_TABLES_BYTES = sizeof(void *) * 2 * 2, /* two tables by number, at most twice as long as necessary */
    NAME_BYTES = sizeof(struct amb_job_name) + ALLOCATION_OVERHEAD + HASH_BUCKET + ID_TABLES_BYTES,
    FIRST_DEPENDENTS_BYTES = AMB_GRAPH_FIRST_DEPENDENTS * ID_BYTES + ALLOCATION_OVERHEAD,
    GRAPH_JOB_BYTES = sizeof(struct amb_graph_job) + ALLOCATION_OVERHEAD + FIRST_DEPENDENTS_BYTES,
    LIST_BYTES = sizeof(struct amb_job_dependencies) + ALLOCATION_OVERHEAD,
    EDGE_BYTES = ID_BYTES + ID_BYTES + ID_BYTES / AMB_GRAPH_GROWTH_DIVISOR,
};

static size_t dependency_bytes(const struct amb_dependency_usage *usage) {
    return usage->lists * LIST_BYTES + usage->edges * EDGE_BYTES +
           usage->names * (size_t)(NAME_BYTES + GRAPH_JOB_BYTES) + usage->name_bytes;
}

size_t amb_memory_job_table_used_bytes(const struct amb_node *node) {
    return HASH_COUNT(node->jobs.all) * (size_t)JOB_BYTES + node->jobs.spec_count * DESCRIPTION_BYTES +
           dependency_bytes(&node->jobs.names.usage);
}

/* ---- submissions ---- */

enum {
    LONGEST_NAME_BYTES = 49,      /* of a job, with its terminating zero */
    SHORTEST_NAME_JSON_BYTES = 7, /* "wk-1" in a list, with quotes and comma */
    BYTES_PER_KB = 1024,
    DRAFTS_LEAST_BYTES = 64 * 1024, /* the largest body of a submission, by the protocol */
};
static const double UNHEARD_S = 1; /* time in which other nodes accept jobs before this one hears of them */

/* Returns the number of names that half of a record has room for, which are as many as admission allows. */
static size_t max_dependencies(const struct amb_settings *settings) {
    double record_bytes = amb_settings_lowered_limits(settings).value_kb * BYTES_PER_KB;
    return (size_t)(record_bytes / 2) / SHORTEST_NAME_JSON_BYTES;
}

/* Returns the bytes that jobs take which other nodes may have accepted unknown to this one. */
static size_t unheard_jobs_bytes(const struct amb_node *node) {
    const struct amb_settings *settings = &node->settings;
    size_t jobs = (size_t)(settings->store_write_rps * UNHEARD_S) + 1;
    size_t edges = jobs * max_dependencies(settings);
    size_t known_jobs = HASH_COUNT(node->jobs.all), known_names = node->jobs.names.usage.names;
    size_t unlisted = known_jobs > known_names ? known_jobs - known_names : 0;
    const struct amb_dependency_usage usage = {
        .lists = jobs,
        .edges = edges,
        .names = jobs + (unlisted < edges ? unlisted : edges),
        .name_bytes = 0,
    };
    size_t bytes = jobs * (JOB_BYTES + DESCRIPTION_BYTES) + dependency_bytes(&usage) +
                   usage.names * (size_t)LONGEST_NAME_BYTES;
    size_t most = (size_t)((double)amb_memory_job_table_bytes(settings) * UNHEARD_JOBS_MAX_SHARE);
    return bytes < most ? bytes : most;
}

size_t amb_memory_job_bytes(const struct amb_dependency_usage *dependencies) {
    return JOB_BYTES + DESCRIPTION_BYTES + dependency_bytes(dependencies);
}

static size_t claimed_bytes(const struct amb_node *node) {
    return amb_memory_job_table_used_bytes(node) + node->jobs.reserved_bytes;
}

bool amb_memory_has_room_for_job(const struct amb_node *node, const struct amb_job_spec *spec,
                                 const struct amb_dependency_usage *dependencies) {
    const struct amb_settings *settings = &node->settings;
    size_t table_bytes = claimed_bytes(node) + amb_memory_job_bytes(dependencies);
    if (dependencies->lists) table_bytes += unheard_jobs_bytes(node);
    return table_bytes <= amb_memory_job_table_bytes(settings) &&
           spec->task_count <= amb_memory_max_tasks_of_one_job(settings);
}

bool amb_memory_can_hold_dependencies(const struct amb_settings *settings,
                                      const struct amb_dependency_usage *dependencies) {
    double most = (double)amb_memory_job_table_bytes(settings) * (1 - UNHEARD_JOBS_MAX_SHARE);
    return (double)amb_memory_job_bytes(dependencies) <= most;
}

bool amb_memory_is_nearly_full(const struct amb_node *node) {
    double most = (double)amb_memory_job_table_bytes(&node->settings) * NEARLY_FULL_SHARE;
    return (double)claimed_bytes(node) > most;
}

size_t amb_memory_max_draft_bytes(const struct amb_settings *settings) {
    const size_t share = share_of(settings, DRAFT_SHARE);
    return share > DRAFTS_LEAST_BYTES ? share : DRAFTS_LEAST_BYTES;
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

size_t amb_memory_max_deferred_commands(const struct amb_settings *settings) {
    return share_of(settings, DEFERRED_COMMANDS_SHARE) / sizeof(struct amb_agent_command);
}

size_t amb_memory_removed_machines_bytes(const struct amb_settings *settings) {
    return share_of(settings, REMOVED_MACHINES_SHARE);
}

size_t amb_memory_max_machines(const struct amb_settings *settings) {
    return share_of(settings, MACHINE_SHARE) / MACHINE_BYTES;
}
