/* The placement log while the second format becomes active and the key-value store lowers its limits: one
 * block of many tasks is replaced by several blocks, and a leader may end between any two transactions. The
 * store is fake_store.c. A successor restores the log from it, and must know all tasks that its predecessor
 * may have started. */
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "fake_store.h"
#include "node_fixture.h"

#include "amberpin/codec/placement_block.h"

enum { TASKS = 200, MACHINES = 8, MAX_FLUSHES = 400, UNLIMITED = 100000 };
static const double VALUE_KB = 8, LOWERED_KB = 1;
static const char JOB_KEY[] = "a/job/wk-1";
static const char FORMAT_KEY[] = "a/format";

static struct amb_job *job;
static const char *machine_names = "m-%06u";

/* ---- a leader ---- */

static void put_number(const char *key, const char *field, uint64_t number) {
    struct amb_buf value = {0};
    amb_cbor_write_map(&value, 1);
    amb_cbor_write_string(&value, field);
    amb_cbor_write_uint(&value, number);
    fake_store_put(key, &value);
    amb_buf_free(&value);
}

/* Starts a new process, which has been elected leader and has restored the log. */
static void start_leader(double value_kb, double lowered_kb) {
    fake_http_reset();
    setup(NULL);
    put_number("a/leader", "nonce", 1);
    node->election.term = fake_store_revision("a/leader");
    node->election.ttl = 3600000000;
    node->election.renewed_at = amb_now();
    strcpy(node->settings.member, "n-0");
    strcpy(node->settings.store_addr, "state:1");
    node->settings.value_kb = value_kb;
    node->settings.announced_limits.value_kb = lowered_kb;
    node->settings.store_rps = node->settings.store_write_rps = 3000;
    node->settings.announced_limits.write_rps = 2000;
    node->peers.count = 1;          /* no message from it yet */
    node->controller.ready = false; /* the test places tasks, not the scheduling cycle */
    amb_store_init(&node->store, &node->settings, 1000);
    amb_store_set_leadership(&node->store, true);
    if (fake_store_value(FORMAT_KEY)) amb_format_apply_key(node, fake_store_value(FORMAT_KEY));
    job = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, TASKS);
    job->revision = fake_store_revision(JOB_KEY);
    fake_store_load_records(node);
}

/* Ends the process. Open calls get this outcome. */
static void stop_leader(enum fake_outcome outcome) {
    node->election.role = AMB_ROLE_FOLLOWER;
    do {
        while (fake_store_serve(outcome)) continue;
        fake_clock_advance(2000); /* writes that wait for tokens are sent */
    } while (fake_open_call(""));
    fake_clock_reset();
    fake_http_reset();
    node->election.role = AMB_ROLE_LEADER; /* the fixture tears down a leader */
    teardown(NULL);
}

static void reset(void) {
    fake_http_reset();
    fake_clock_reset();
    fake_store_reset();
    fake_store_set_limits((struct fake_store_limits){.value_kb = VALUE_KB});
    put_number(JOB_KEY, "a", 1);
    start_leader(VALUE_KB, LOWERED_KB);
}

static struct amb_machine *get_machine(uint32_t index) {
    char name[AMB_NAME_SIZE];
    snprintf(name, sizeof name, machine_names, index % MACHINES); /* NOLINT: one of the formats above */
    return amb_machine_get(node, name, true);
}

static void place_tasks(uint32_t first, uint32_t end, uint32_t shift) {
    for (uint32_t i = first; i < end; i++) {
        struct amb_task *task = &job->tasks[i];
        if (task->machine || task->done) continue;
        amb_task_bind(node, task, get_machine(i + shift), job->next_attempt++, AMB_TASK_PLACED);
        amb_placement_block_mark_dirty(node, task, true);
    }
}

static void finish_tasks(uint32_t first, uint32_t end) {
    for (uint32_t i = first; i < end; i++) {
        struct amb_task *task = &job->tasks[i];
        if (!task->machine || task->state == AMB_TASK_PLACED) continue;
        amb_task_mark_done(node, task);
        amb_task_unbind(node, task, "done");
    }
}

/* Loses the task on its machine, and places it on another one. */
static void move_task(uint32_t index) {
    struct amb_task *task = &job->tasks[index];
    if (task->state == AMB_TASK_PLACED || task->done) return;
    amb_task_unbind(node, task, "lost");
    place_tasks(index, index + 1, 3);
}

static void flush(void) {
    if (fake_store_value(FORMAT_KEY))
        amb_format_apply_key(node, fake_store_value(FORMAT_KEY)); /* the watch */
    amb_format_tick(node, amb_now());
    amb_placement_log_flush(node);
}

/* ---- what a successor must restore ---- */

struct known {
    enum amb_task_state state;
    bool done, done_durable;
    uint64_t attempt;
    char machine[AMB_NAME_SIZE];
};

static struct known known[TASKS];
static uint64_t bound_attempts; /* above the attempt of any task that may have been started */

static void remember_state(void) {
    bound_attempts = 0;
    for (uint32_t i = 0; i < TASKS; i++) {
        const struct amb_task *task = &job->tasks[i];
        known[i] = (struct known){task->state, task->done, task->completion == AMB_COMPLETION_DURABLE,
                                  task->attempt, ""};
        if (task->machine) strcpy(known[i].machine, task->machine->name);
        if (task->state >= AMB_TASK_BOUND && task->machine && task->attempt >= bound_attempts)
            bound_attempts = task->attempt + 1;
    }
}

/* Checks that a task that was or may have been started is on the same machine, that a task whose result is
 * durable is done, and that no task is done that was not. A task that has ended may still be on its last
 * machine. */
static void check_known(const char *what, size_t when) {
    for (uint32_t i = 0; i < TASKS; i++) {
        const struct amb_task *task = &job->tasks[i];
        const struct known *expected = &known[i];
        bool there = task->machine && !strcmp(task->machine->name, expected->machine) &&
                     task->attempt == expected->attempt;
        if (expected->done_durable && !task->done)
            fail_msg("%s, end %zu: task %u: its result is lost", what, when, i);
        if (!expected->done && task->done)
            fail_msg("%s, end %zu: task %u: done, but never finished", what, when, i);
        if (expected->state >= AMB_TASK_BOUND && expected->machine[0] && !expected->done && !there)
            fail_msg("%s, end %zu: task %u: on %s by attempt %llu, known on %s by %llu", what, when, i,
                     expected->machine, (unsigned long long)expected->attempt,
                     task->machine ? task->machine->name : "none", (unsigned long long)task->attempt);
        if (expected->state == AMB_TASK_WAITING && !expected->attempt && task->machine)
            fail_msg("%s, end %zu: task %u: on a machine, but never placed", what, when, i);
    }
    if (job->next_attempt < bound_attempts)
        fail_msg("%s, end %zu: attempt numbers would be used again", what, when);
}

/* Runs the job to its end, and checks that no block is left. */
static void run_to_the_end(const char *what, size_t when) {
    uint32_t round = 0;
    for (; job->active && round < MAX_FLUSHES; round++) {
        if (job->state == AMB_JOB_QUEUED) {
            finish_tasks(0, TASKS);
            place_tasks(0, TASKS, 1);
        }
        flush();
        while (fake_store_serve(FAKE_APPLIED)) continue;
        fake_clock_advance(2500);
        fake_store_refill();
    }
    if (job->active || job->state != AMB_JOB_DONE) fail_msg("%s, end %zu: the job does not end", what, when);
    if (fake_store_count("b/")) fail_msg("%s, end %zu: %s is left", what, when, fake_store_key("b/", 0));
}

/* ---- scenarios ---- */

enum { PHASE_COUNT = 7, FLUSHES_PER_PHASE = 4 };

struct scenario {
    const char *what;
    bool written;   /* the second format is activated by its key, else by the first refused value */
    bool lowered;   /* the store lowers its limits */
    uint32_t burst; /* changes between refills after that; 0: any number */
    const char *machines;
};

static void begin_phase(const struct scenario *scenario, int phase) {
    switch (phase) {
    case 0: place_tasks(0, 150, 0); break;
    case 1:
        if (scenario->written) put_number(FORMAT_KEY, "format", 2);
        if (scenario->lowered)
            fake_store_set_limits(
                (struct fake_store_limits){LOWERED_KB, .txn_ops = 4, .burst = scenario->burst});
        place_tasks(190, 192, 0);
        break;
    case 2:
        finish_tasks(10, 12);
        move_task(20);
        break;
    case 3: place_tasks(150, 161, 0); break;
    case 4:
        finish_tasks(0, 10);
        finish_tasks(100, 150);
        move_task(20);
        move_task(21);
        break;
    case 5: move_task(60), place_tasks(161, 200, 0); break;
    default: break;
    }
}

struct fault { /* transactions and reads that get another outcome than FAKE_APPLIED */
    size_t at, count;
    enum fake_outcome outcome;
    size_t late_at; /* number of served calls after which late calls are applied */
};

static enum fake_outcome get_outcome(size_t served, const struct fault *fault) {
    return fault && served >= fault->at && served - fault->at < fault->count ? fault->outcome : FAKE_APPLIED;
}

/* Runs until `stop` transactions and reads have been served. Returns how many were. */
static size_t run_scenario(const struct scenario *scenario, size_t stop, const struct fault *fault) {
    size_t served = 0, refused, carried_out;
    for (int phase = 0; phase < PHASE_COUNT; phase++) {
        begin_phase(scenario, phase);
        for (int flush_index = 0; flush_index < FLUSHES_PER_PHASE; flush_index++) {
            flush();
            while (fake_open_call("/")) {
                if (served == stop) return served;
                fake_store_serve(get_outcome(served, fault));
                served++;
                if (fault && served == fault->late_at) fake_store_serve_late(&refused, &carried_out);
            }
            fake_clock_advance(2500);
            fake_store_refill();
        }
    }
    return served;
}

static const struct scenario scenarios[] = {
    {"first format throughout", .written = false, .lowered = false, .burst = 0, .machines = "m-%06u"},
    {"second format, limits unchanged", .written = true, .lowered = false, .burst = 0, .machines = "m-%06u"},
    {"second format, limits lowered", .written = true, .lowered = true, .burst = 0, .machines = "m-%06u"},
    {"lowered before the format is written", .written = false, .lowered = true, .burst = 0,
     .machines = "m-%06u"},
    {"lowered in a burst", .written = true, .lowered = true, .burst = 2, .machines = "m-%06u"},
    {"lowered in a burst, format not written", .written = false, .lowered = true, .burst = 2,
     .machines = "m-%06u"},
    {"machine names too long for a block of the usual size", .written = true, .lowered = true, .burst = 0,
     .machines = "m-%06u-with-a-longer-name"},
    {"machine names too long for the present limits", .written = true, .lowered = true, .burst = 0,
     .machines = "m-%06u-of-a-cloud-that-gives-its-machines-very-long-names"},
};

static void leader_ends_after_any_transaction(void **state) {
    (void)state;
    static const enum fake_outcome outcomes[] = {FAKE_REQUEST_LOST, FAKE_ANSWER_LOST, FAKE_APPLIED_LATE};
    for (size_t scenario_index = 0; scenario_index < ROWS(scenarios); scenario_index++) {
        machine_names = scenarios[scenario_index].machines;
        for (size_t outcome_index = 0; outcome_index < ROWS(outcomes); outcome_index++) {
            size_t stop = 0, served;
            do {
                reset();
                served = run_scenario(&scenarios[scenario_index], stop, NULL);
                remember_state();
                stop_leader(outcomes[outcome_index]);
                start_leader(VALUE_KB, LOWERED_KB);
                size_t refused, carried_out;
                fake_store_serve_late(&refused, &carried_out);
                if (carried_out)
                    fail_msg("%s, end %zu: a late transaction is applied", scenarios[scenario_index].what,
                             stop);
                check_known(scenarios[scenario_index].what, stop);
                if (scenarios[scenario_index].written)
                    node->peers.list[0].format = AMB_FORMAT_2; /* if not active yet */
                run_to_the_end(scenarios[scenario_index].what, stop);
                stop_leader(FAKE_REQUEST_LOST);
            } while (served == stop++);
            if (stop < 8) fail_msg("%s: over after %zu transactions", scenarios[scenario_index].what, stop);
        }
    }
}

/* Responses are lost, one or all of them for a while, and the transactions are applied at once, later or
 * never. The leader either finishes the job itself, or ends after the scenario and its successor does. */
static void responses_are_lost_at_any_time(void **state) {
    (void)state;
    static const struct {
        enum fake_outcome outcome;
        size_t count, delay;
    } rows[] = {
        {FAKE_ANSWER_LOST, 1, UNLIMITED},   {FAKE_REQUEST_LOST, 1, UNLIMITED},
        {FAKE_APPLIED_LATE, 1, 1},          {FAKE_APPLIED_LATE, 1, 2},
        {FAKE_APPLIED_LATE, 1, 6},          {FAKE_APPLIED_LATE, 1, 12},
        {FAKE_APPLIED_LATE, 1, UNLIMITED},  {FAKE_ANSWER_LOST, 12, UNLIMITED},
        {FAKE_REQUEST_LOST, 12, UNLIMITED}, {FAKE_APPLIED_LATE, 12, 12},
        {FAKE_APPLIED_LATE, 12, 16},        {FAKE_APPLIED_LATE, 12, 24},
        {FAKE_APPLIED_LATE, 12, UNLIMITED},
    };
    for (size_t scenario_index = 0; scenario_index < ROWS(scenarios); scenario_index++) {
        machine_names = scenarios[scenario_index].machines;
        for (size_t row_index = 0; row_index < ROWS(rows); row_index++) {
            size_t served = UNLIMITED;
            for (size_t at = 0; at < served; at++) {
                const struct fault fault = {at, rows[row_index].count, rows[row_index].outcome,
                                            at + rows[row_index].delay};
                for (int leader_stays = 0; leader_stays < 2; leader_stays++) {
                    reset();
                    served = run_scenario(&scenarios[scenario_index], UNLIMITED, &fault);
                    size_t refused, carried_out;
                    fake_store_serve_late(&refused, &carried_out);
                    if (!leader_stays) {
                        remember_state();
                        stop_leader(FAKE_REQUEST_LOST);
                        start_leader(VALUE_KB, LOWERED_KB);
                        check_known(scenarios[scenario_index].what, at);
                    }
                    run_to_the_end(scenarios[scenario_index].what, at);
                    stop_leader(FAKE_REQUEST_LOST);
                }
            }
        }
    }
}

/* The blocks that exist at the end of the scenario, and the refusals of the store during it. Tasks 29 to 57
 * do not change, so that no small block holds them, and the old block remains for them. */
static void written_blocks(void **state) {
    (void)state;
    static const struct {
        size_t old_blocks, new_blocks;
        bool sizes_refused, rates_refused, lowered;
    } want[ROWS(scenarios)] = {
        {2, 0, false, false, false},  {1, 6, false, false, false}, {1, 6, false, false, false},
        {2, 6, true, false, true},    {1, 6, false, true, true},   {2, 6, true, true, true},
        {1, 12, false, false, false}, {0, 32, true, false, false},
    };
    for (size_t scenario_index = 0; scenario_index < ROWS(scenarios); scenario_index++) {
        machine_names = scenarios[scenario_index].machines;
        reset();
        run_scenario(&scenarios[scenario_index], UNLIMITED, NULL);
        const char *what = scenarios[scenario_index].what;
        size_t old = fake_store_count("b/p/"), new = fake_store_count("b/n/");
        if (old != want[scenario_index].old_blocks || new != want[scenario_index].new_blocks)
            fail_msg("%s: %zu old blocks, %zu new ones", what, old, new);
        if ((fake_store_answers(400) > 0) != want[scenario_index].sizes_refused)
            fail_msg("%s: %zu refused for their size", what, fake_store_answers(400));
        if ((fake_store_answers(429) > 0) != want[scenario_index].rates_refused)
            fail_msg("%s: %zu refused for their rate", what, fake_store_answers(429));
        if (node->store.limits_lowered != want[scenario_index].lowered) fail_msg("%s: limits lowered", what);
        if (node->store.writes_per_second != (want[scenario_index].lowered ? 2000 : 3000))
            fail_msg("%s: %g changes a second", what, node->store.writes_per_second);
        if (fake_store_answers(409)) fail_msg("%s: a comparison failed", what);
        if (node->election.role != AMB_ROLE_LEADER) fail_msg("%s: the leader resigned", what);
        for (uint32_t i = 0; i < TASKS; i++)
            if (job->tasks[i].state == AMB_TASK_PLACED) fail_msg("%s: task %u is not recorded", what, i);
        stop_leader(FAKE_REQUEST_LOST);
    }
}

static void put_block(const char *key, const char *placed, const char *done) {
    struct amb_placement_block_builder text = {0};
    struct amb_buf value = {0};
    amb_buf_append_text(&text.placed, placed);
    amb_buf_append_text(&text.completed, done);
    const struct amb_placement_block_header head = {
        .write_id = "1-1", .next_attempt = 10, .catalog = &node->catalog};
    amb_placement_block_encode(&value, &head, &text);
    fake_store_put(key, &value);
    amb_buf_free(&value);
}

/* If two blocks name a task, only the preceding one is authoritative for it. */
static void one_block_is_authoritative(void **state) {
    (void)state;
    static const struct {
        const char *what;
        struct {
            const char *key, *placed, *done;
        } blocks[4];
        const char *want; /* task@machine/attempt, or task! for done */
    } rows[] = {
        {"an old block alone",
         {{"b/p/wk-1/00000", "0,1,m-1,0,0,0;30,1,m-1,0,0,0;", "4-5;"}},
         "0@m-1/1 4! 5! 30@m-1/1 "},
        {"a new block has a task on another machine",
         {{"b/n/wk-1/000029/000000", "0,2,m-2,0,0,0;", ""}, {"b/p/wk-1/00000", "0,1,m-1,0,0,0;", ""}},
         "0@m-2/2 "},
        {"a new block has no machine for a task",
         {{"b/n/wk-1/000029/000000", "", ""}, {"b/p/wk-1/00000", "0,1,m-1,0,0,0;30,1,m-1,0,0,0;", ""}},
         "30@m-1/1 "},
        {"a new block has a task as done",
         {{"b/n/wk-1/000029/000000", "", "0-0;"}, {"b/p/wk-1/00000", "0,1,m-1,0,0,0;1,1,m-1,0,0,0;", ""}},
         "0! "},
        {"blocks of three sizes",
         {{"b/n/wk-1/000014/000001", "14,3,m-3,0,0,0;", ""},
          {"b/n/wk-1/000029/000000", "0,2,m-2,0,0,0;14,2,m-2,0,0,0;", ""},
          {"b/p/wk-1/00000", "0,1,m-1,0,0,0;14,1,m-1,0,0,0;28,1,m-1,0,0,0;29,1,m-1,0,0,0;", ""}},
         "0@m-2/2 14@m-3/3 29@m-1/1 "},
        {"a new block names tasks outside its range",
         {{"b/n/wk-1/000029/000001", "0,2,m-2,0,0,0;30,2,m-2,0,0,0;", "1-2;"}},
         "30@m-2/2 "},
        {"an old block of other settings",
         {{"b/p/wk-1/00009", "0,1,m-1,0,0,0;199,1,m-1,0,0,0;", ""}},
         "0@m-1/1 199@m-1/1 "},
    };
    reset();
    stop_leader(FAKE_REQUEST_LOST);
    for (size_t i = 0; i < ROWS(rows); i++) {
        fake_store_reset();
        put_number(JOB_KEY, "a", 1);
        put_number(FORMAT_KEY, "format", 2);
        setup(NULL);
        for (size_t block_index = 0; block_index < ROWS(rows[i].blocks) && rows[i].blocks[block_index].key;
             block_index++)
            put_block(rows[i].blocks[block_index].key, rows[i].blocks[block_index].placed,
                      rows[i].blocks[block_index].done);
        teardown(NULL);
        start_leader(VALUE_KB, LOWERED_KB);
        struct amb_buf got = {0};
        for (uint32_t task_index = 0; task_index < TASKS; task_index++) {
            const struct amb_task *task = &job->tasks[task_index];
            if (task->done) amb_buf_append_format(&got, "%u! ", task_index);
            if (task->machine)
                amb_buf_append_format(&got, "%u@%s/%llu ", task_index, task->machine->name,
                                      (unsigned long long)task->attempt);
        }
        amb_buf_append(&got, "", 1);
        if (strcmp(got.data, rows[i].want)) fail_msg("%s: %s", rows[i].what, got.data);
        assert_int_equal(job->next_attempt, 10);
        amb_buf_free(&got);
        run_to_the_end(rows[i].what, i);
        stop_leader(FAKE_REQUEST_LOST);
    }
}

static void store_status(void *arg, int status, const struct amb_cbor_item *body) {
    (void)body;
    *(int *)arg = status;
}

/* Only a refused write shows that the store has lowered its write rate. The caller gets the status, and
 * repeats the write. */
static void refused_writes_lower_the_rate(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_store_priority priority;
        bool change;
        int status;
        bool lowered;
    } rows[] = {
        {"a change is refused", AMB_STORE_PRIORITY_PLACEMENT, true, 429, true},
        {"a user's change", AMB_STORE_PRIORITY_USER, true, 429, true},
        {"a change of a lease key", AMB_STORE_PRIORITY_LEASE, true, 429, true},
        {"a read is refused", AMB_STORE_PRIORITY_READ, false, 429, false},
        {"an outage", AMB_STORE_PRIORITY_PLACEMENT, true, 503, false},
        {"no response", AMB_STORE_PRIORITY_PLACEMENT, true, 0, false},
        {"a comparison failed", AMB_STORE_PRIORITY_PLACEMENT, true, 409, false},
        {"malformed", AMB_STORE_PRIORITY_PLACEMENT, true, 400, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        reset();
        int status = -1;
        if (rows[i].change) {
            struct amb_txn transaction = {0};
            amb_txn_remove(&transaction, "a/x");
            amb_store_commit(&node->store, &transaction, rows[i].priority, store_status, &status);
        } else {
            amb_store_get(&node->store, "a/x", rows[i].priority, store_status, &status);
        }
        struct fake_call *call = fake_open_call("/");
        assert_non_null(call);
        fake_answer(call, rows[i].status, NULL);
        if (status != rows[i].status) fail_msg("%s: status %d", rows[i].what, status);
        if (node->store.limits_lowered != rows[i].lowered) fail_msg("%s", rows[i].what);
        if (node->formats.upgrade_complete) fail_msg("%s: the upgrade counts as complete", rows[i].what);
        stop_leader(FAKE_REQUEST_LOST);
    }
}

/* A block that the first version wrote is restored completely, whatever the reader's configured limits. */
static void old_blocks_are_restored(void **state) {
    (void)state;
    static const struct {
        double written_kb, read_kb, lowered_kb;
        bool second_format;
    } rows[] = {
        {8, 8, 8, false},  {8, 8, 1, true},  {8, 2, 2, true}, {8, 1, 1, true},
        {16, 16, 2, true}, {16, 2, 2, true}, {2, 2, 1, true}, {2, 8, 1, true},
    };
    machine_names = "m-%06u";
    for (size_t i = 0; i < ROWS(rows); i++) {
        reset();
        stop_leader(FAKE_REQUEST_LOST);
        fake_store_set_limits((struct fake_store_limits){.value_kb = 16});
        start_leader(rows[i].written_kb, 0);
        place_tasks(0, TASKS, 0);
        flush();
        while (fake_store_serve(FAKE_APPLIED)) continue;
        uint32_t tasks_per_block = amb_placement_block_capacity(AMB_LAYOUT_BY_SETTINGS, rows[i].written_kb);
        assert_int_equal(fake_store_count("b/p/"), (TASKS + tasks_per_block - 1) / tasks_per_block);
        assert_int_equal(fake_store_count("b/n/"), 0);
        remember_state();
        stop_leader(FAKE_REQUEST_LOST);
        if (rows[i].second_format) put_number(FORMAT_KEY, "format", 2);
        fake_store_set_limits((struct fake_store_limits){.value_kb = rows[i].lowered_kb});
        start_leader(rows[i].read_kb, rows[i].lowered_kb);
        check_known("old blocks", i);
        for (uint32_t task_index = 0; task_index < TASKS; task_index++)
            assert_int_equal(job->tasks[task_index].state, AMB_TASK_BOUND);
        run_to_the_end("old blocks", i);
        if (fake_store_answers(400)) fail_msg("row %zu: %zu refused", i, fake_store_answers(400));
        stop_leader(FAKE_REQUEST_LOST);
    }
}

/* A node of the version in production reads and writes the old layout only. */
static void old_version_ignores_new_blocks(void **state) {
    (void)state;
    static const struct scenario scenario = {"", .written = true, .lowered = true, .burst = 0,
                                             .machines = "m-%06u"};
    reset();
    run_scenario(&scenario, UNLIMITED, NULL);
    assert_true(fake_store_count("b/n/") > 0);
    assert_int_equal(fake_store_count("b/p/"), 1);
    stop_leader(FAKE_REQUEST_LOST);
    start_leader(VALUE_KB, LOWERED_KB);
    uint64_t moved = job->tasks[60].attempt;
    amb_job_deactivate(node, job);
    amb_fleet_clear(node);
    node->formats.test_override = AMB_FORMAT_1;
    fake_store_load_records(node);
    assert_true(job->active);
    assert_int_equal(job->block_layout, AMB_LAYOUT_BY_SETTINGS);
    assert_int_equal(job->tasks_per_block, amb_placement_blocks_first_format_size(&node->settings));
    assert_int_equal(job->superseded_count, 0);
    assert_int_equal(job->tasks[60].attempt, 61); /* from the old block */
    assert_true(moved > 61);
    place_tasks(161, 163, 0);
    flush();
    struct fake_call *commit = fake_open_call("/commit");
    assert_non_null(commit);
    assert_non_null(fake_txn_put(commit, "b/p/wk-1/00000", NULL));
    stop_leader(FAKE_REQUEST_LOST);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(leader_ends_after_any_transaction),
        cmocka_unit_test(responses_are_lost_at_any_time),
        cmocka_unit_test(written_blocks),
        cmocka_unit_test(one_block_is_authoritative),
        cmocka_unit_test(refused_writes_lower_the_rate),
        cmocka_unit_test(old_blocks_are_restored),
        cmocka_unit_test(old_version_ignores_new_blocks),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
