/* Jobs that await others, at one node: when they are accepted, started and cancelled. */
#include "amberpin/scheduler/cycle.h"
#include "check.h"
#include "json_cbor.h"
#include "pipeline_fixture.h"

static void submissions(void **state) {
    (void)state;
    static const struct pipeline_script scenes[] = {
        {"awaits one accepted here", "+a=201q +b:a=201q ?b=200q"},
        {"awaits one accepted elsewhere a moment ago", "@+a +b:a=201q"},
        {"one heard of and one not", "@+a ~ @+c +b:ac=201q"},
        {"awaits one that was never accepted", "+b:a=422"},
        {"one was, one was not", "+a=201q +b:ac=422"},
        {"a name is refused, and accepted later", "+b:a=422 @+a +b:a=201q"},
        {"the state service is out, and the name is not known", "@+a out +b:a=503 back +b:a=201q"},
        {"the state service is out, and no such job was accepted", "out +b:a=503 back +b:a=422"},
        {"awaits one that is done", "@+a @!a +b:a=201q"},
        {"awaits one that is cancelled, heard of", "@+a @-a ~ +b:a=201c ?b=200c"},
        {"awaits one that is cancelled, not heard of", "@+a @-a +b:a=201c ?b=200c"},
        {"awaits one that was cancelled here", "+a=201q -a=200c +b:a=201c"},
        {"awaits one done and one cancelled", "@+a @!a @+c @-c +b:ac=201c"},
        {"awaits itself", "+b:b=422"},
        {"a repetition", "+a=201q +b:a=201q +b:a=200q"},
        {"a repetition that names what was never accepted", "+a=201q +b:a=201q +b:az=200q"},
        {"a repetition without names", "+a=201q +b:a=201q +b=200q"},
        {"a repetition of one that awaits nothing, with names", "+b=201q +b:z=200q"},
        {"a repetition after the cancellation", "+a=201q +b:a=201q -a=200c +b:a=200c"},
        {"a repetition of one accepted elsewhere, with a name that is not known", "@+a @+b:a +b:az=200q"},
        {"the answer to the transaction is late, and the awaited job is cancelled first",
         "+a=201q hold +b:a=0 @-a ~ release last=201c ?b=200c"},
        {"another node accepted it first", "+a=201q hold +b:a=0 @+b:a release last=200q"},
        {"another node accepted it first, and it is cancelled by now",
         "+a=201q hold +b:a=0 @+b:a @-a release last=200c"},
        {"a record too old to be followed", "@+a gone +b:a=503"},
    };
    run_scripts(scenes, ROWS(scenes));
}

static void cancellations(void **state) {
    (void)state;
    static const struct pipeline_script scenes[] = {
        {"at the head", "+a +b:a +c:b -a=200c ?a=200c ?b=200c ?c=200c"},
        {"in the middle", "+a +b:a +c:b -b=200c ?a=200q ?b=200c ?c=200c"},
        {"at the end", "+a +b:a +c:b -c=200c ?a=200q ?b=200q ?c=200c"},
        {"a diamond", "+a +b:a +c:a +d:bc -b=200c ?c=200q ?d=200c"},
        {"elsewhere, not heard of", "+a +b:a +c:b @-a ?c=200c ?b=200c"},
        {"elsewhere, news", "+a +b:a +c:b @-a ~ out ?c=200c ?b=200c"},
        {"elsewhere, another node's word", "+a +b:a +c:b @-a out ^a ?c=200c ?b=200c ?a=200c"},
        {"elsewhere, another node's word of a job not heard of", "@+a @-a out ^a back @+b:a ?b=200c"},
        {"elsewhere, in an outage: not known", "+a +b:a @-a out ?b=503 back ?b=200c"},
        {"the dependant after it", "+a -a=200c +b:a=201c +c:b=201c ?c=200c"},
        {"the dependant during it", "+a hold -a=0 +b:a=0 release ?b=200c ?a=200c"},
        {"the dependant elsewhere during it", "+a hold -a=0 @+b:a release last=200c ?b=200c"},
        {"the dependant elsewhere after it, and heard of before", "@+b:a ~ @+a @-a ~ ?b=200c"},
        {"the word of it alone, then the acceptance", "@+b:a ^b ~ out ?b=200c"},
        {"a chain heard of in any order", "@+c:b ~ @+b:a ~ @+a ~ @-a ~ out ?c=200c"},
        {"a chain heard of after it", "@+a @-a ~ @+c:b ~ @+b:a ~ out ?c=200c"},
        {"of the one that is cancelled with it", "+a +b:a -a=200c out -b=200c"},
        {"of one that is cancelled with it, not heard of", "+a +b:a @-a -b=200c ?b=200c"},
        {"of one that is cancelled with it while its own is written",
         "+a +b:a hold -b=0 @-a ~ release last=200c ?b=200c"},
        {"answered done", "+a +b:a @!a -a=200d ?b=200q"},
        {"in the instant of done: done comes first", "+a +b:a hold -a=0 @!a release last=200d ?b=200q"},
        {"in the instant of done: the cancellation comes first",
         "+a +b:a hold -a=0 release last=200c ?b=200c"},
        {"once more, when it is known", "+a +b:a -a=200c -a=200c ?b=200c"},
        {"listed again after it", "+a +b:a @-a gone ?b=503 ?b=200c ?a=200c"},
        {"the cancelled one's own record is written too", "+a +b:a @-a ~ @-b ~ out ?b=200c"},
        {"the word of it, then the acceptance, which is newer", "@+a @-a ^a out back @+b:a ^b ~ out ?b=200c"},
    };
    run_scripts(scenes, ROWS(scenes));
}

static void the_leader_waits(void **state) {
    (void)state;
    static const struct pipeline_script scenes[] = {
        {"one that awaits none is taken into care", "lead +a=201q live=a"},
        {"one that awaits another is not", "lead +a +b:a live=a"},
        {"several awaited", "lead +a +b +c:ab live=ab !a live=b !b live=c"},
        {"a chain", "lead +a +b:a +c:b live=a !a live=b !b live=c !c live="},
        {"a diamond", "lead +a +b:a +c:a +d:bc live=a !a live=bc !c live=b !b live=d"},
        {"done before it is submitted", "lead +a !a +b:a=201q live=b"},
        {"the end is not on record yet", "lead +a +b:a hold !a live=a release live=b"},
        {"the end is not on record, and the job is cancelled",
         "lead +a +b:a hold !a @-a release live=a ~ live= ?b=200c"},
        {"the answer to the write of the end is lost", "lead +a +b:a lose !a live=a ~ live=b"},
        {"the end is told of by news", "lead +a +b:a @!a ~ live=b"},
        {"accepted elsewhere", "lead @+a @+b:a ~ live=a !a live=b"},
        {"accepted elsewhere, the later one heard of first", "lead @+b:a ~ live= @+a ~ live=a !a live=b"},
        {"cancelled while it waits", "lead +a +b:a +c:b -a live= ?c=200c"},
        {"the middle is cancelled after the head is done", "lead +a +b:a +c:b !a -b live= ?c=200c ?a=200d"},
        {"a cancellation that finds it done", "lead +a +b:a !a -a=200d live=b"},
        {"a new leader", "+a +b:a lead live=a !a live=b"},
        {"a new leader, after the end of the first", "@+a @+b:a @!a lead live=b"},
        {"a new leader, after a cancellation", "@+a @+b:a @+c:b @-a lead live= ?c=200c"},
        {"the lead changes while it waits", "lead +a +b:a stop live= lead live=a stop @!a lead live=b"},
        {"the lead changes, and the cancellation is heard of after",
         "lead +a +b:a stop lead live=a @-a ~ live="},
        {"the word of a cancellation reaches the leader in an outage",
         "lead +a +b:a +c:b @-a out ^a live= ?c=200c"},
        {"a follower takes nothing", "+a +b:a @!a ~ live="},
    };
    run_scripts(scenes, ROWS(scenes));
}

/* The answer to the write of the end is all that a round waits for. */
static void a_round_follows_at_once(void **state) {
    (void)state;
    start_leading();
    run_script("setup", "+a +b:a hold !a live=a");
    node->controller.cycle_requested = false;
    fake_service.commits_held = false;
    while (serve_one()) {}
    assert_string_equal(active_jobs(), "b");
    assert_true(node->controller.cycle_requested);
}

/* Jobs are taken up when room comes for them: not those that wait for others. */
static void jobs_left_out_wait_too(void **state) {
    (void)state;
    start_leading();
    uint32_t bound = (uint32_t)(node->settings.memory_mb * 1024 * 1024 / 3 / sizeof(struct amb_task));
    run_script("room", "+a +b:a +c live=ac");
    amb_job_find(node, "wk-c")->spec->task_count = bound;
    amb_job_deactivate(node, amb_job_find(node, "wk-c"));
    amb_job_deactivate(node, amb_job_find(node, "wk-a"));
    node->jobs.active_task_count = 0;
    amb_job_activate(node, amb_job_find(node, "wk-c"));
    run_script("no room", "+d live=c");
    assert_true(node->jobs.has_unadmitted);
    amb_job_deactivate(node, amb_job_find(node, "wk-c"));
    amb_jobs_activate_unadmitted(node);
    amb_job_find(node, "wk-c")->spec->task_count = TASKS_PER_JOB;
    if (amb_job_find(node, "wk-b")->active) fail_msg("a job that awaits another is taken up");
    assert_true(amb_job_find(node, "wk-a")->active || amb_job_find(node, "wk-d")->active);
}

/* Records of placements of a job that waits (an old leader's, which knows nothing of waiting) keep their
 * places, but no more of it is started. */
static void placed_by_a_leader_that_does_not_wait(void **state) {
    (void)state;
    start_leading();
    run_script("setup", "+a +b:a");
    struct amb_job *job = amb_job_find(node, "wk-b");
    struct amb_buf buffer =
        cbor_from_text("{\"n\":2,\"p\":\"0,1,m-1,0,0,0;\",\"d\":\"\",\"t\":[\"g8\"],\"z\":[\"a\"]}");
    cbor_item_t *value = amb_cbor_parse(buffer.data, buffer.len);
    amb_placement_log_restore(node, "b/p/wk-b/00000", value, 60);
    cbor_decref(&value);
    amb_buf_free(&buffer);
    assert_true(job->active);
    assert_int_equal(job->bound_count, 1);
    struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
    if (amb_cycle_is_schedulable(cycle, job)) fail_msg("it is started while it waits");
    amb_cycle_free(cycle);
    finish_tasks('a');
    cycle = amb_cycle_new(node, amb_now());
    assert_true(amb_cycle_is_schedulable(cycle, job));
    amb_cycle_free(cycle);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(submissions),
        TEST(cancellations),
        TEST(the_leader_waits),
        TEST(a_round_follows_at_once),
        TEST(jobs_left_out_wait_too),
        TEST(placed_by_a_leader_that_does_not_wait),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
