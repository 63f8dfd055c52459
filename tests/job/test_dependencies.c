/* The dependency graph: tables of small pipelines, random graphs compared with a simple oracle, and large
 * graphs. */
#include "amberpin/base/util.h"
#include "amberpin/job/dependency_graph.h"
#include "check.h"

#include <sys/resource.h>

/* ---- the owner of the graph, which records the callbacks ---- */

enum { MAX_JOBS = 20000 };

static struct recorder {
    struct amb_dependency_graph graph;
    enum amb_job_outcome outcome[MAX_JOBS];
    uint32_t ready[MAX_JOBS]; /* number of on_ready calls */
    uint32_t ready_count, cancelled_count;
    uint32_t cause[MAX_JOBS]; /* from on_cancelled */
    struct amb_effective_priority inherited[MAX_JOBS];
    struct amb_job_dependencies *lists[MAX_JOBS]; /* owned, as last added; freed once the job is final */
} * recorder;

static enum amb_job_outcome get_outcome(void *owner, uint32_t job) {
    return ((struct recorder *)owner)->outcome[job];
}

static void record_ready(void *owner, uint32_t job) {
    struct recorder *told = owner;
    told->ready[job]++;
    told->ready_count++;
}

static void record_cancelled(void *owner, uint32_t job, uint32_t cause) {
    struct recorder *told = owner;
    if (told->outcome[job] != AMB_JOB_OUTCOME_OPEN) fail_msg("%u: cancelled though it is final", job);
    told->outcome[job] = AMB_JOB_OUTCOME_CANCELLED;
    told->cause[job] = cause;
    told->cancelled_count++;
}

static void record_priority(void *owner, uint32_t job, const struct amb_effective_priority *inherited) {
    ((struct recorder *)owner)->inherited[job] = *inherited;
}

static const struct amb_dependency_events events = {get_outcome, record_ready, record_cancelled,
                                                    record_priority};

static int begin(void **state) {
    (void)state;
    recorder = amb_alloc(sizeof *recorder);
    for (uint32_t i = 0; i < MAX_JOBS; i++)
        recorder->inherited[i] = (struct amb_effective_priority){AMB_PRIORITY_BEST_EFFORT, AMB_NO_DUE_TIME};
    amb_dependency_graph_init(&recorder->graph, &events, recorder);
    return 0;
}

static int end(void **state) {
    (void)state;
    amb_dependency_graph_clear(&recorder->graph);
    for (uint32_t i = 0; i < MAX_JOBS; i++) free(recorder->lists[i]);
    free(recorder);
    return 0;
}

static void reset(void) {
    end(NULL);
    begin(NULL);
}

static void add_with_priority(uint32_t job, const uint32_t *dependencies, uint32_t count,
                              enum amb_priority priority, int64_t due, int64_t work) {
    const struct amb_dependent dependent = {{priority, due}, work};
    struct amb_job_dependencies *list = amb_alloc(sizeof *list + count * sizeof *list->ids);
    list->job = job;
    list->count = count;
    for (uint32_t i = 0; i < count; i++) list->ids[i] = dependencies[i];
    bool waits = amb_dependency_graph_is_blocked(&recorder->graph, job);
    amb_dependency_graph_add(&recorder->graph, &dependent, list);
    if (waits) { /* the graph keeps the first list */
        free(list);
        return;
    }
    free(recorder->lists[job]);
    recorder->lists[job] = list;
}

static void add(uint32_t job, const uint32_t *dependencies, uint32_t count) {
    add_with_priority(job, dependencies, count, AMB_PRIORITY_NORMAL, AMB_NO_DUE_TIME, 0);
}

/* A list is borrowed only until its job is final. */
static void free_list(uint32_t job) {
    free(recorder->lists[job]);
    recorder->lists[job] = NULL;
}

static void done(uint32_t job) {
    recorder->outcome[job] = AMB_JOB_OUTCOME_DONE;
    amb_dependency_graph_set_done(&recorder->graph, job);
    free_list(job);
}

static void cancel(uint32_t job) {
    if (recorder->outcome[job] != AMB_JOB_OUTCOME_OPEN) return;
    recorder->outcome[job] = AMB_JOB_OUTCOME_CANCELLED;
    amb_dependency_graph_set_cancelled(&recorder->graph, job);
    free_list(job);
}

static void expect_empty(void) {
    assert_true(amb_dependency_graph_is_empty(&recorder->graph));
    assert_null(recorder->graph.by_id);
}

static bool is_blocked(uint32_t job) {
    return amb_dependency_graph_is_blocked(&recorder->graph, job);
}

/* ---- small pipelines ---- */

/* Runs a script of steps separated by blanks. "2:0,1" adds job 2, which depends on 0 and 1; "+1" marks job 1
 * as done; "-1" cancels it. */
static void run_script(const char *script) {
    char text[256], *rest = text;
    snprintf(text, sizeof text, "%s", script);
    for (char *step; (step = strtok_r(rest, " ", &rest));) {
        if (*step == '+') {
            done((uint32_t)strtoul(step + 1, NULL, 10));
        } else if (*step == '-') {
            cancel((uint32_t)strtoul(step + 1, NULL, 10));
        } else {
            uint32_t dependencies[16], count = 0;
            char *end = step;
            uint32_t job = (uint32_t)strtoul(step, &end, 10);
            while (*end == ':' || *end == ',') dependencies[count++] = (uint32_t)strtoul(end + 1, &end, 10);
            add(job, dependencies, count);
        }
    }
}

static char get_state_letter(uint32_t job) {
    if (recorder->outcome[job] == AMB_JOB_OUTCOME_CANCELLED) return 'c';
    if (recorder->outcome[job] == AMB_JOB_OUTCOME_DONE) return 'd';
    if (is_blocked(job)) return 'w';
    if (recorder->ready[job] > 1) return '!';
    return recorder->ready[job] ? 'r' : '-';
}

/* Compares the states of jobs 0 to 5: (c)ancelled, (d)one, (r)eady once, (w)aiting, - for none of these, and
 * ! for ready more than once. */
static void expect_states(const char *what, const char *states) {
    char seen[16] = {0};
    for (uint32_t i = 0; states[i]; i++) seen[i] = get_state_letter(i);
    if (strcmp(seen, states)) fail_msg("%s: %s, expected %s", what, seen, states);
}

static void small_pipelines(void **state) {
    (void)state;
    static const struct {
        const char *what, *script, *states;
    } rows[] = {
        {"no dependency", "0", "-"},
        {"one dependency", "1:0", "-w"},
        {"the dependency is done", "1:0 +0", "dr"},
        {"the dependency was done before", "+0 1:0", "d-"},
        {"several dependencies", "3:0,1,2 +0 +2", "d-dw"},
        {"several dependencies, all done", "3:0,1,2 +0 +2 +1", "dddr"},
        {"some done before, some after", "+0 3:0,1,2 +1 +2", "dddr"},
        {"a dependency listed twice counts once", "1:0,0,0 +0", "dr"},
        {"a job added twice counts once", "1:0 1:0 +0 1:0", "dr"},
        {"a chain", "1:0 2:1 3:2 +0", "drww"},
        {"a chain becomes ready one by one", "1:0 2:1 3:2 +0 +1", "ddrw"},
        {"a chain added in reverse order", "3:2 2:1 1:0 +0 +1", "ddrw"},
        {"a diamond", "1:0 2:0 3:1,2 +0", "drrw"},
        {"a diamond, one side done", "1:0 2:0 3:1,2 +0 +1", "ddrw"},
        {"a diamond, both sides done", "1:0 2:0 3:1,2 +0 +1 +2", "dddr"},
        {"cancelled at the head", "1:0 2:1 3:2 -0", "cccc"},
        {"cancelled in the middle", "1:0 2:1 3:2 -1", "-ccc"},
        {"cancelled in the middle, the head being done", "1:0 2:1 3:2 +0 -1", "dccc"},
        {"cancelled at the end", "1:0 2:1 3:2 -3", "-wwc"},
        {"a diamond cancelled at its head", "1:0 2:0 3:1,2 -0", "cccc"},
        {"a diamond cancelled at one side", "1:0 2:0 3:1,2 -1", "-cwc"},
        {"a diamond cancelled at one side, the other side goes on", "1:0 2:0 3:1,2 -1 +0 +2", "dcdc"},
        {"cancelled before its dependent is added", "-0 1:0", "cc"},
        {"cancelled before a chain is added", "-0 1:0 2:1", "ccc"},
        {"the last job added first", "2:1 -0 1:0", "ccc"},
        {"the middle job added last", "3:2 1:0 -0 2:1", "cccc"},
        {"one dependency cancelled, one done", "-0 +1 2:1,0", "cdc"},
        {"a done job is not cancelled, nor its dependents", "1:0 +0 -0", "dr"},
        {"done before its dependency is known to be", "2:1 1:0 +1", "-dr"},
        {"a job that depends on two pipelines", "2:0 3:1 4:2,3 -1", "-cwcc"},
        {"a job that depends on itself never starts", "0:0", "w"},
        {"a job that depends on itself can be cancelled", "0:0 1:0 -0", "cc"},
        {"a job that depends on itself can be done", "0:0 1:0 +0", "dr"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        reset();
        run_script(rows[i].script);
        expect_states(rows[i].what, rows[i].states);
    }
}

static void causes(void **state) {
    (void)state;
    static const struct {
        const char *what, *script;
        uint32_t job, cause;
    } rows[] = {
        {"a direct dependent", "1:0 -0", 1, 0},
        {"an indirect dependent", "1:0 2:1 3:2 -0", 3, 0},
        {"added later: its direct dependency", "-0 1:0 2:1", 2, 1},
        {"cancelled by a dependency added late", "2:1 -0 1:0", 2, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        reset();
        run_script(rows[i].script);
        if (recorder->cause[rows[i].job] != rows[i].cause) fail_msg("%s", rows[i].what);
    }
}

/* ---- inherited priorities ---- */

static void priorities_are_inherited(void **state) {
    (void)state;
    static const uint32_t on0[] = {0}, on1[] = {1}, on12[] = {1, 2};
    /* dependency <- dependent: 0 <- 1 <- 3, 0 <- 2 <- 3, 0 <- 4 */
    add_with_priority(1, on0, 1, AMB_PRIORITY_NORMAL, AMB_NO_DUE_TIME, 20);
    add_with_priority(2, on0, 1, AMB_PRIORITY_BEST_EFFORT, 500, 30);
    add_with_priority(3, on12, 2, AMB_PRIORITY_HIGH, 1000, 7);
    add_with_priority(4, on0, 1, AMB_PRIORITY_BEST_EFFORT, AMB_NO_DUE_TIME, 5);
    amb_dependency_graph_propagate_priorities(&recorder->graph);
    static const struct {
        enum amb_priority priority;
        int64_t due;
    } due[] = {{AMB_PRIORITY_HIGH, 470},
               {AMB_PRIORITY_HIGH, 993},
               {AMB_PRIORITY_HIGH, 993},
               {AMB_PRIORITY_BEST_EFFORT, AMB_NO_DUE_TIME}};
    for (uint32_t i = 0; i < ROWS(due); i++) {
        assert_int_equal(recorder->inherited[i].priority, due[i].priority);
        assert_int_equal(recorder->inherited[i].due_wall_ms, due[i].due);
    }
    cancel(2); /* and 3 with it */
    amb_dependency_graph_propagate_priorities(&recorder->graph);
    assert_int_equal(recorder->inherited[0].priority, AMB_PRIORITY_NORMAL);
    assert_int_equal(recorder->inherited[0].due_wall_ms, AMB_NO_DUE_TIME);
    assert_int_equal(recorder->inherited[1].priority, AMB_PRIORITY_BEST_EFFORT);
    assert_int_equal(recorder->inherited[1].due_wall_ms, AMB_NO_DUE_TIME);
    add_with_priority(5, on1, 1, AMB_PRIORITY_PRODUCTION, 90, 1); /* a later stage is submitted */
    amb_dependency_graph_propagate_priorities(&recorder->graph);
    assert_int_equal(recorder->inherited[1].priority, AMB_PRIORITY_PRODUCTION);
    assert_int_equal(recorder->inherited[1].due_wall_ms, 89);
    assert_int_equal(recorder->inherited[0].priority, AMB_PRIORITY_PRODUCTION);
    assert_int_equal(recorder->inherited[0].due_wall_ms, 69);
    cancel(1); /* only 4 still depends on 0 */
    amb_dependency_graph_propagate_priorities(&recorder->graph);
    assert_int_equal(recorder->inherited[0].priority, AMB_PRIORITY_BEST_EFFORT);
    cancel(4);
    assert_int_equal(recorder->inherited[0].due_wall_ms, AMB_NO_DUE_TIME);
    expect_empty(); /* final jobs are not kept */
}

/* ---- random graphs, compared with an oracle ---- */

enum { GENERATED_JOBS = 24, MAX_DEPENDENCIES = 4, GRAPH_COUNT = 1000 };

static struct generated {
    uint32_t count[GENERATED_JOBS], dependencies[GENERATED_JOBS][MAX_DEPENDENCIES];
    struct amb_dependent dependent[GENERATED_JOBS];
    bool accepted[GENERATED_JOBS], done[GENERATED_JOBS], cancelled[GENERATED_JOBS]; /* as told to the graph */
} generated;

static uint32_t seed;

static uint32_t random_below(uint32_t below) {
    seed = seed * 1664525u + 1013904223u;
    return (seed >> 8) % below;
}

/* The expected state, computed from scratch from all that the graph was told. Dependencies have lower numbers
 * than their dependents. */
static struct oracle {
    bool cancelled[GENERATED_JOBS], is_blocked[GENERATED_JOBS];
    struct amb_effective_priority inherited[GENERATED_JOBS];
} oracle;

static void compute_outcomes(void) {
    for (uint32_t i = 0; i < GENERATED_JOBS; i++) {
        bool before = false, open = false;
        for (uint32_t k = 0; generated.accepted[i] && k < generated.count[i]; k++) {
            before |= oracle.cancelled[generated.dependencies[i][k]];
            open |= !generated.done[generated.dependencies[i][k]];
        }
        oracle.cancelled[i] = !generated.done[i] && (generated.cancelled[i] || before);
        oracle.is_blocked[i] = open && !generated.done[i] && !oracle.cancelled[i];
    }
}

static void inherit_priority(struct amb_effective_priority *inherited, struct amb_effective_priority other,
                             int64_t work) {
    if (other.priority > inherited->priority) inherited->priority = other.priority;
    if (other.due_wall_ms == AMB_NO_DUE_TIME) return;
    if (other.due_wall_ms - work < inherited->due_wall_ms) inherited->due_wall_ms = other.due_wall_ms - work;
}

static void compute_priorities(void) {
    for (uint32_t i = 0; i < GENERATED_JOBS; i++)
        oracle.inherited[i] = (struct amb_effective_priority){AMB_PRIORITY_BEST_EFFORT, AMB_NO_DUE_TIME};
    for (uint32_t later = GENERATED_JOBS; later-- > 0;) {
        if (!generated.accepted[later] || generated.done[later] || oracle.cancelled[later]) continue;
        const struct amb_dependent *dependent = &generated.dependent[later];
        for (uint32_t k = 0; k < generated.count[later]; k++) {
            struct amb_effective_priority *inherited = &oracle.inherited[generated.dependencies[later][k]];
            inherit_priority(inherited, dependent->own_priority, dependent->work_ms);
            inherit_priority(inherited, oracle.inherited[later], dependent->work_ms);
        }
    }
}

static void generate_graph(void) {
    memset(&generated, 0, sizeof generated);
    for (uint32_t i = 0; i < GENERATED_JOBS; i++) {
        generated.count[i] = i ? random_below(MAX_DEPENDENCIES + 1) : 0;
        for (uint32_t k = 0; k < generated.count[i]; k++) generated.dependencies[i][k] = random_below(i);
        bool due = random_below(3) == 0;
        generated.dependent[i] =
            (struct amb_dependent){{(enum amb_priority)random_below(AMB_PRIORITY_PRODUCTION + 1),
                                    due ? 1000 + (int64_t)random_below(1000) : AMB_NO_DUE_TIME},
                                   (int64_t)random_below(50)};
    }
}

/* Tells the graph of one possible event: a job is accepted, done or cancelled. Jobs become done in the order
 * of their dependencies, but the graph may be told of it in any order. */
static void tell_random_event(const bool *ended) {
    uint32_t job = random_below(GENERATED_JOBS);
    bool over = generated.done[job] || generated.cancelled[job];
    if (!generated.accepted[job] && !over && random_below(3)) {
        generated.accepted[job] = true;
        if (recorder->outcome[job] == AMB_JOB_OUTCOME_OPEN)
            add_with_priority(job, generated.dependencies[job], generated.count[job],
                              generated.dependent[job].own_priority.priority,
                              generated.dependent[job].own_priority.due_wall_ms,
                              generated.dependent[job].work_ms);
    } else if (!over && ended[job]) {
        generated.done[job] = true;
        done(job);
    } else if (!over && random_below(4) == 0) {
        generated.cancelled[job] = true;
        cancel(job);
    }
}

static void compare(uint32_t graph, uint32_t step, const uint32_t *ready) {
    for (uint32_t i = 0; i < GENERATED_JOBS; i++) {
        enum amb_job_outcome outcome = generated.done[i]     ? AMB_JOB_OUTCOME_DONE
                                       : oracle.cancelled[i] ? AMB_JOB_OUTCOME_CANCELLED
                                                             : AMB_JOB_OUTCOME_OPEN;
        if (recorder->outcome[i] != outcome)
            fail_msg("graph %u step %u job %u: outcome %d", graph, step, i, recorder->outcome[i]);
        if (is_blocked(i) != oracle.is_blocked[i]) fail_msg("graph %u step %u job %u: waits", graph, step, i);
        if (recorder->ready[i] != ready[i]) fail_msg("graph %u step %u job %u: ready", graph, step, i);
    }
    amb_dependency_graph_propagate_priorities(&recorder->graph);
    for (uint32_t i = 0; i < GENERATED_JOBS; i++) {
        if (recorder->outcome[i] != AMB_JOB_OUTCOME_OPEN) continue;
        struct amb_effective_priority inherited = oracle.inherited[i];
        if (recorder->inherited[i].priority != inherited.priority ||
            recorder->inherited[i].due_wall_ms != inherited.due_wall_ms)
            fail_msg("graph %u step %u job %u: inherited priority", graph, step, i);
    }
}

/* Draws the set of jobs that may become done. It contains all dependencies of its members. */
static void generate_ended_jobs(bool *ended) {
    for (uint32_t i = 0; i < GENERATED_JOBS; i++) {
        ended[i] = random_below(3) > 0;
        for (uint32_t k = 0; k < generated.count[i]; k++) ended[i] &= ended[generated.dependencies[i][k]];
    }
}

static void random_graphs(void **state) {
    (void)state;
    for (uint32_t graph = 0; graph < GRAPH_COUNT; graph++) {
        reset();
        seed = graph * 7919 + 1;
        generate_graph();
        bool ended[GENERATED_JOBS];
        uint32_t ready[GENERATED_JOBS] = {0};
        generate_ended_jobs(ended);
        memset(&oracle, 0, sizeof oracle);
        for (uint32_t step = 0; step < GENERATED_JOBS * 4; step++) {
            struct oracle before = oracle;
            tell_random_event(ended);
            compute_outcomes();
            compute_priorities();
            for (uint32_t i = 0; i < GENERATED_JOBS; i++)
                ready[i] += before.is_blocked[i] && !oracle.is_blocked[i] && !generated.done[i] &&
                            !oracle.cancelled[i];
            compare(graph, step, ready);
        }
    }
}

/* ---- large graphs ---- */

enum { CHAIN_JOBS = 10000, STACK_BYTES = 256 * 1024 };

static struct rlimit shrink_stack(void) {
    struct rlimit was, small;
    assert_int_equal(getrlimit(RLIMIT_STACK, &was), 0);
    small = was;
    small.rlim_cur = STACK_BYTES;
    assert_int_equal(setrlimit(RLIMIT_STACK, &small), 0);
    return was;
}

static void add_chain(bool backwards) {
    for (uint32_t i = 1; i < CHAIN_JOBS; i++) {
        uint32_t job = backwards ? CHAIN_JOBS - i : i, before = job - 1;
        add_with_priority(job, &before, 1, AMB_PRIORITY_NORMAL,
                          job == CHAIN_JOBS - 1 ? 1000000 : AMB_NO_DUE_TIME, 1);
    }
}

/* Long chains are processed on a stack that is too small for one frame per job. */
static void deep_chains(void **state) {
    (void)state;
    struct rlimit was = shrink_stack();
    for (int backwards = 0; backwards < 2; backwards++) {
        reset();
        add_chain(backwards);
        amb_dependency_graph_propagate_priorities(&recorder->graph);
        assert_int_equal(recorder->inherited[0].due_wall_ms, 1000000 - (CHAIN_JOBS - 1));
        cancel(0);
        assert_int_equal(recorder->cancelled_count, CHAIN_JOBS - 1);
        expect_empty();
        reset();
        add_chain(backwards);
        for (uint32_t i = 0; i < CHAIN_JOBS; i++) done(i);
        assert_int_equal(recorder->ready_count, CHAIN_JOBS - 1);
        expect_empty();
        reset();
        add_chain(backwards);
        amb_dependency_graph_clear(&recorder->graph);
    }
    assert_int_equal(setrlimit(RLIMIT_STACK, &was), 0);
}

enum { WIDE_JOBS = MAX_JOBS - 2 };

static void wide_graphs(void **state) {
    (void)state;
    static const uint32_t head = 0;
    uint32_t *all = amb_alloc(WIDE_JOBS * sizeof *all);
    for (uint32_t i = 0; i < WIDE_JOBS; i++) all[i] = i + 1;
    for (int cancelled = 0; cancelled < 2; cancelled++) {
        reset();
        for (uint32_t i = 0; i < WIDE_JOBS; i++) add(all[i], &head, 1);
        add_with_priority(WIDE_JOBS + 1, all, WIDE_JOBS, AMB_PRIORITY_HIGH, 100, 1);
        amb_dependency_graph_propagate_priorities(&recorder->graph);
        assert_int_equal(recorder->inherited[0].priority, AMB_PRIORITY_HIGH);
        if (cancelled) {
            cancel(head);
            assert_int_equal(recorder->cancelled_count, WIDE_JOBS + 1);
        } else {
            done(head);
            assert_int_equal(recorder->ready_count, WIDE_JOBS);
            for (uint32_t i = 0; i < WIDE_JOBS; i++) done(all[i]);
            assert_int_equal(recorder->ready[WIDE_JOBS + 1], 1);
        }
        expect_empty();
    }
    free(all);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, begin, end)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(small_pipelines), TEST(causes),      TEST(priorities_are_inherited),
        TEST(random_graphs),   TEST(deep_chains), TEST(wide_graphs),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
