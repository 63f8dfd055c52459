/* The shares of a node's memory quota, and the responses to users when they are used up. */
#include "amberpin/node/memory_budget.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "node_fixture.h"

#include "amberpin/api/user_api.h"

#include <unistd.h>

enum { MIB = 1024 * 1024, TOO_MANY = -1, AMPLE = 50000 }; /* AMPLE in bytes */

static void shares_of_the_quota(void **state) {
    (void)state;
    static const struct {
        double memory_mb;
        size_t tasks, one_job, table;
    } rows[] = {
        {37, 37 * MIB / 3 / 96, 161655, 37 * MIB / 3},
        {27, 27 * MIB / 3 / 96, 117964, 9 * MIB},
        {6.75, 2359296 / 96, 29491, 2359296},
    };
    assert_int_equal(sizeof(struct amb_task), 96);
    for (size_t i = 0; i < ROWS(rows); i++) {
        const struct amb_settings settings = {.memory_mb = rows[i].memory_mb};
        assert_int_equal(amb_memory_max_tasks(&settings), rows[i].tasks);
        assert_int_equal(amb_memory_max_tasks_of_one_job(&settings), rows[i].one_job);
        assert_int_equal(amb_memory_job_table_bytes(&settings), rows[i].table);
    }
}

/* A quarter of the smallest deployment's memory is an allowed setting. */
static void small_quotas_are_settings(void **state) {
    (void)state;
    static const struct {
        const char *memory;
        enum amb_config_problem problem;
    } rows[] = {{"6.75", AMB_CONFIG_VALID}, {"4.0", AMB_CONFIG_VALID}, {"3.9", AMB_CONFIG_INVALID_VALUE}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        char text[16384], path[] = "/tmp/amberpin-memory-XXXXXX";
        struct amb_config_error error;
        struct amb_settings settings;
        FILE *sample = fopen("tests/data/good.toml", "r"), *out = fdopen(mkstemp(path), "w");
        assert_true(sample && out);
        text[fread(text, 1, sizeof text - 1, sample)] = 0;
        char *at = strstr(text, "memory_mb = 56.0");
        assert_non_null(at);
        fprintf(out, "%.*smemory_mb = %s%s", (int)(at - text), text, rows[i].memory,
                at + strlen("memory_mb = 56.0"));
        fclose(sample);
        fclose(out);
        assert_int_equal(amb_settings_load(path, &settings, &error), rows[i].problem);
        unlink(path);
    }
}

/* ---- submissions ---- */

static void put_submission(struct amb_buf *body, const char *ref, uint32_t tasks) {
    struct amb_job_spec spec = {.kind = AMB_JOB_KIND_ARRAY,
                                .priority = AMB_PRIORITY_PRODUCTION,
                                .task_count = tasks,
                                .task_resources = {8, 1, 40}};
    strcpy(spec.ref, ref);
    strcpy(spec.class_name, "c");
    strcpy(spec.team, "t");
    strcpy(spec.image, "img");
    amb_codec_encode_spec(body, &spec);
}

/* Returns the immediate reply; status 0: the job is being written. */
static struct fake_reply submit(const char *ref, uint32_t tasks) {
    struct amb_buf body = {0};
    struct fake_reply reply = {0};
    put_submission(&body, ref, tasks);
    assert_true(amb_api_handle_request(node, fake_request("POST", "/v1/jobs", &body, &reply)));
    amb_buf_free(&body);
    amb_buf_free(&reply.body);
    return reply;
}

static void begin(void) {
    teardown(NULL);
    setup(NULL);
    strcpy(node->settings.teams[0].name, "t");
    strcpy(node->settings.store_addr, "S:1");
    node->settings.store_rps = node->settings.store_write_rps = 1000;
    node->watch.loaded = true;
    amb_store_init(&node->store, &node->settings, 1000);
}

static size_t bytes_of(size_t jobs, size_t described) {
    return jobs * (sizeof(struct amb_job) + 32) + described * (sizeof(struct amb_job_spec) + 16);
}

static void full_tables_refuse(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint32_t described, over;
        int spare; /* bytes left in the table's share after one more job with a description */
        int tasks; /* 0: the most that may be active at a time */
        int status;
    } rows[] = {
        {"an empty table", 0, 0, 8, 1, 0},
        {"room for less than one job", 0, 0, -8, 1, 503},
        {"the last place", 2, 0, 8, 1, 0},
        {"a full table", 2, 0, -8, 1, 503},
        {"done jobs take less", 1, 2, 8, 1, 0},
        {"done jobs take some memory", 1, 2, -8, 1, 503},
        {"a job of many tasks", 0, 0, AMPLE, 0, 0},
        {"a job of more tasks than can ever be active", 0, 0, AMPLE, TOO_MANY, 503},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        begin();
        size_t taken = bytes_of(rows[i].described + rows[i].over + 1, rows[i].described + 1);
        node->settings.memory_mb = 3 * ((double)taken + rows[i].spare) / MIB;
        uint32_t most = (uint32_t)amb_memory_max_tasks_of_one_job(&node->settings);
        uint32_t tasks = rows[i].tasks == TOO_MANY ? most + 1
                         : rows[i].tasks           ? (uint32_t)rows[i].tasks
                                                   : most;
        for (uint32_t k = 0; k < rows[i].described + rows[i].over; k++) {
            char ref[AMB_NAME_SIZE];
            snprintf(ref, sizeof ref, "wk-%u", k);
            struct amb_job *job = add_active_job(ref, AMB_JOB_KIND_ARRAY, 1);
            if (k < rows[i].described) continue;
            amb_job_deactivate(node, job);
            job->state = AMB_JOB_DONE;
            amb_job_drop_spec(node, job);
        }
        assert_int_equal(amb_memory_job_table_used_bytes(node),
                         bytes_of(rows[i].described + rows[i].over, rows[i].described));
        struct fake_reply reply = submit("wk-new", tasks);
        if (reply.status != rows[i].status) fail_msg("%s: %d", rows[i].what, reply.status);
        assert_int_equal(reply.retry_after_s > 0, reply.status == 503);
        assert_int_equal(fake_count_open_calls("POST", "/commit"), reply.status == 0);
        fake_answer_all_lost();
        fake_http_reset();
    }
}

/* A repeated submission of an accepted job succeeds even without any memory left. */
static void known_jobs_are_not_refused(void **state) {
    (void)state;
    begin();
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_ARRAY, 1);
    amb_job_deactivate(node, job);
    job->state = AMB_JOB_DONE;
    node->settings.memory_mb = 0;
    assert_int_equal(submit("wk-1", 1).status, 200);
    fake_http_reset();
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(shares_of_the_quota, setup, teardown),
        cmocka_unit_test_setup_teardown(small_quotas_are_settings, setup, teardown),
        cmocka_unit_test_setup_teardown(full_tables_refuse, setup, teardown),
        cmocka_unit_test_setup_teardown(known_jobs_are_not_refused, setup, teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
