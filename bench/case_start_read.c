/* The fresh read for which starts wait: the turn in which it is applied and every machine's response becomes
 * ready to be sent. */
#include "cases.h"

#include <stdlib.h>

/* Binds one more task to each machine, as a placement that is durable. */
static void bind_tasks(struct amb_node *node, const struct world_size *size) {
    struct amb_job *job = node->jobs.active;
    struct amb_machine *machine = node->fleet.machines;
    while (job && job->spec->kind == AMB_JOB_KIND_GANG) job = job->next_active;
    if (!job) abort();
    for (uint32_t i = 0; i < size->machines && machine; i++, machine = machine->hh.next) {
        struct amb_task *task = amb_alloc(sizeof *task); /* never freed: this process measures and ends */
        task->job = job;
        amb_task_bind(node, task, machine, 1, AMB_TASK_BOUND);
    }
}

static void *all_machines_wait(const struct world_size *size) {
    struct amb_node *node = world_leader(size);
    bind_tasks(node, size);
    for (uint32_t machine = 0; machine < size->machines; machine++) {
        struct amb_buf body = {0};
        world_put_heartbeat(&body, size, machine, 2, NULL);
        amb_agent_handle_request(node, world_request("POST", "/hello", body.data, body.len));
        amb_buf_free(&body);
    }
    return node;
}

static void answer_read(void *input) {
    static const char no_changes[] = "\xa2\x65"
                                     "epoch"
                                     "\x01\x64"
                                     "news"
                                     "\x80";
    struct world_call call = world_last_call();
    (void)input;
    call.done(call.arg, 200, no_changes, sizeof no_changes - 1);
}

/* The first machine's read was in flight when the others reported, so that the next one answers them. */
static void *next_read_in_flight(const struct world_size *size) {
    struct amb_node *node = all_machines_wait(size);
    struct amb_timer *timer = &node->watch.fresh_read_timer;
    answer_read(node);
    amb_timer_stop(timer);
    timer->fn(timer->arg);
    if (node->watch.last_fresh_read_sent != 2) abort();
    return node;
}

static void finish(void *input) {
    struct amb_node *node = input;
    if (node->watch.last_fresh_read_applied != 2) abort();
    world_free(node);
}

static const struct bench_case cases[] = {
    {"start-read/answered", &world_sizes[2], next_read_in_flight, answer_read, finish, true},
    {"start-read/answered", &world_sizes[3], next_read_in_flight, answer_read, finish, true},
    {"start-read/answered", &world_sizes[5], next_read_in_flight, answer_read, finish, true},
};

struct bench_cases bench_start_read_cases(void) {
    return (struct bench_cases){cases, sizeof cases / sizeof *cases};
}
