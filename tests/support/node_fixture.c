#include "node_fixture.h"
#include "bare_node.h"
#include "check.h"

struct amb_node *node;
struct amb_agent_command reply_commands[FIXTURE_MAX_COMMANDS];
size_t reply_command_count;

struct amb_job *add_active_job(const char *ref, enum amb_job_kind kind, uint32_t tasks) {
    struct amb_job *job = amb_alloc(sizeof *job);
    strcpy(job->ref, ref);
    job->spec = amb_alloc(sizeof *job->spec);
    node->jobs.spec_count++;
    strcpy(job->spec->ref, ref);
    strcpy(job->spec->image, "img");
    job->spec->kind = kind;
    job->spec->task_count = tasks;
    job->spec->task_resources = (struct amb_resources){8, 1, 40};
    job->spec->checkpoint_interval_s = 10;
    job->spec->checkpoint_save_s = 2;
    job->team = &node->settings.teams[0];
    HASH_ADD_STR(node->jobs.all, ref, job);
    amb_job_activate(node, job);
    return job;
}

int setup(void **state) {
    (void)state;
    amb_loop_init();
    node = bare_node_new();
    node->settings.team_count = 1;
    node->settings.heartbeat_s = 1;
    node->settings.agent_lease_s = 10;
    node->settings.cancel_s = 30;
    node->settings.value_kb = 8;
    node->settings.memory_mb = 40;
    node->settings.txn_ops = 8;
    node->catalog.type_count = 1;
    strcpy(node->catalog.types[0].name, "g8");
    node->catalog.types[0].resources = (struct amb_resources){96, 8, 576};
    node->cloud.catalog_known = true;
    node->election.role = AMB_ROLE_LEADER;
    node->election.term = TERM;
    node->election.ttl = 3600000;
    node->election.fence_after = 19000;
    node->election.yield_duration = 10000;
    node->election.renewed_at = amb_now();
    node->controller.restored_at = 1;
    node->controller.ready = true;
    return 0;
}

int teardown(void **state) {
    (void)state;
    /* The event loop never runs, so no timer fires and no call is sent. */
    amb_controller_stop_leading(node, "end of test");
    bare_node_free(node);
    return 0;
}

/* Adds the starts as the response does that waits for a fresh read. */
static void apply_fresh_read_and_add_starts(const char *name, struct amb_command_list *list) {
    struct amb_machine *machine = amb_machine_get(node, name, false);
    if (!machine) return;
    node->watch.last_fresh_read_sent = node->watch.last_fresh_read_applied = machine->start_read;
    amb_command_list_add_starts(node, machine, list);
}

bool deliver_heartbeat(const char *machine, uint64_t incarnation, uint64_t sequence, uint64_t token,
                       amb_ms now, const struct amb_agent_task *tasks, size_t task_count) {
    struct amb_agent_heartbeat heartbeat = {.incarnation = incarnation,
                                            .sequence = sequence,
                                            .fencing_token = token,
                                            .reclaim_notice_s = -1,
                                            .task_count = task_count};
    strcpy(heartbeat.machine, machine);
    strcpy(heartbeat.address, "127.0.0.1:1");
    strcpy(heartbeat.type, "g8");
    strcpy(heartbeat.zone, "a");
    heartbeat.tasks = (struct amb_agent_task *)tasks;
    struct amb_command_list list = {reply_commands, ROWS(reply_commands), 0};
    const struct amb_machine *known = amb_machine_get(node, machine, false);
    bool is_newer = !known || amb_heartbeat_is_newer(&heartbeat, known);
    enum amb_heartbeat_result result = amb_heartbeat_process(node, &heartbeat, now, &list);
    if (is_newer) apply_fresh_read_and_add_starts(machine, &list);
    reply_command_count = list.count;
    return result == AMB_HEARTBEAT_PROCESSED;
}

size_t count_commands(enum amb_agent_command_kind kind) {
    size_t count = 0;
    for (size_t i = 0; i < reply_command_count; i++) count += reply_commands[i].kind == kind;
    return count;
}

struct amb_task *bind_task(struct amb_job *job, uint32_t index, const char *machine, uint64_t attempt) {
    amb_task_bind(node, &job->tasks[index], amb_machine_get(node, machine, true), attempt, AMB_TASK_BOUND);
    return &job->tasks[index];
}

struct amb_agent_task make_agent_task(const char *ref, uint32_t index, uint64_t attempt,
                                      enum amb_agent_task_state agent_state,
                                      enum amb_exit_reason exit_reason) {
    struct amb_agent_task agent_task = {
        .index = index, .attempt = attempt, .state = agent_state, .exit_reason = exit_reason};
    strcpy(agent_task.job_ref, ref);
    return agent_task;
}
