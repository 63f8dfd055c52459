/* Jobs with dependencies, on one node: when they are accepted, started and cancelled. The syntax of the
 * scripts is in pipeline_fixture.h. */
#include "amberpin/scheduler/cycle.h"
#include "check.h"
#include "json_cbor.h"
#include "pipeline_fixture.h"

static void submissions_with_dependencies(void **state) {
    (void)state;
    static const struct pipeline_script scripts[] = {
        {"depends on a job accepted here", "+a=201q +b:a=201q ?b=200q"},
        {"depends on a job that another node has just accepted", "@+a +b:a=201q"},
        {"one dependency is known, one is not read yet", "@+a ~ @+c +b:ac=201q"},
        {"depends on a job that was never accepted", "+b:a=422"},
        {"one dependency was accepted, one was not", "+a=201q +b:ac=422"},
        {"refused, then its dependency is accepted", "+b:a=422 @+a +b:a=201q"},
        {"the store is out, and the dependency is not known", "@+a out +b:a=503 back +b:a=201q"},
        {"the store is out, and the dependency was never accepted", "out +b:a=503 back +b:a=422"},
        {"depends on a job that is done", "@+a @!a +b:a=201q"},
        {"depends on a cancelled job, already read", "@+a @-a ~ +b:a=201c ?b=200c"},
        {"depends on a cancelled job, not read yet", "@+a @-a +b:a=201c ?b=200c"},
        {"depends on a job that was cancelled here", "+a=201q -a=200c +b:a=201c"},
        {"one dependency is done, one cancelled", "@+a @!a @+c @-c +b:ac=201c"},
        {"depends on itself", "+b:b=422"},
        {"a repeated submission", "+a=201q +b:a=201q +b:a=200q"},
        {"repeated with a dependency that was never accepted", "+a=201q +b:a=201q +b:az=200q"},
        {"repeated without dependencies", "+a=201q +b:a=201q +b=200q"},
        {"repeated with dependencies, first without", "+b=201q +b:z=200q"},
        {"repeated after the cancellation", "+a=201q +b:a=201q -a=200c +b:a=200c"},
        {"repeated after another node accepted it, with an unknown dependency", "@+a @+b:a +b:az=200q"},
        {"the response to the transaction is late, and the dependency is cancelled first",
         "+a=201q hold +b:a=0 @-a ~ release last=201c ?b=200c"},
        {"another node accepted it first", "+a=201q hold +b:a=0 @+b:a release last=200q"},
        {"another node accepted it first, and it is cancelled by now",
         "+a=201q hold +b:a=0 @+b:a @-a release last=200c"},
        {"the known revision is too old for a read of changes", "@+a gone +b:a=503"},
    };
    run_scripts(scripts, ROWS(scripts));
}

static void cancellations_of_dependencies(void **state) {
    (void)state;
    static const struct pipeline_script scripts[] = {
        {"at the head", "+a +b:a +c:b -a=200c ?a=200c ?b=200c ?c=200c"},
        {"in the middle", "+a +b:a +c:b -b=200c ?a=200q ?b=200c ?c=200c"},
        {"at the end", "+a +b:a +c:b -c=200c ?a=200q ?b=200q ?c=200c"},
        {"a diamond", "+a +b:a +c:a +d:bc -b=200c ?c=200q ?d=200c"},
        {"through another node, not read yet", "+a +b:a +c:b @-a ?c=200c ?b=200c"},
        {"through another node, read by the watch", "+a +b:a +c:b @-a ~ out ?c=200c ?b=200c"},
        {"through another node, known from a heartbeat", "+a +b:a +c:b @-a out ^a ?c=200c ?b=200c ?a=200c"},
        {"through another node, a heartbeat names an unknown job", "@+a @-a out ^a back @+b:a ?b=200c"},
        {"through another node, in an outage: not known", "+a +b:a @-a out ?b=503 back ?b=200c"},
        {"the dependent is submitted after it", "+a -a=200c +b:a=201c +c:b=201c ?c=200c"},
        {"the dependent is submitted during it", "+a hold -a=0 +b:a=0 release ?b=200c ?a=200c"},
        {"the dependent is submitted through another node during it",
         "+a hold -a=0 @+b:a release last=200c ?b=200c"},
        {"the dependent is read before it", "@+b:a ~ @+a @-a ~ ?b=200c"},
        {"a heartbeat names it before the job is read", "@+b:a ^b ~ out ?b=200c"},
        {"a chain read in any order", "@+c:b ~ @+b:a ~ @+a ~ @-a ~ out ?c=200c"},
        {"a chain read after it", "@+a @-a ~ @+c:b ~ @+b:a ~ out ?c=200c"},
        {"of the dependent that is cancelled with it", "+a +b:a -a=200c out -b=200c"},
        {"of a dependent that is cancelled with it, not read yet", "+a +b:a @-a -b=200c ?b=200c"},
        {"of a dependent, being written as its dependency is cancelled",
         "+a +b:a hold -b=0 @-a ~ release last=200c ?b=200c"},
        {"answered done", "+a +b:a @!a -a=200d ?b=200q"},
        {"concurrent with done: done is written first", "+a +b:a hold -a=0 @!a release last=200d ?b=200q"},
        {"concurrent with done: the cancellation is written first",
         "+a +b:a hold -a=0 release last=200c ?b=200c"},
        {"repeated", "+a +b:a -a=200c -a=200c ?b=200c"},
        {"all keys are listed again after it", "+a +b:a @-a gone ?b=503 ?b=200c ?a=200c"},
        {"a cancellation of the dependent is recorded too", "+a +b:a @-a ~ @-b ~ out ?b=200c"},
        {"a heartbeat names it, then the newer submission is read",
         "@+a @-a ^a out back @+b:a ^b ~ out ?b=200c"},
    };
    run_scripts(scripts, ROWS(scripts));
}

static void leader_waits_for_dependencies(void **state) {
    (void)state;
    static const struct pipeline_script scripts[] = {
        {"a job without dependencies becomes active", "lead +a=201q live=a"},
        {"a job with a pending dependency does not", "lead +a +b:a live=a"},
        {"several dependencies", "lead +a +b +c:ab live=ab !a live=b !b live=c"},
        {"a chain", "lead +a +b:a +c:b live=a !a live=b !b live=c !c live="},
        {"a diamond", "lead +a +b:a +c:a +d:bc live=a !a live=bc !c live=b !b live=d"},
        {"done before it is submitted", "lead +a !a +b:a=201q live=b"},
        {"the end of the dependency is not written yet", "lead +a +b:a hold !a live=a release live=b"},
        {"the end is not written, and the dependency is cancelled",
         "lead +a +b:a hold !a @-a release live=a ~ live= ?b=200c"},
        {"the response to the write of the end is lost", "lead +a +b:a lose !a live=a ~ live=b"},
        {"the watch reports the end", "lead +a +b:a @!a ~ live=b"},
        {"accepted by another node", "lead @+a @+b:a ~ live=a !a live=b"},
        {"accepted by another node, the dependent read first", "lead @+b:a ~ live= @+a ~ live=a !a live=b"},
        {"cancelled while it waits", "lead +a +b:a +c:b -a live= ?c=200c"},
        {"the middle is cancelled after the head is done", "lead +a +b:a +c:b !a -b live= ?c=200c ?a=200d"},
        {"a cancellation of a job that is done", "lead +a +b:a !a -a=200d live=b"},
        {"a new leader", "+a +b:a lead live=a !a live=b"},
        {"a new leader, after the end of the dependency", "@+a @+b:a @!a lead live=b"},
        {"a new leader, after a cancellation", "@+a @+b:a @+c:b @-a lead live= ?c=200c"},
        {"failover while it waits", "lead +a +b:a stop live= lead live=a stop @!a lead live=b"},
        {"failover, and the cancellation is read after it", "lead +a +b:a stop lead live=a @-a ~ live="},
        {"a heartbeat reports a cancellation to the leader in an outage",
         "lead +a +b:a +c:b @-a out ^a live= ?c=200c"},
        {"a follower activates no job", "+a +b:a @!a ~ live="},
        {"the end is read before that of the dependency",
         "@+b @+a:b @+c:a ~ @!b @!a ~ ?a=200d ?b=200d lead live=c"},
    };
    run_scripts(scripts, ROWS(scripts));
}

/* The response to the write of a job's final state is enough to request a scheduling cycle for its
 * dependents. */
static void end_of_a_dependency_requests_a_cycle(void **state) {
    (void)state;
    start_leading();
    run_script("setup", "+a +b:a hold !a live=a");
    node->controller.cycle_requested = false;
    fake_service.commits_held = false;
    while (serve_one()) {}
    assert_string_equal(active_jobs(), "b");
    assert_true(node->controller.cycle_requested);
}

/* When memory is freed, jobs that were not admitted become active, except those with pending dependencies. */
static void unadmitted_jobs_wait_for_dependencies(void **state) {
    (void)state;
    start_leading();
    uint32_t max_tasks = (uint32_t)(node->settings.memory_mb * 1024 * 1024 / 3 / sizeof(struct amb_task));
    run_script("room", "+a +b:a +c live=ac");
    amb_job_find(node, "wk-c")->spec->task_count = max_tasks;
    amb_job_deactivate(node, amb_job_find(node, "wk-c"));
    amb_job_deactivate(node, amb_job_find(node, "wk-a"));
    node->jobs.active_task_count = 0;
    amb_job_activate(node, amb_job_find(node, "wk-c"));
    run_script("no room", "+d live=c");
    assert_true(node->jobs.has_unadmitted);
    amb_job_deactivate(node, amb_job_find(node, "wk-c"));
    amb_jobs_activate_unadmitted(node);
    amb_job_find(node, "wk-c")->spec->task_count = TASKS_PER_JOB;
    if (amb_job_find(node, "wk-b")->active) fail_msg("a job with a pending dependency is active");
    assert_true(amb_job_find(node, "wk-a")->active || amb_job_find(node, "wk-d")->active);
}

/* A leader of a version without dependencies may have placed tasks of a job that has to wait. These
 * placements are restored, but no further task of the job is started until its dependencies are done. */
static void placements_of_a_leader_without_dependencies(void **state) {
    (void)state;
    start_leading();
    run_script("setup", "+a +b:a");
    struct amb_job *job = amb_job_find(node, "wk-b");
    struct amb_buf buffer =
        cbor_from_text("{\"n\":2,\"p\":\"0,1,m-1,0,0,0;\",\"d\":\"\",\"t\":[\"g8\"],\"z\":[\"a\"]}");
    const struct amb_cbor_item *value = amb_cbor_parse(buffer.data, buffer.len);
    amb_placement_log_restore(node, "b/p/wk-b/00000", value, 60);
    amb_buf_free(&buffer);
    assert_true(job->active);
    assert_int_equal(job->bound_count, 1);
    struct amb_cycle *cycle = amb_cycle_new(node, amb_now());
    if (amb_cycle_is_schedulable(cycle, job)) fail_msg("schedulable with a pending dependency");
    amb_cycle_free(cycle);
    finish_tasks('a');
    cycle = amb_cycle_new(node, amb_now());
    assert_true(amb_cycle_is_schedulable(cycle, job));
    amb_cycle_free(cycle);
}

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(submissions_with_dependencies),         TEST(cancellations_of_dependencies),
        TEST(leader_waits_for_dependencies),         TEST(end_of_a_dependency_requests_a_cycle),
        TEST(unadmitted_jobs_wait_for_dependencies), TEST(placements_of_a_leader_without_dependencies),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
