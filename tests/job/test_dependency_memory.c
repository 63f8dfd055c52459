/* What jobs that await others may take of a controller's memory: when their records are read, when they are
 * submitted, and while submissions wait. The bounds are those of docs/operators/memory.md for the smallest
 * deployment, 27 MB. */
#include "check.h"
#include "fake_http.h"
#include "heap_peak.h"
#include "json_cbor.h"
#include "node_fixture.h"

#include "amberpin/api/user_api.h"
#include "amberpin/node/memory_budget.h"

enum {
    MIB = 1024 * 1024,
    QUOTA_MB = 27,
    JOB_TABLE_BYTES = QUOTA_MB * MIB / 3,
    DRAFT_BYTES = QUOTA_MB * MIB / 16,
    JOBS_MAX = 1400,
    CONNECTIONS = 343,        /* of users, with 500 sockets */
    REQUEST_BYTES = 2 * 1024, /* of a request that waits, without its body and what it asks for */
    BODY_MAX_BYTES = 64 * 1024,
    MOST_NAMES = 910, /* of six letters, with quotes and comma in half of 16 KiB */
};

/* ---- records and submissions ---- */

/* How jobs are named: a format with the job's number. */
static const char NINE_LETTERS[] = "wk-%06u";
static const char LONGEST[] = "wk-%045u";
static const char SIX_LETTERS[] = "wk-%03x";

static const char *format_name(const char *format, uint32_t number) {
    static char name[AMB_NAME_SIZE];
    /* NOLINTNEXTLINE(clang-diagnostic-format-nonliteral): one of the constants above */
    snprintf(name, sizeof name, format, number);
    return name;
}

/* Names a number of jobs, from `first` on. */
struct awaited {
    const char *format;
    uint32_t first, count;
};

static json_t *new_description(const char *ref, struct awaited awaited) {
    json_t *names = json_array();
    for (uint32_t i = 0; i < awaited.count; i++)
        json_array_append_new(names, json_string(format_name(awaited.format, awaited.first + i)));
    return json_pack("{s:s,s:s,s:s,s:s,s:s,s:s,s:i,s:f,s:f,s:f,s:f,s:f,s:f,s:f,s:b,s:b,s:b,s:o}", "ref", ref,
                     "berth", "stage", "crew", "t", "shape", "batch", "rank", "normal", "cask", "img", "legs",
                     1, "vcpus", 1.0, "accelerators", 0.0, "ram_gb", 4.8, "size_gb", 0.5, "reckon_s", 200.0,
                     "mark_s", 0.0, "stow_s", 0.0, "one_zone", 0, "scatter", 0, "driftwood", 0, "awaits",
                     names);
}

static struct amb_buf new_submission(const char *ref, struct awaited awaited) {
    struct amb_buf body = {0};
    json_t *description = new_description(ref, awaited);
    cbor_from_json(&body, description);
    json_decref(description);
    return body;
}

static struct amb_buf new_record(const char *ref, struct awaited awaited) {
    struct amb_buf value = {0};
    json_t *record = json_pack("{s:s,s:i,s:o}", "s", "queued", "a", 1, "d", new_description(ref, awaited));
    cbor_from_json(&value, record);
    json_decref(record);
    return value;
}

/* ---- the node ---- */

static uint64_t revision;
static struct fake_reply latest_reply; /* to a submission */

static int end(void **state) {
    fake_answer_all_lost();
    fake_http_reset();
    amb_buf_free(&latest_reply.body);
    return teardown(state);
}

/* Replaces the node by one of the smallest deployment that knows no job. */
static void begin(double memory_mb) {
    end(NULL);
    setup(NULL);
    revision = 100;
    node->election.role = AMB_ROLE_FOLLOWER;
    node->settings.memory_mb = memory_mb;
    node->settings.value_kb = 16;
    strcpy(node->settings.teams[0].name, "t");
    strcpy(node->settings.store_addr, "S:1");
    node->settings.store_rps = 1000;
    node->settings.store_write_rps = 25;
    node->watch.loaded = true;
    amb_store_init(&node->store, &node->settings, 1000);
}

static void apply(const char *ref, const struct amb_buf *record) {
    amb_jobs_apply_bytes(node, ref, record->data, record->len, ++revision);
}

static void accept_elsewhere(const char *ref, struct awaited awaited) {
    struct amb_buf record = new_record(ref, awaited);
    apply(ref, &record);
    amb_buf_free(&record);
}

static void accept_all_elsewhere(const char *format, uint32_t first, uint32_t count) {
    for (uint32_t i = first; i < first + count; i++) {
        char ref[AMB_NAME_SIZE];
        strcpy(ref, format_name(format, i));
        accept_elsewhere(ref, (struct awaited){format, 0, 0});
    }
}

static void fill_budgets(void) {
    node->store.request_bucket.tokens = node->store.request_bucket.tokens_per_second;
    node->store.user_write_bucket.tokens = node->store.user_write_bucket.tokens_per_second;
}

/* As the server does, the body is freed before the request is answered. */
static void send_submission(const struct amb_buf *body, struct fake_reply *reply) {
    struct amb_http_req *request = fake_request("POST", "/v1/jobs", body, reply);
    fill_budgets();
    assert_true(amb_api_handle_request(node, request));
    if (reply->status) return;
    free(request->body);
    request->body = NULL;
}

/* Returns the immediate status of the reply; 0: none yet. */
static int submit(const char *ref, struct awaited awaited) {
    struct amb_buf body = new_submission(ref, awaited);
    amb_buf_free(&latest_reply.body);
    latest_reply = (struct fake_reply){0};
    send_submission(&body, &latest_reply);
    amb_buf_free(&body);
    assert_int_equal(latest_reply.retry_after_s > 0, latest_reply.status == 503);
    return latest_reply.status;
}

/* Answers the open read of all changes: there are none. */
static void answer_fresh_read(void) {
    struct amb_buf body = {0};
    struct fake_call *call = fake_open_call("/follow");
    assert_non_null(call);
    fill_budgets();
    amb_cbor_write_map(&body, 2);
    amb_cbor_write_string(&body, "epoch");
    amb_cbor_write_uint(&body, revision);
    amb_cbor_write_string(&body, "news");
    amb_cbor_write_list(&body, 0);
    fake_answer(call, 200, &body);
}

/* The requests that came after the first read was sent wait for a second one. */
static void answer_all_fresh_reads(void) {
    struct amb_timer *timer = &node->watch.fresh_read_timer;
    answer_fresh_read();
    if (!timer->position) return;
    amb_timer_stop(timer);
    fill_budgets();
    timer->fn(timer->arg);
    answer_fresh_read();
}

/* ---- records ---- */

struct pipeline_row {
    const char *what, *format;
    uint32_t first_stage;    /* jobs that await nothing */
    uint32_t others, window; /* each of the others awaits this many: the first ones, or those before it */
    bool mesh;
};

static struct awaited awaited_by(const struct pipeline_row *row, uint32_t job) {
    if (!row->mesh) return (struct awaited){row->format, 0, row->window};
    uint32_t count = job < row->window ? job : row->window;
    return (struct awaited){row->format, job - count, count};
}

/* Returns the most memory that was held while the records were read. */
static size_t read_records(const struct pipeline_row *row) {
    static struct amb_buf records[JOBS_MAX];
    uint32_t jobs = row->first_stage + row->others;
    for (uint32_t i = 0; i < jobs; i++) {
        char ref[AMB_NAME_SIZE];
        strcpy(ref, format_name(row->format, i));
        struct awaited none = {row->format, 0, 0};
        records[i] = new_record(ref, i < row->first_stage ? none : awaited_by(row, i));
    }
    heap_peak_begin();
    for (uint32_t i = 0; i < jobs; i++) apply(format_name(row->format, i), &records[i]);
    size_t taken = heap_peak_end();
    for (uint32_t i = 0; i < jobs; i++) amb_buf_free(&records[i]);
    return taken;
}

static const struct pipeline_row pipeline_rows[] = {
    {"two stages, 189,000 edges", NINE_LETTERS, 420, 450, 420, false},
    {"a mesh in which each job awaits the 400 before it", NINE_LETTERS, 1, 869, 400, true},
    {"names of the longest form", LONGEST, 160, 710, 160, false},
    {"the most names that a record holds", SIX_LETTERS, MOST_NAMES, 300, MOST_NAMES, false},
    {"a chain", NINE_LETTERS, 1, 869, 1, true},
};

/* 420 jobs and 410 that await all of them took 24 MB: 64 bytes for each name in a list, and as much for each
 * edge. Every controller was ended for its memory, and again after each start. */
static void records_of_pipelines_fit_the_job_table(void **state) {
    (void)state;
    for (size_t i = 0; i < ROWS(pipeline_rows); i++) {
        begin(QUOTA_MB);
        size_t taken = read_records(&pipeline_rows[i]);
        if (taken > JOB_TABLE_BYTES)
            fail_msg("%s: %zu bytes, %d are allowed", pipeline_rows[i].what, taken, JOB_TABLE_BYTES);
    }
}

/* The size that is compared with the share covers what is really held. */
static void counted_memory_covers_what_is_held(void **state) {
    (void)state;
    for (size_t i = 0; i < ROWS(pipeline_rows); i++) {
        begin(QUOTA_MB);
        size_t taken = read_records(&pipeline_rows[i]), counted = amb_memory_job_table_used_bytes(node);
        if (taken > counted)
            fail_msg("%s: %zu bytes, %zu are counted", pipeline_rows[i].what, taken, counted);
        assert_true(counted <= JOB_TABLE_BYTES);
    }
}

static void expect_no_dependencies(const char *what) {
    const struct amb_dependency_usage *usage = &node->jobs.names.usage;
    if (usage->edges || usage->names || usage->lists || usage->name_bytes)
        fail_msg("%s: %zu edges, %zu names, %zu lists", what, usage->edges, usage->names, usage->lists);
    if (!amb_dependency_graph_is_empty(&node->pipelines.graph)) fail_msg("%s: the graph is not empty", what);
}

static void dependencies_are_freed_when_jobs_are_done(void **state) {
    (void)state;
    const struct amb_buf done = cbor_from_text("{\"s\":\"done\",\"n\":1}");
    for (size_t i = 0; i < ROWS(pipeline_rows); i++) {
        const struct pipeline_row *row = &pipeline_rows[i];
        begin(QUOTA_MB);
        read_records(row);
        for (uint32_t k = 0; k < row->first_stage + row->others; k++)
            apply(format_name(row->format, k), &done);
        expect_no_dependencies(row->what);
    }
    free(done.data);
}

/* A list is kept until no task of the cancelled job can be left. */
static void dependencies_are_freed_after_a_cancellation(void **state) {
    (void)state;
    for (size_t i = 0; i < ROWS(pipeline_rows); i++) {
        const struct pipeline_row *row = &pipeline_rows[i];
        begin(QUOTA_MB);
        read_records(row);
        amb_job_apply_cancel_hint(node, format_name(row->format, 0), amb_wall_ms(), ++revision);
        if (!amb_dependency_graph_is_empty(&node->pipelines.graph)) fail_msg("%s: still waiting", row->what);
        assert_true(node->jobs.names.usage.edges > 0);
        amb_cancellations_drop_specs(node, amb_now() + amb_seconds_to_ms(3 * node->settings.cancel_s));
        expect_no_dependencies(row->what);
    }
}

/* ---- submissions ---- */

/* Submissions that await others are accepted until the share is full and get 503 afterwards, also while the
 * transactions of earlier ones are not answered yet. */
static void submissions_are_refused_when_dependencies_do_not_fit(void **state) {
    (void)state;
    static const struct {
        const char *what;
        bool answered; /* each transaction is answered before the next submission */
    } rows[] = {{"one after another", true}, {"all at once", false}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        enum { FIRST_STAGE = 200, TRIES = 900 };
        const struct awaited all = {NINE_LETTERS, 0, FIRST_STAGE};
        uint32_t accepted = 0, refused = 0;
        begin(4);
        node->settings.store_write_rps = 4 * TRIES; /* no submission is refused for the rate of writes */
        amb_store_init(&node->store, &node->settings, 1000);
        accept_all_elsewhere(NINE_LETTERS, 0, FIRST_STAGE);
        for (uint32_t k = 0; k < TRIES; k++) {
            char ref[AMB_NAME_SIZE];
            strcpy(ref, format_name(NINE_LETTERS, 100000 + k));
            int status = submit(ref, all);
            if (!status && fake_open_call("/follow")) {
                answer_fresh_read();
                if (!fake_open_call("/commit")) status = 503;
            }
            refused += status == 503;
            accepted += !status;
            if (!rows[i].answered || status) continue;
            struct amb_buf body = {0};
            amb_cbor_write_map(&body, 1);
            amb_cbor_write_string(&body, "epoch");
            amb_cbor_write_uint(&body, ++revision);
            fake_answer(fake_open_call("/commit"), 200, &body);
        }
        size_t claimed = amb_memory_job_table_used_bytes(node) + node->jobs.reserved_bytes;
        if (!accepted || !refused || claimed > amb_memory_job_table_bytes(&node->settings))
            fail_msg("%s: %u accepted, %u refused, %zu bytes", rows[i].what, accepted, refused, claimed);
        fake_answer_all_lost();
        assert_int_equal(node->jobs.reserved_bytes, 0);
        assert_int_equal(node->jobs.draft_bytes, 0);
    }
}

/* Other controllers may accept as many jobs as the state service takes writes in a second before this one
 * hears of them, each with the most names. With these the table does not exceed its share. */
static void room_is_left_for_jobs_accepted_elsewhere(void **state) {
    (void)state;
    const struct awaited most = {SIX_LETTERS, 0, MOST_NAMES};
    begin(QUOTA_MB);
    accept_all_elsewhere(SIX_LETTERS, 0, MOST_NAMES);
    accept_all_elsewhere(SIX_LETTERS, 0xa00, MOST_NAMES); /* not awaited yet */
    uint32_t next = 0x10000;
    for (;; next++) {
        char ref[AMB_NAME_SIZE];
        strcpy(ref, format_name(SIX_LETTERS, next));
        int status = submit(ref, most);
        if (!status && fake_open_call("/follow")) answer_fresh_read();
        if (!fake_open_call("/commit")) break;
        fake_answer_all_lost();
        accept_elsewhere(ref, most); /* the transaction was carried out */
        assert_true(next < 0x11000);
    }
    assert_true(amb_memory_is_nearly_full(node));
    for (uint32_t i = 0; i < (uint32_t)node->settings.store_write_rps; i++) {
        char ref[AMB_NAME_SIZE];
        strcpy(ref, format_name(SIX_LETTERS, next + i));
        accept_elsewhere(ref, (struct awaited){SIX_LETTERS, i % 2 ? 0xa00 : 0, MOST_NAMES});
    }
    assert_true(amb_memory_job_table_used_bytes(node) <= JOB_TABLE_BYTES);
}

/* When little room is left, what other nodes have accepted is read before a job with dependencies is. */
static void little_room_needs_a_fresh_read(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double used; /* share of the table, by jobs that are known */
        uint32_t awaited;
        bool reads;
    } rows[] = {{"much room", 0.5, 1, false},
                {"little room", 0.76, 1, true},
                {"little room, but it awaits none", 0.76, 0, false}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        enum { JOBS = 200 };
        begin(QUOTA_MB);
        accept_all_elsewhere(NINE_LETTERS, 0, JOBS);
        size_t used = amb_memory_job_table_used_bytes(node);
        node->settings.memory_mb = 3 * (double)used / rows[i].used / MIB;
        node->settings.store_write_rps = 2;
        node->settings.value_kb = 1;
        int status = submit("wk-new", (struct awaited){NINE_LETTERS, 0, rows[i].awaited});
        if (status || (fake_open_call("/follow") != NULL) != rows[i].reads)
            fail_msg("%s: %d", rows[i].what, status);
        if (rows[i].reads) answer_fresh_read();
        if (!fake_open_call("/commit")) fail_msg("%s: not accepted", rows[i].what);
    }
}

/* A job whose dependencies fit no empty table can never run; its user is not asked to retry. */
static void dependencies_that_never_fit_are_refused(void **state) {
    (void)state;
    enum { NAMES = 9000 };
    struct amb_buf body = new_submission("wk-new", (struct awaited){NINE_LETTERS, 0, NAMES});
    const struct amb_buf done = cbor_from_text("{\"s\":\"done\",\"n\":1}");
    struct fake_reply reply = {0};
    begin(4);
    node->settings.value_kb = 1000;
    for (uint32_t i = 0; i < NAMES; i++) apply(format_name(NINE_LETTERS, i), &done);
    free(done.data);
    send_submission(&body, &reply);
    answer_fresh_read();
    assert_int_equal(reply.status, 422);
    amb_buf_free(&reply.body);
    amb_buf_free(&body);
}

/* ---- submissions that wait for a read ---- */

/* A submission of a job that is known is answered from the table. Its names took 64 bytes each until then, so
 * that 343 of them took 20 MB. */
static void repeated_submissions_keep_nothing(void **state) {
    (void)state;
    const struct awaited most = {SIX_LETTERS, 0, MOST_NAMES};
    static struct fake_reply replies[CONNECTIONS];
    begin(QUOTA_MB);
    accept_all_elsewhere(SIX_LETTERS, 0, MOST_NAMES);
    accept_elsewhere("wk-known", most);
    struct amb_buf body = new_submission("wk-known", most);
    heap_peak_begin();
    for (size_t i = 0; i < CONNECTIONS; i++) send_submission(&body, &replies[i]);
    size_t taken = heap_peak_end();
    if (taken > DRAFT_BYTES) fail_msg("%zu bytes, %d are allowed", taken, DRAFT_BYTES);
    answer_all_fresh_reads();
    for (size_t i = 0; i < CONNECTIONS; i++) {
        assert_int_equal(replies[i].status, 200);
        amb_buf_free(&replies[i].body);
        replies[i] = (struct fake_reply){0};
    }
    amb_buf_free(&body);
}

/* Submissions that wait for a read together take a share of the memory; the others get 503 at once. Names
 * that no record could hold are not kept. */
static void waiting_submissions_take_a_share(void **state) {
    (void)state;
    static const struct {
        const char *what;
        uint32_t names; /* of jobs that are not known */
        bool some_refused;
        int status; /* of the others, after the read */
    } rows[] = {{"few names", 1, false, 422},
                {"the most names that a record holds", MOST_NAMES, true, 422},
                {"more names than a record holds", 5000, false, 422}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        static struct fake_reply replies[CONNECTIONS];
        static struct amb_buf bodies[CONNECTIONS];
        size_t refused = 0;
        begin(QUOTA_MB);
        for (uint32_t k = 0; k < CONNECTIONS; k++) {
            char ref[AMB_NAME_SIZE];
            strcpy(ref, format_name(NINE_LETTERS, k));
            bodies[k] = new_submission(ref, (struct awaited){SIX_LETTERS, 0, rows[i].names});
        }
        heap_peak_begin();
        for (size_t k = 0; k < CONNECTIONS; k++) send_submission(&bodies[k], &replies[k]);
        size_t taken = heap_peak_end();
        size_t bound = DRAFT_BYTES + BODY_MAX_BYTES + (size_t)CONNECTIONS * REQUEST_BYTES;
        if (taken > bound) fail_msg("%s: %zu bytes, %zu are allowed", rows[i].what, taken, bound);
        answer_all_fresh_reads();
        for (size_t k = 0; k < CONNECTIONS; k++) {
            refused += replies[k].status == 503;
            if (replies[k].status != 503) assert_int_equal(replies[k].status, rows[i].status);
            amb_buf_free(&replies[k].body);
            amb_buf_free(&bodies[k]);
            replies[k] = (struct fake_reply){0};
        }
        if ((refused > 0) != rows[i].some_refused) fail_msg("%s: %zu refused", rows[i].what, refused);
        assert_int_equal(node->jobs.draft_bytes, 0);
    }
}

/* ---- names ---- */

static struct amb_name_list *new_names(const char *letters) {
    struct amb_name_list *names = amb_name_list_new(64);
    for (; *letters; letters++) amb_name_list_append(names, (char[]){*letters, 0});
    return amb_name_list_normalize(names);
}

/* A name is kept once, as long as a list refers to it, and lists give back the names that they were made of.
 */
static void names_are_kept_once(void **state) {
    (void)state;
    static const struct {
        const char *names, *kept;
    } rows[] = {{"abc", "abc"}, {"cab", "abc"}, {"abab", "ab"}, {"bcd", "bcd"}, {"a", "a"}};
    struct amb_job_dependencies *lists[ROWS(rows)];
    struct amb_job_names *names = &node->jobs.names;
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_name_list *list = new_names(rows[i].names);
        lists[i] = amb_job_dependencies_new(names, "z", list);
        free(list);
    }
    assert_int_equal(names->usage.names, 5); /* a to d, and z */
    assert_int_equal(names->usage.edges, 3 + 3 + 2 + 3 + 1);
    amb_job_dependencies_free(names, lists[3]);
    assert_int_equal(amb_job_names_find(names, "d"), AMB_NO_JOB_ID);
    struct amb_name_list *list = new_names("de");
    lists[3] = amb_job_dependencies_new(names, "z", list); /* the number of "d" is used again */
    free(list);
    for (size_t i = 0; i < ROWS(rows); i++) {
        const char *kept = i == 3 ? "de" : rows[i].kept;
        list = amb_job_dependencies_names(names, lists[i]);
        assert_int_equal(list->count, strlen(kept));
        const char *name = amb_name_list_first(list);
        for (; *kept; kept++, name = amb_name_list_next(name)) assert_int_equal(*name, *kept);
        free(list);
        amb_job_dependencies_free(names, lists[i]);
    }
    assert_int_equal(names->usage.names, 0);
    assert_int_equal(names->usage.name_bytes, 0);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, setup, end)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(records_of_pipelines_fit_the_job_table),
        TEST(counted_memory_covers_what_is_held),
        TEST(dependencies_are_freed_when_jobs_are_done),
        TEST(dependencies_are_freed_after_a_cancellation),
        TEST(submissions_are_refused_when_dependencies_do_not_fit),
        TEST(room_is_left_for_jobs_accepted_elsewhere),
        TEST(little_room_needs_a_fresh_read),
        TEST(dependencies_that_never_fit_are_refused),
        TEST(repeated_submissions_keep_nothing),
        TEST(waiting_submissions_take_a_share),
        TEST(names_are_kept_once),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
