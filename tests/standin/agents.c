/* Agents on simulated machines: task execution, heartbeats and commands. */
#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    MIN_LONG_POLL_MS = 20, /* a reply that took longer counts as a long poll */
    FOREVER_MS = 1000000000,
    MIN_CHANGE_HEARTBEAT_MS = 500, /* earliest heartbeat after a change */
    RETRY_INTERVAL_MS = 1000,
    MAX_REDIRECT_DELAY_MS = 500,
    HEARTBEAT_TIMEOUT_MS = 4000,
    COPY_TIMEOUT_MS = 60000,
};

bool sim_has_started(const struct sim_task *task) {
    return task->has_image && task->state != AMB_AGENT_TASK_EXITED;
}

static struct sim_task *task_find(struct sim_machine *machine, const char *ref, uint32_t index) {
    for (uint32_t i = 0; i < machine->task_count; i++)
        if (!strcmp(machine->tasks[i].ref, ref) && machine->tasks[i].index == index)
            return &machine->tasks[i];
    return NULL;
}

static void task_done(struct sim_job *job, uint32_t index) {
    bool before = sim_all_tasks_done(job);
    job->done[index] = true;
    if (!before && sim_all_tasks_done(job)) sim_job_completed(job);
}

static void exit_task(struct sim_machine *machine, struct sim_task *task, enum amb_exit_reason reason) {
    task->state = AMB_AGENT_TASK_EXITED;
    task->exit_reason = reason;
    machine->changed = true;
    if (reason == AMB_EXIT_DONE) task_done(sim_find_job(task->ref), task->index);
}

static bool is_active_member(const struct sim_job *job, const struct sim_machine *machine,
                             const struct sim_task *task) {
    return !strcmp(task->ref, job->spec.ref) && task->state != AMB_AGENT_TASK_EXITED && !machine->dead &&
           machine->exists;
}

/* The tasks of a gang's newest attempt and their machines. */
struct gang {
    struct sim_task *tasks[SIM_JOB_TASKS];
    struct sim_machine *machines[SIM_JOB_TASKS];
    uint64_t attempt;
    uint32_t waiting, running;
};

static void gang_add_task(struct gang *gang, struct sim_machine *machine, struct sim_task *task) {
    if (task->attempt < gang->attempt) return;
    if (task->attempt > gang->attempt) {
        memset(gang, 0, sizeof *gang);
        gang->attempt = task->attempt;
    }
    gang->tasks[task->index] = task;
    gang->machines[task->index] = machine;
    gang->waiting += task->state == AMB_AGENT_TASK_WAITING;
    gang->running += task->state == AMB_AGENT_TASK_RUNNING;
}

static void gang_find(struct gang *gang, const struct sim_job *job) {
    memset(gang, 0, sizeof *gang);
    for (struct sim_task *task = job->first_task; task; task = task->next_of_job)
        if (is_active_member(job, task->machine, task)) gang_add_task(gang, task->machine, task);
}

static void gang_start(struct gang *gang, const struct sim_job *job) {
    for (uint32_t i = 0; i < job->spec.task_count; i++) {
        gang->tasks[i]->state = AMB_AGENT_TASK_RUNNING;
        gang->tasks[i]->end_at = world.now + (amb_ms)(job->spec.estimated_runtime_s * 1000);
        gang->machines[i]->changed = true;
    }
}

static void all_tasks_done(struct sim_job *job) {
    for (uint32_t i = 0; i < job->spec.task_count; i++) task_done(job, i);
}

static void gang_task_advance(struct gang *gang, struct sim_job *job, uint32_t index, bool done) {
    struct sim_task *task = gang->tasks[index];
    struct sim_machine *machine = gang->machines[index];
    uint32_t all = job->spec.task_count;
    if (!task || !sim_has_started(task)) return;
    if (task->state == AMB_AGENT_TASK_RUNNING &&
        (done || (gang->running == all && task->end_at <= world.now))) {
        all_tasks_done(job);
        exit_task(machine, task, AMB_EXIT_DONE);
    } else if (task->state == AMB_AGENT_TASK_RUNNING && gang->running < all && gang->waiting < all) {
        exit_task(machine, task, AMB_EXIT_GANG_PEER_GONE);
    } else if (task->state == AMB_AGENT_TASK_WAITING && world.now - task->waiting_since > SIM_GANG_WAIT_MS) {
        exit_task(machine, task, AMB_EXIT_GANG_INCOMPLETE);
    }
}

void sim_gang_advance(struct sim_job *job) {
    struct gang gang;
    bool done = false;
    gang_find(&gang, job);
    if (gang.waiting == job->spec.task_count) gang_start(&gang, job);
    for (uint32_t i = 0; i < job->spec.task_count; i++) done |= job->done[i];
    for (uint32_t i = 0; i < job->spec.task_count; i++) gang_task_advance(&gang, job, i, done);
}

static void expire_lease(struct sim_machine *machine) { /* kills and discards all tasks */
    if (world.now - machine->lease_from <= world.size->agent_lease_ms) return;
    for (uint32_t i = 0; i < machine->task_count; i++) {
        if (machine->tasks[i].state == AMB_AGENT_TASK_EXITED) continue;
        world.result.evicted_tasks++;
        world.result.evicted_batch_tasks += machine->tasks[i].job->spec.kind != AMB_JOB_KIND_SERVICE;
    }
    machine->task_count = 0;
    machine->incarnation++;
    machine->sequence = 0;
    machine->lease_from = world.now;
    machine->changed = true;
}

static amb_ms run_time(const struct sim_job *job, const struct sim_task *task) {
    if (job->done[task->index]) return 0;
    if (job->spec.kind == AMB_JOB_KIND_SERVICE) return FOREVER_MS;
    double factor = job->uneven ? 1 + 4.0 * task->index : 1;
    return (amb_ms)(job->spec.estimated_runtime_s * factor * 1000);
}

static void start_task(struct sim_machine *machine, struct sim_task *task) {
    const struct sim_job *job = task->job;
    task->has_image = true;
    task->state = job->spec.kind == AMB_JOB_KIND_GANG ? AMB_AGENT_TASK_WAITING : AMB_AGENT_TASK_RUNNING;
    task->waiting_since = world.now;
    task->end_at = world.now + run_time(job, task);
    machine->changed = true;
    sim_check_start(machine, task);
    if (job->always_fails || sim_fault_active(SIM_FAULTY_MACHINE, (int)(machine - world.machines)))
        exit_task(machine, task, AMB_EXIT_ERROR);
}

static void advance_task(struct sim_machine *machine, struct sim_task *task) {
    if (task->state == AMB_AGENT_TASK_FETCHING && world.now >= task->image_ready_at)
        start_task(machine, task);
    else if (task->state == AMB_AGENT_TASK_RUNNING && task->job->spec.kind != AMB_JOB_KIND_GANG &&
             world.now >= task->end_at)
        exit_task(machine, task, AMB_EXIT_DONE);
    sim_check_task(machine, task);
}

void sim_machine_advance(int index) {
    struct sim_machine *machine = &world.machines[index];
    if (!machine->exists || machine->dead || !machine->up || world.now < machine->hang_until) return;
    expire_lease(machine);
    for (uint32_t k = 0; k < machine->task_count; k++) advance_task(machine, &machine->tasks[k]);
}

static double used_gpus(const struct sim_machine *machine) {
    double gpus = 0;
    for (uint32_t k = 0; k < machine->task_count; k++)
        if (machine->tasks[k].state != AMB_AGENT_TASK_EXITED)
            gpus += machine->tasks[k].job->spec.task_resources.gpus;
    return gpus;
}

struct agent_command {
    char ref[AMB_NAME_SIZE];
    uint32_t index;
    uint64_t attempt;
};

static void parse_command(const struct amb_cbor_item *item, struct agent_command *command) {
    memset(command, 0, sizeof *command);
    amb_cbor_copy_string(amb_cbor_map_get(item, "leg"), command->ref, sizeof command->ref);
    amb_cbor_get_uint(amb_cbor_map_get(item, "try"), &command->attempt);
    char *slash = strchr(command->ref, '/');
    *slash = 0;
    command->index = (uint32_t)strtoul(slash + 1, NULL, 10);
}

static struct sim_task *task_add(struct sim_machine *machine) {
    if (machine->task_count == machine->task_room) {
        machine->task_room = machine->task_room ? 2 * machine->task_room : 16;
        machine->tasks = amb_realloc(machine->tasks, machine->task_room * sizeof *machine->tasks);
    }
    struct sim_task *task = &machine->tasks[machine->task_count++];
    memset(task, 0, sizeof *task);
    return task;
}

static void run_task(struct sim_machine *machine, const struct agent_command *command,
                     const struct sim_command_origin *origin) {
    const struct sim_task *known = task_find(machine, command->ref, command->index);
    if (known && known->attempt == command->attempt) return;
    bool busy = known && known->state != AMB_AGENT_TASK_EXITED;
    bool full = used_gpus(machine) + sim_find_job(command->ref)->spec.task_resources.gpus > SIM_MACHINE_GPUS;
    struct sim_task *task = task_add(machine);
    task->job = sim_find_job(command->ref);
    memcpy(task->ref, command->ref, sizeof task->ref);
    task->index = command->index;
    task->attempt = command->attempt;
    task->token = machine->token;
    task->state = AMB_AGENT_TASK_FETCHING;
    task->image_ready_at = world.now + sim_cloud_timing.fetch;
    world.result.start_commands++;
    sim_check_start_command(sim_find_job(command->ref), origin);
    sim_check_recovery_order(machine, task);
    if (busy)
        exit_task(machine, task, AMB_EXIT_ATTEMPT_CONFLICT);
    else if (full)
        exit_task(machine, task, AMB_EXIT_MACHINE_FULL);
    machine->changed = true;
}

static void stop_task(struct sim_machine *machine, const struct agent_command *command) {
    struct sim_task *task = task_find(machine, command->ref, command->index);
    if (task && task->attempt == command->attempt && task->state != AMB_AGENT_TASK_EXITED)
        exit_task(machine, task, AMB_EXIT_STOPPED);
}

static void clear_task(struct sim_machine *machine, const struct agent_command *command) {
    struct sim_task *task = task_find(machine, command->ref, command->index);
    if (!task || task->attempt != command->attempt || task->state != AMB_AGENT_TASK_EXITED) return;
    *task = machine->tasks[--machine->task_count];
    machine->changed = true;
}

static void execute_commands(struct sim_machine *machine, const struct amb_cbor_item *commands,
                             const struct sim_command_origin *origin) {
    for (size_t i = 0; i < amb_cbor_list_length(commands); i++) {
        const struct amb_cbor_item *item = amb_cbor_list_item(commands, i),
                                   *verb = amb_cbor_map_get(item, "verb");
        struct agent_command command;
        parse_command(item, &command);
        if (amb_cbor_equals(verb, "run"))
            run_task(machine, &command, origin);
        else if (amb_cbor_equals(verb, "halt"))
            stop_task(machine, &command);
        else
            clear_task(machine, &command);
    }
}

static void encode_heartbeat(struct sim_machine *machine, struct amb_buf *buffer) {
    static const char *const task_states[] = {"fetching", "waiting", "running", "saving", "exited"};
    static const char *const exit_reasons[] = {"?",     "done", "stopped", "peers",  "incomplete",
                                               "error", "full", "busy",    "unknown"};
    char text[AMB_NAME_SIZE + 16];
    machine->sequence++;
    amb_cbor_write_map(buffer, 9);
    amb_cbor_write_string(buffer, "rig"), amb_cbor_write_string(buffer, machine->name);
    sim_machine_address((int)(machine - world.machines), text);
    amb_cbor_write_string(buffer, "address"), amb_cbor_write_string(buffer, text);
    amb_cbor_write_string(buffer, "hull"), amb_cbor_write_string(buffer, "g8");
    amb_cbor_write_string(buffer, "yard"), amb_cbor_write_string(buffer, sim_zone_name(machine->zone));
    amb_cbor_write_string(buffer, "driftwood"), amb_cbor_write_bool(buffer, machine->spot);
    amb_cbor_write_string(buffer, "watch"), amb_cbor_write_uint(buffer, machine->incarnation);
    amb_cbor_write_string(buffer, "tally"), amb_cbor_write_uint(buffer, machine->sequence);
    amb_cbor_write_string(buffer, "baton"), amb_cbor_write_uint(buffer, machine->token);
    amb_cbor_write_string(buffer, "legs"), amb_cbor_write_list(buffer, machine->task_count);
    for (uint32_t k = 0; k < machine->task_count; k++) {
        struct sim_task *task = &machine->tasks[k];
        amb_cbor_write_map(buffer, 4);
        snprintf(text, sizeof text, "%s/%u", task->ref, task->index);
        amb_cbor_write_string(buffer, "leg"), amb_cbor_write_string(buffer, text);
        amb_cbor_write_string(buffer, "try"), amb_cbor_write_uint(buffer, task->attempt);
        amb_cbor_write_string(buffer, "stance"), amb_cbor_write_string(buffer, task_states[task->state]);
        amb_cbor_write_string(buffer, "cause"),
            amb_cbor_write_string(buffer, exit_reasons[task->exit_reason]);
    }
}

struct sent_heartbeat { /* a heartbeat that awaits its reply */
    int machine;
    uint64_t incarnation;
    amb_ms at;
};

static amb_ms draw_heartbeat_interval(void) {
    return sim_random_between(world.size->heartbeat_ms * 3 / 4, world.size->heartbeat_ms * 5 / 4);
}

static bool renews_lease(const struct sim_machine *machine, const struct sent_heartbeat *sent,
                         const struct sim_call *call, const struct amb_cbor_item *body, uint64_t *token) {
    return call->status == 200 && amb_cbor_get_uint(amb_cbor_map_get(body, "baton"), token) &&
           *token >= machine->token && sent->incarnation == machine->incarnation;
}

static amb_ms apply_reply(struct sim_machine *machine, const struct sent_heartbeat *sent,
                          const struct amb_cbor_item *body, uint64_t token, const struct sim_call *call) {
    if (token > machine->token) machine->changed = true;
    machine->token = token;
    machine->lease_from = sent->at;
    amb_ms waited = world.now - sent->at;
    uint32_t before = world.result.start_commands;
    const struct sim_command_origin origin = {sent->at, call->answered_at, call->answered_by_production};
    execute_commands(machine, amb_cbor_map_get(body, "orders"), &origin);
    if (waited > world.result.longest_long_poll_ms) world.result.longest_long_poll_ms = waited;
    if (waited > MIN_LONG_POLL_MS) world.result.long_poll_starts += world.result.start_commands - before;
    amb_ms next = machine->changed ? MIN_CHANGE_HEARTBEAT_MS : draw_heartbeat_interval();
    return waited + 1 < next ? next - waited : 1;
}

/* Returns the delay until the next heartbeat. */
static amb_ms process_reply(struct sim_machine *machine, const struct sent_heartbeat *sent,
                            const struct sim_call *call) {
    const struct amb_cbor_item *body =
        call->answer.len ? amb_cbor_parse(call->answer.data, call->answer.len) : NULL;
    uint64_t token = 0;
    char name[AMB_NAME_SIZE] = "";
    amb_ms next = RETRY_INTERVAL_MS;
    if (renews_lease(machine, sent, call, body, &token)) {
        next = apply_reply(machine, sent, body, token, call);
    } else if (call->status == 421 &&
               amb_cbor_copy_string(amb_cbor_map_get(body, "harbour"), name, sizeof name)) {
        machine->node = name[1] - '0';
        next = sim_random_between(0, MAX_REDIRECT_DELAY_MS);
    } else if (call->status != 200) {
        machine->node = (machine->node + 1) % world.size->nodes;
    }
    machine->changed = false;
    return next;
}

static void heartbeat_answered(struct sim_call *call) {
    struct sent_heartbeat *sent = call->user;
    struct sim_machine *machine = &world.machines[sent->machine];
    amb_ms next = RETRY_INTERVAL_MS;
    machine->heartbeat_pending = false;
    if (machine->exists && !machine->dead && world.now >= machine->hang_until) {
        sim_machine_advance(sent->machine);
        next = process_reply(machine, sent, call);
    }
    free(sent);
    call->user = NULL;
    if (machine->exists) amb_timer_set_after(&machine->heartbeat_timer, next, sim_send_heartbeat, machine);
}

static void ignore_answer(struct sim_call *call) {
    (void)call;
}

static struct sim_call *new_heartbeat_call(const struct sim_machine *machine, int node,
                                           const struct amb_buf *body) {
    struct sim_call *call = sim_call_new();
    call->destination = SIM_TO_API;
    call->node = node;
    call->from_machine = (int)(machine - world.machines);
    strcpy(call->method, "POST");
    strcpy(call->path, "/hello");
    call->body = amb_alloc(body->len + 1);
    memcpy(call->body, body->data, body->len);
    call->len = body->len;
    return call;
}

static void transmit_heartbeat(struct sim_machine *machine, const struct amb_buf *body) {
    struct sim_call *call = new_heartbeat_call(machine, machine->node, body);
    struct sent_heartbeat *sent = amb_alloc(sizeof *sent);
    *sent = (struct sent_heartbeat){(int)(machine - world.machines), machine->incarnation, world.now};
    call->user = sent;
    call->on_reply = heartbeat_answered;
    sim_call_start(call, HEARTBEAT_TIMEOUT_MS);
}

/* Sends a copy that the network delivers later, after min_delay to max_delay. */
static void send_copy(int machine, int node, const struct amb_buf *body, amb_ms min_delay, amb_ms max_delay) {
    struct sim_call *call = new_heartbeat_call(&world.machines[machine], node, body);
    call->on_reply = ignore_answer;
    sim_call_start(call, COPY_TIMEOUT_MS);
    amb_timer_set_after(&call->delivery_timer, sim_random_between(min_delay, max_delay), sim_call_deliver,
                        call);
}

static void record_heartbeat(int machine, const struct amb_buf *body) {
    struct sim_recorded_heartbeat *recorded =
        &world.recorded_heartbeats[world.recorded_count++ % SIM_REPLAYS];
    amb_buf_free(&recorded->body);
    recorded->machine = machine;
    amb_buf_append(&recorded->body, body->data, body->len);
}

/* Half of the copies arrive at once, half while the leader restores its view of the machines. */
void sim_replay_heartbeats(void) {
    for (int i = 0; i < SIM_REPLAYS; i++) {
        struct sim_recorded_heartbeat *recorded = &world.recorded_heartbeats[i];
        if (!recorded->body.len) continue;
        for (int node = 0; node < world.size->nodes; node++)
            send_copy(recorded->machine, node, &recorded->body, 1,
                      sim_random() % 2 ? 20 : 3 * world.size->heartbeat_ms);
        amb_buf_free(&recorded->body);
    }
}

void sim_send_heartbeat(void *arg) {
    struct sim_machine *machine = arg;
    int index = (int)(machine - world.machines);
    if (!machine->exists || machine->dead) return;
    if (world.now < machine->hang_until) {
        amb_timer_set(&machine->heartbeat_timer, machine->hang_until, sim_send_heartbeat, machine);
        return;
    }
    sim_machine_advance(index);
    struct amb_buf body = {0};
    encode_heartbeat(machine, &body);
    bool duplicated = sim_fault_active(SIM_DUPLICATE_HEARTBEATS, index) && sim_random() % 3 == 0;
    transmit_heartbeat(machine, &body);
    if (duplicated) send_copy(index, sim_random_node(), &body, 3000, 25000);
    if (sim_fault_hits(SIM_LATE_HEARTBEAT_COPIES))
        send_copy(index, sim_random_node(), &body, 2000, world.size->agent_lease_ms * 3 / 2);
    if (sim_fault_hits(SIM_REPLAYED_HEARTBEATS)) record_heartbeat(index, &body);
    amb_buf_free(&body);
    machine->heartbeat_pending = true;
}

void sim_serve_agent(struct sim_call *call) {
    struct sim_machine *machine = &world.machines[call->machine];
    if (!machine->exists || machine->dead || !machine->up || world.now < machine->hang_until) {
        if (machine->exists && !machine->dead && world.now < machine->hang_until)
            amb_timer_set(&call->delivery_timer, machine->hang_until + 1, sim_call_deliver, call);
        return; /* no reply; a hung machine executes the command when it resumes */
    }
    sim_machine_advance(call->machine);
    int status = 200;
    if (!strcmp(call->path, "/commands")) {
        const struct amb_cbor_item *body = amb_cbor_parse(call->body, call->len);
        uint64_t token = 0, incarnation = 0;
        amb_cbor_get_uint(amb_cbor_map_get(body, "baton"), &token);
        amb_cbor_get_uint(amb_cbor_map_get(body, "watch"), &incarnation);
        if (token < machine->token || incarnation != machine->incarnation) {
            status = 409;
        } else {
            machine->token = token;
            execute_commands(machine, amb_cbor_map_get(body, "orders"),
                             &(struct sim_command_origin){.issued_at = world.now});
        }
    }
    struct amb_buf buffer = {0};
    encode_heartbeat(machine, &buffer);
    sim_call_answer(call, status, &buffer);
}
