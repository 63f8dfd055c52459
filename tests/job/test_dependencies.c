/* The graph of awaited jobs: tables of small pipelines, drawn ones against a plain oracle, and large ones. */
#include "amberpin/base/util.h"
#include "amberpin/job/dependency_graph.h"
#include "check.h"

#include <sys/resource.h>

/* ---- the owner of a graph, which notes what it is told ---- */

enum { JOBS_MOST = 20000 };

static struct world {
    struct amb_dependency_graph graph;
    enum amb_job_outcome outcome[JOBS_MOST];
    uint32_t ready[JOBS_MOST]; /* times told */
    uint32_t ready_count, cancelled_count;
    uint32_t cause[JOBS_MOST]; /* of its cancellation, as told */
    struct amb_effective_priority need[JOBS_MOST];
} * world;

static const char *name_of(uint32_t job) {
    static char names[4][AMB_NAME_SIZE];
    static uint32_t at;
    char *name = names[at++ % ROWS(names)];
    snprintf(name, AMB_NAME_SIZE, "wk-%u", job);
    return name;
}

static uint32_t job_of(const char *name) {
    return (uint32_t)strtoul(name + 3, NULL, 10);
}

static enum amb_job_outcome outcome_of(void *owner, const char *name) {
    return ((struct world *)owner)->outcome[job_of(name)];
}

static void told_ready(void *owner, const char *name) {
    struct world *told = owner;
    told->ready[job_of(name)]++;
    told->ready_count++;
}

static void told_cancelled(void *owner, const char *name, const char *cause) {
    struct world *told = owner;
    if (told->outcome[job_of(name)] != AMB_JOB_OUTCOME_OPEN)
        fail_msg("%s: cancelled though it is over", name);
    told->outcome[job_of(name)] = AMB_JOB_OUTCOME_CANCELLED;
    told->cause[job_of(name)] = job_of(cause);
    told->cancelled_count++;
}

static void told_priority(void *owner, const char *name, const struct amb_effective_priority *need) {
    ((struct world *)owner)->need[job_of(name)] = *need;
}

static const struct amb_dependency_events events = {outcome_of, told_ready, told_cancelled, told_priority};

static int begin(void **state) {
    (void)state;
    world = amb_alloc(sizeof *world);
    for (uint32_t i = 0; i < JOBS_MOST; i++)
        world->need[i] = (struct amb_effective_priority){AMB_PRIORITY_BEST_EFFORT, AMB_NO_DUE_TIME};
    amb_dependency_graph_init(&world->graph, &events, world);
    return 0;
}

static int end(void **state) {
    (void)state;
    amb_dependency_graph_clear(&world->graph);
    free(world);
    return 0;
}

static void anew(void) {
    end(NULL);
    begin(NULL);
}

static void add_urgent(uint32_t job, const uint32_t *awaited, uint32_t count, enum amb_priority priority,
                       int64_t due, int64_t work) {
    char(*names)[AMB_NAME_SIZE] = amb_alloc((count + 1) * sizeof *names);
    for (uint32_t i = 0; i < count; i++) strcpy(names[i], name_of(awaited[i]));
    const struct amb_dependent dependent = {{priority, due}, work};
    amb_dependency_graph_add(&world->graph, name_of(job), &dependent, (const char(*)[AMB_NAME_SIZE])names,
                             count);
    free(names);
}

static void add(uint32_t job, const uint32_t *awaited, uint32_t count) {
    add_urgent(job, awaited, count, AMB_PRIORITY_NORMAL, AMB_NO_DUE_TIME, 0);
}

static void done(uint32_t job) {
    world->outcome[job] = AMB_JOB_OUTCOME_DONE;
    amb_dependency_graph_set_done(&world->graph, name_of(job));
}

static void cancel(uint32_t job) {
    if (world->outcome[job] != AMB_JOB_OUTCOME_OPEN) return;
    world->outcome[job] = AMB_JOB_OUTCOME_CANCELLED;
    amb_dependency_graph_set_cancelled(&world->graph, name_of(job));
}

static bool waits(uint32_t job) {
    return amb_dependency_graph_is_blocked(&world->graph, name_of(job));
}

/* ---- small pipelines ---- */

/* A script: "2:0,1" job 2 awaits 0 and 1; "+1" job 1 is done; "-1" it is cancelled. Steps are parted by
 * blanks.
 */
static void play(const char *script) {
    char text[256], *rest = text;
    snprintf(text, sizeof text, "%s", script);
    for (char *step; (step = strtok_r(rest, " ", &rest));) {
        if (*step == '+') {
            done((uint32_t)strtoul(step + 1, NULL, 10));
        } else if (*step == '-') {
            cancel((uint32_t)strtoul(step + 1, NULL, 10));
        } else {
            uint32_t awaited[16], count = 0;
            char *end = step;
            uint32_t job = (uint32_t)strtoul(step, &end, 10);
            while (*end == ':' || *end == ',') awaited[count++] = (uint32_t)strtoul(end + 1, &end, 10);
            add(job, awaited, count);
        }
    }
}

static char fate_of(uint32_t job) {
    if (world->outcome[job] == AMB_JOB_OUTCOME_CANCELLED) return 'c';
    if (world->outcome[job] == AMB_JOB_OUTCOME_DONE) return 'd';
    if (waits(job)) return 'w';
    if (world->ready[job] > 1) return '!';
    return world->ready[job] ? 'r' : '-';
}

/* What has become of jobs 0 to 5: (c)ancelled, (d)one, told (r)eady, (w)aiting, or - nothing of all that. */
static void expect(const char *what, const char *fates) {
    char seen[16] = {0};
    for (uint32_t i = 0; fates[i]; i++) seen[i] = fate_of(i);
    if (strcmp(seen, fates)) fail_msg("%s: %s where %s was due", what, seen, fates);
}

static void small_pipelines(void **state) {
    (void)state;
    static const struct {
        const char *what, *script, *fates;
    } rows[] = {
        {"nothing awaited", "0", "-"},
        {"one awaited", "1:0", "-w"},
        {"it is done", "1:0 +0", "dr"},
        {"it was done before", "+0 1:0", "d-"},
        {"several awaited", "3:0,1,2 +0 +2", "d-dw"},
        {"and all are done", "3:0,1,2 +0 +2 +1", "dddr"},
        {"some before, some after", "+0 3:0,1,2 +1 +2", "dddr"},
        {"a name that comes twice counts once", "1:0,0,0 +0", "dr"},
        {"a job that comes twice counts once", "1:0 1:0 +0 1:0", "dr"},
        {"a chain", "1:0 2:1 3:2 +0", "drww"},
        {"a chain goes on one by one", "1:0 2:1 3:2 +0 +1", "ddrw"},
        {"a chain heard of backwards", "3:2 2:1 1:0 +0 +1", "ddrw"},
        {"a diamond", "1:0 2:0 3:1,2 +0", "drrw"},
        {"a diamond, one side done", "1:0 2:0 3:1,2 +0 +1", "ddrw"},
        {"a diamond, both sides done", "1:0 2:0 3:1,2 +0 +1 +2", "dddr"},
        {"cancelled at the head", "1:0 2:1 3:2 -0", "cccc"},
        {"cancelled in the middle", "1:0 2:1 3:2 -1", "-ccc"},
        {"cancelled in the middle, the head being done", "1:0 2:1 3:2 +0 -1", "dccc"},
        {"cancelled at the end", "1:0 2:1 3:2 -3", "-wwc"},
        {"a diamond cancelled at its head", "1:0 2:0 3:1,2 -0", "cccc"},
        {"a diamond cancelled at one side", "1:0 2:0 3:1,2 -1", "-cwc"},
        {"the other side goes on", "1:0 2:0 3:1,2 -1 +0 +2", "dcdc"},
        {"cancelled before the next is heard of", "-0 1:0", "cc"},
        {"and the one after it", "-0 1:0 2:1", "ccc"},
        {"the last heard of first", "2:1 -0 1:0", "ccc"},
        {"the middle heard of last", "3:2 1:0 -0 2:1", "cccc"},
        {"cancelled with one that it names beside one done", "-0 +1 2:1,0", "cdc"},
        {"what is done is done: nothing after it is cancelled", "1:0 +0 -0", "dr"},
        {"done, though what is before it is not known to be", "2:1 1:0 +1", "-dr"},
        {"a job after two pipelines", "2:0 3:1 4:2,3 -1", "-cwcc"},
        {"a job that names itself never starts", "0:0", "w"},
        {"and can be cancelled", "0:0 1:0 -0", "cc"},
        {"and done", "0:0 1:0 +0", "dr"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew();
        play(rows[i].script);
        expect(rows[i].what, rows[i].fates);
    }
}

static void causes(void **state) {
    (void)state;
    static const struct {
        const char *what, *script;
        uint32_t job, cause;
    } rows[] = {
        {"the next", "1:0 -0", 1, 0},
        {"through others", "1:0 2:1 3:2 -0", 3, 0},
        {"heard of later: the one that it names", "-0 1:0 2:1", 2, 1},
        {"cancelled by what came late", "2:1 -0 1:0", 2, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew();
        play(rows[i].script);
        if (world->cause[rows[i].job] != rows[i].cause) fail_msg("%s", rows[i].what);
    }
}

/* ---- needs ---- */

static void priorities_are_inherited(void **state) {
    (void)state;
    static const uint32_t on0[] = {0}, on1[] = {1}, on12[] = {1, 2};
    /* 0 <- 1 <- 3, 0 <- 2 <- 3; 0 <- 4 */
    add_urgent(1, on0, 1, AMB_PRIORITY_NORMAL, AMB_NO_DUE_TIME, 20);
    add_urgent(2, on0, 1, AMB_PRIORITY_BEST_EFFORT, 500, 30);
    add_urgent(3, on12, 2, AMB_PRIORITY_HIGH, 1000, 7);
    add_urgent(4, on0, 1, AMB_PRIORITY_BEST_EFFORT, AMB_NO_DUE_TIME, 5);
    amb_dependency_graph_propagate_priorities(&world->graph);
    static const struct {
        enum amb_priority priority;
        int64_t due;
    } due[] = {{AMB_PRIORITY_HIGH, 470},
               {AMB_PRIORITY_HIGH, 993},
               {AMB_PRIORITY_HIGH, 993},
               {AMB_PRIORITY_BEST_EFFORT, AMB_NO_DUE_TIME}};
    for (uint32_t i = 0; i < ROWS(due); i++) {
        assert_int_equal(world->need[i].priority, due[i].priority);
        assert_int_equal(world->need[i].due_wall_ms, due[i].due);
    }
    cancel(2); /* and 3 with it */
    amb_dependency_graph_propagate_priorities(&world->graph);
    assert_int_equal(world->need[0].priority, AMB_PRIORITY_NORMAL);
    assert_int_equal(world->need[0].due_wall_ms, AMB_NO_DUE_TIME);
    assert_int_equal(world->need[1].priority, AMB_PRIORITY_BEST_EFFORT);
    assert_int_equal(world->need[1].due_wall_ms, AMB_NO_DUE_TIME);
    add_urgent(5, on1, 1, AMB_PRIORITY_PRODUCTION, 90, 1); /* a later stage is submitted */
    amb_dependency_graph_propagate_priorities(&world->graph);
    assert_int_equal(world->need[1].priority, AMB_PRIORITY_PRODUCTION);
    assert_int_equal(world->need[1].due_wall_ms, 89);
    assert_int_equal(world->need[0].priority, AMB_PRIORITY_PRODUCTION);
    assert_int_equal(world->need[0].due_wall_ms, 69);
    cancel(1); /* nobody but 4 needs 0 */
    amb_dependency_graph_propagate_priorities(&world->graph);
    assert_int_equal(world->need[0].priority, AMB_PRIORITY_BEST_EFFORT);
    cancel(4);
    assert_int_equal(world->need[0].due_wall_ms, AMB_NO_DUE_TIME);
    assert_null(world->graph.by_name); /* nothing is kept of what is over */
}

/* ---- drawn graphs against an oracle ---- */

enum { DRAWN = 24, AWAITED_MOST = 4, GRAPHS = 1000 };

static struct drawn {
    uint32_t count[DRAWN], awaited[DRAWN][AWAITED_MOST];
    struct amb_dependent dependent[DRAWN];
    bool accepted[DRAWN], done[DRAWN], cancelled[DRAWN]; /* as heard of */
} drawn;

static uint32_t seed;

static uint32_t draw(uint32_t below) {
    seed = seed * 1664525u + 1013904223u;
    return (seed >> 8) % below;
}

/* What has to be known now, worked out anew from all that was heard. Awaited jobs have lower numbers. */
static struct oracle {
    bool cancelled[DRAWN], waits[DRAWN];
    struct amb_effective_priority need[DRAWN];
} oracle;

static void ask_outcomes(void) {
    for (uint32_t i = 0; i < DRAWN; i++) {
        bool before = false, open = false;
        for (uint32_t k = 0; drawn.accepted[i] && k < drawn.count[i]; k++) {
            before |= oracle.cancelled[drawn.awaited[i][k]];
            open |= !drawn.done[drawn.awaited[i][k]];
        }
        oracle.cancelled[i] = !drawn.done[i] && (drawn.cancelled[i] || before);
        oracle.waits[i] = open && !drawn.done[i] && !oracle.cancelled[i];
    }
}

static void inherit_priority(struct amb_effective_priority *need, struct amb_effective_priority other,
                             int64_t work) {
    if (other.priority > need->priority) need->priority = other.priority;
    if (other.due_wall_ms == AMB_NO_DUE_TIME) return;
    if (other.due_wall_ms - work < need->due_wall_ms) need->due_wall_ms = other.due_wall_ms - work;
}

static void ask_priorities(void) {
    for (uint32_t i = 0; i < DRAWN; i++)
        oracle.need[i] = (struct amb_effective_priority){AMB_PRIORITY_BEST_EFFORT, AMB_NO_DUE_TIME};
    for (uint32_t later = DRAWN; later-- > 0;) {
        if (!drawn.accepted[later] || drawn.done[later] || oracle.cancelled[later]) continue;
        const struct amb_dependent *dependent = &drawn.dependent[later];
        for (uint32_t k = 0; k < drawn.count[later]; k++) {
            struct amb_effective_priority *need = &oracle.need[drawn.awaited[later][k]];
            inherit_priority(need, dependent->own_priority, dependent->work_ms);
            inherit_priority(need, oracle.need[later], dependent->work_ms);
        }
    }
}

static void draw_graph(void) {
    memset(&drawn, 0, sizeof drawn);
    for (uint32_t i = 0; i < DRAWN; i++) {
        drawn.count[i] = i ? draw(AWAITED_MOST + 1) : 0;
        for (uint32_t k = 0; k < drawn.count[i]; k++) drawn.awaited[i][k] = draw(i);
        bool due = draw(3) == 0;
        drawn.dependent[i] = (struct amb_dependent){{(enum amb_priority)draw(AMB_PRIORITY_PRODUCTION + 1),
                                                     due ? 1000 + (int64_t)draw(1000) : AMB_NO_DUE_TIME},
                                                    (int64_t)draw(50)};
    }
}

/* One thing that can be heard of next: a job's acceptance, end or cancellation. Jobs end in order, but news
 * of it come in any. */
static void hear_something(const bool *ended) {
    uint32_t job = draw(DRAWN);
    bool over = drawn.done[job] || drawn.cancelled[job];
    if (!drawn.accepted[job] && !over && draw(3)) {
        drawn.accepted[job] = true;
        if (world->outcome[job] == AMB_JOB_OUTCOME_OPEN)
            add_urgent(job, drawn.awaited[job], drawn.count[job], drawn.dependent[job].own_priority.priority,
                       drawn.dependent[job].own_priority.due_wall_ms, drawn.dependent[job].work_ms);
    } else if (!over && ended[job]) {
        drawn.done[job] = true;
        done(job);
    } else if (!over && draw(4) == 0) {
        drawn.cancelled[job] = true;
        cancel(job);
    }
}

static void compare(uint32_t graph, uint32_t step, const uint32_t *ready) {
    for (uint32_t i = 0; i < DRAWN; i++) {
        enum amb_job_outcome outcome = drawn.done[i]         ? AMB_JOB_OUTCOME_DONE
                                       : oracle.cancelled[i] ? AMB_JOB_OUTCOME_CANCELLED
                                                             : AMB_JOB_OUTCOME_OPEN;
        if (world->outcome[i] != outcome)
            fail_msg("graph %u step %u job %u: outcome %d", graph, step, i, world->outcome[i]);
        if (waits(i) != oracle.waits[i]) fail_msg("graph %u step %u job %u: waits", graph, step, i);
        if (world->ready[i] != ready[i]) fail_msg("graph %u step %u job %u: ready", graph, step, i);
    }
    amb_dependency_graph_propagate_priorities(&world->graph);
    for (uint32_t i = 0; i < DRAWN; i++) {
        if (world->outcome[i] != AMB_JOB_OUTCOME_OPEN) continue;
        struct amb_effective_priority need = oracle.need[i];
        if (world->need[i].priority != need.priority || world->need[i].due_wall_ms != need.due_wall_ms)
            fail_msg("graph %u step %u job %u: need", graph, step, i);
    }
}

/* Jobs that may be heard of as done: a set that holds all that each of its members awaits. */
static void draw_ended(bool *ended) {
    for (uint32_t i = 0; i < DRAWN; i++) {
        ended[i] = draw(3) > 0;
        for (uint32_t k = 0; k < drawn.count[i]; k++) ended[i] &= ended[drawn.awaited[i][k]];
    }
}

static void drawn_graphs(void **state) {
    (void)state;
    for (uint32_t graph = 0; graph < GRAPHS; graph++) {
        anew();
        seed = graph * 7919 + 1;
        draw_graph();
        bool ended[DRAWN];
        uint32_t ready[DRAWN] = {0};
        draw_ended(ended);
        memset(&oracle, 0, sizeof oracle);
        for (uint32_t step = 0; step < DRAWN * 4; step++) {
            struct oracle before = oracle;
            hear_something(ended);
            ask_outcomes();
            ask_priorities();
            for (uint32_t i = 0; i < DRAWN; i++)
                ready[i] += before.waits[i] && !oracle.waits[i] && !drawn.done[i] && !oracle.cancelled[i];
            compare(graph, step, ready);
        }
    }
}

/* ---- large ones ---- */

enum { DEEP = 10000, STACK_BYTES = 256 * 1024 };

static struct rlimit shrink_stack(void) {
    struct rlimit was, small;
    assert_int_equal(getrlimit(RLIMIT_STACK, &was), 0);
    small = was;
    small.rlim_cur = STACK_BYTES;
    assert_int_equal(setrlimit(RLIMIT_STACK, &small), 0);
    return was;
}

static void add_chain(bool backwards) {
    for (uint32_t i = 1; i < DEEP; i++) {
        uint32_t job = backwards ? DEEP - i : i, before = job - 1;
        add_urgent(job, &before, 1, AMB_PRIORITY_NORMAL, job == DEEP - 1 ? 1000000 : AMB_NO_DUE_TIME, 1);
    }
}

/* On a stack that has no room for a frame for each job. */
static void deep_chains(void **state) {
    (void)state;
    struct rlimit was = shrink_stack();
    for (int backwards = 0; backwards < 2; backwards++) {
        anew();
        add_chain(backwards);
        amb_dependency_graph_propagate_priorities(&world->graph);
        assert_int_equal(world->need[0].due_wall_ms, 1000000 - (DEEP - 1));
        cancel(0);
        assert_int_equal(world->cancelled_count, DEEP - 1);
        assert_null(world->graph.by_name);
        anew();
        add_chain(backwards);
        for (uint32_t i = 0; i < DEEP; i++) done(i);
        assert_int_equal(world->ready_count, DEEP - 1);
        assert_null(world->graph.by_name);
        anew();
        add_chain(backwards);
        amb_dependency_graph_clear(&world->graph);
    }
    assert_int_equal(setrlimit(RLIMIT_STACK, &was), 0);
}

enum { WIDE = JOBS_MOST - 2 };

static void wide_graphs(void **state) {
    (void)state;
    static const uint32_t head = 0;
    uint32_t *all = amb_alloc(WIDE * sizeof *all);
    for (uint32_t i = 0; i < WIDE; i++) all[i] = i + 1;
    for (int cancelled = 0; cancelled < 2; cancelled++) {
        anew();
        for (uint32_t i = 0; i < WIDE; i++) add(all[i], &head, 1);
        add_urgent(WIDE + 1, all, WIDE, AMB_PRIORITY_HIGH, 100, 1);
        amb_dependency_graph_propagate_priorities(&world->graph);
        assert_int_equal(world->need[0].priority, AMB_PRIORITY_HIGH);
        if (cancelled) {
            cancel(head);
            assert_int_equal(world->cancelled_count, WIDE + 1);
        } else {
            done(head);
            assert_int_equal(world->ready_count, WIDE);
            for (uint32_t i = 0; i < WIDE; i++) done(all[i]);
            assert_int_equal(world->ready[WIDE + 1], 1);
        }
        assert_null(world->graph.by_name);
    }
    free(all);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, begin, end)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(small_pipelines), TEST(causes),      TEST(priorities_are_inherited),
        TEST(drawn_graphs),    TEST(deep_chains), TEST(wide_graphs),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
