#include "pipeline_fixture.h"

#include "amberpin/api/user_api.h"
#include "cbor_items.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "json_cbor.h"

enum { REPLIES = 64, FIRST_REVISION = 100, VALUE_BYTES = 8192 };

static const char LEADER_KEY[] = "a/leader";

/* ---- the key-value store ---- */

struct job_value job_values[JOB_LETTERS];
struct fake_service fake_service;

static void clear_records(void) {
    for (size_t i = 0; i < JOB_LETTERS; i++) amb_buf_free(&job_values[i].value);
    memset(job_values, 0, sizeof job_values);
    fake_service = (struct fake_service){.revision = FIRST_REVISION};
}

static const char *job_name(char letter) {
    static char names[4][AMB_NAME_SIZE];
    static size_t at;
    char *name = names[at++ % ROWS(names)];
    snprintf(name, AMB_NAME_SIZE, "wk-%c", letter);
    return name;
}

/* The record of a key "a/job/wk-x"; NULL: the key is not a job's. */
static struct job_value *record_of(const char *key) {
    static const char prefix[] = "a/job/wk-";
    if (strncmp(key, prefix, sizeof prefix - 1) != 0) return NULL;
    return &job_values[key[sizeof prefix - 1] - 'a'];
}

static char letter_of(const struct job_value *record) {
    return (char)('a' + (record - job_values));
}

static void put_change(struct amb_buf *buffer, const struct job_value *record, const char *key_field) {
    char key[AMB_NAME_SIZE + 16];
    amb_job_format_key(key, sizeof key, job_name(letter_of(record)));
    amb_cbor_write_map(buffer, 3);
    amb_cbor_write_string(buffer, key_field);
    amb_cbor_write_string(buffer, key);
    amb_cbor_write_string(buffer, "value");
    amb_buf_append(buffer, record->value.data, record->value.len);
    amb_cbor_write_string(buffer, "stamp");
    amb_cbor_write_uint(buffer, record->revision);
}

static void put_changes(struct amb_buf *buffer, uint64_t after, const char *key_field) {
    size_t count = 0;
    for (size_t i = 0; i < JOB_LETTERS; i++) count += job_values[i].revision > after;
    amb_cbor_write_list(buffer, count);
    for (size_t i = 0; i < JOB_LETTERS; i++)
        if (job_values[i].revision > after) put_change(buffer, &job_values[i], key_field);
}

static void answer_changes(struct fake_call *call) {
    struct amb_buf buffer = {0};
    const char *after = strstr(call->path, "after=");
    assert_non_null(after);
    amb_cbor_write_map(&buffer, 2);
    amb_cbor_write_string(&buffer, "epoch");
    amb_cbor_write_uint(&buffer, fake_service.revision);
    amb_cbor_write_string(&buffer, "news");
    put_changes(&buffer, strtoull(after + 6, NULL, 10), "put");
    fake_answer(call, 200, &buffer);
}

static void answer_listing(struct fake_call *call, bool jobs) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 3);
    amb_cbor_write_string(&buffer, "epoch");
    amb_cbor_write_uint(&buffer, fake_service.revision);
    amb_cbor_write_string(&buffer, "truncated");
    amb_cbor_write_bool(&buffer, false);
    amb_cbor_write_string(&buffer, "pairs");
    put_changes(&buffer, jobs ? 0 : UINT64_MAX, "path");
    fake_answer(call, 200, &buffer);
}

static bool guards_hold(const struct fake_call *call) {
    const struct amb_cbor_item *guards = amb_cbor_map_get(call->cbor_body, "guards");
    for (size_t i = 0; i < amb_cbor_list_length(guards); i++) {
        char key[128];
        uint64_t compared = 0;
        amb_cbor_copy_string(amb_cbor_map_get(amb_cbor_list_item(guards, i), "path"), key, sizeof key);
        amb_cbor_get_uint(amb_cbor_map_get(amb_cbor_list_item(guards, i), "stamp"), &compared);
        const struct job_value *record = record_of(key);
        if (record ? record->revision != compared : !strcmp(key, LEADER_KEY) && compared != TERM)
            return false;
    }
    return true;
}

static void apply_txn(struct fake_call *call) {
    struct amb_buf buffer = {0};
    bool guards_ok = guards_hold(call);
    const struct amb_cbor_item *changes = amb_cbor_map_get(call->cbor_body, "then");
    fake_service.revision += guards_ok;
    for (size_t i = 0; guards_ok && i < amb_cbor_list_length(changes); i++) {
        char key[128];
        const struct amb_cbor_item *change = amb_cbor_list_item(changes, i);
        if (!amb_cbor_copy_string(amb_cbor_map_get(change, "put"), key, sizeof key)) continue;
        struct job_value *record = record_of(key);
        if (!record) continue;
        const struct amb_cbor_item *value = amb_cbor_map_get(change, "value");
        assert_non_null(value);
        assert_true(amb_cbor_encoded_len(value) <= VALUE_BYTES);
        amb_buf_free(&record->value);
        cbor_item_append(&record->value, value);
        record->revision = fake_service.revision;
    }
    amb_cbor_write_map(&buffer, guards_ok ? 1 : 2);
    amb_cbor_write_string(&buffer, "epoch");
    amb_cbor_write_uint(&buffer, fake_service.revision);
    if (!guards_ok) {
        amb_cbor_write_string(&buffer, "failed");
        amb_cbor_write_list(&buffer, 0);
    }
    bool lost = fake_service.next_response_lost;
    fake_service.next_response_lost = false;
    fake_answer(call, lost ? 0 : guards_ok ? 200 : 409, &buffer);
}

static bool is_watch(const struct fake_call *call) {
    return !strstr(call->path, "wait_ms=0");
}

/* The oldest read of changes: a watch, or a read that is answered at once. */
static struct fake_call *find_changes_read(bool watch) {
    static struct fake_call *skipped[FAKE_CALLS];
    size_t skipped_count = 0;
    struct fake_call *call;
    while ((call = fake_open_call("/follow")) && is_watch(call) != watch) {
        call->answered = true;
        skipped[skipped_count++] = call;
    }
    while (skipped_count) skipped[--skipped_count]->answered = false;
    return call;
}

bool serve_one(void) {
    struct fake_call *call = find_changes_read(false);
    if (call && fake_service.changes_compacted && !fake_service.unavailable) {
        fake_service.changes_compacted = false;
        fake_answer(call, 410, NULL);
        return true;
    }
    bool changes = call != NULL;
    if (!call) call = fake_open_call("/store?prefix=a/");
    bool jobs = call && !changes;
    if (!call) call = fake_open_call("/store?prefix=b/");
    bool commit = !call && !fake_service.commits_held;
    if (commit) call = fake_open_call("/commit");
    if (!call) return false;
    if (fake_service.unavailable)
        fake_answer(call, 503, NULL);
    else if (changes)
        answer_changes(call);
    else if (commit)
        apply_txn(call);
    else
        answer_listing(call, jobs);
    return true;
}

/* Serves calls and advances the clock until the node has no more requests for the key-value store. */
static void run_until_idle(void) {
    for (int i = 0; i < 20; i++) {
        while (serve_one()) {}
        node->election.renewed_at = amb_now();
        fake_clock_advance(20);
    }
}

/* ---- users and other nodes ---- */

static struct fake_reply replies[REPLIES];
static size_t reply_count;

static char submission_text[2048];

const char *format_submission(char letter, const char *awaits, const char *shape) {
    char names[256] = "";
    for (size_t len = 0; awaits && *awaits && len < sizeof names - 16; awaits++)
        len +=
            (size_t)snprintf(names + len, sizeof names - len, "%s\"%s\"", len ? "," : "", job_name(*awaits));
    snprintf(submission_text, sizeof submission_text,
             "{\"ref\":\"%s\",\"berth\":\"stage\",\"crew\":\"vision\",\"shape\":\"%s\",\"rank\":\"normal\","
             "\"legs\":%d,\"vcpus\":1.0,\"accelerators\":0.0,\"ram_gb\":4.0,\"cask\":\"img\",\"size_gb\":1.0,"
             "\"one_zone\":false,\"scatter\":false,\"driftwood\":true,\"reckon_s\":20.0,\"mark_s\":0.0,"
             "\"stow_s\":0.0%s%s%s}",
             job_name(letter), shape, TASKS_PER_JOB, *names ? ",\"awaits\":[" : "", names, *names ? "]" : "");
    return submission_text;
}

static void send_request(const char *method, const char *path, struct amb_buf *body) {
    assert_true(reply_count < REPLIES);
    assert_true(amb_api_handle_request(node, fake_request(method, path, body, &replies[reply_count++])));
    if (body) amb_buf_free(body);
    run_until_idle();
}

int latest_status(void) {
    return replies[reply_count - 1].status;
}

void submit_text(const char *text) {
    struct amb_buf body = cbor_from_text("%s", text);
    send_request("POST", "/v1/jobs", &body);
}

void submit_json(json_t *job) {
    struct amb_buf body = {0};
    cbor_from_json(&body, job);
    json_decref(job);
    send_request("POST", "/v1/jobs", &body);
}

static void query_job(char letter, bool cancel) {
    char path[AMB_NAME_SIZE + 32];
    snprintf(path, sizeof path, "/v1/jobs/%s%s", job_name(letter), cancel ? "/cancel" : "");
    send_request(cancel ? "POST" : "GET", path, NULL);
}

const char *latest_answer(void) {
    static char text[16];
    const struct fake_reply *reply = &replies[reply_count - 1];
    const struct amb_cbor_item *body =
        reply->body.len ? amb_cbor_parse(reply->body.data, reply->body.len) : NULL;
    char stance[16] = "";
    amb_cbor_copy_string(amb_cbor_map_get(body, "stance"), stance, sizeof stance);
    snprintf(text, sizeof text, "%d%.1s", reply->status, stance);
    return text;
}

/* Writes the job's record on behalf of another node. */
static void write_from_other_node(char letter, const char *state, const char *awaits) {
    struct job_value *record = &job_values[letter - 'a'];
    static char awaited[JOB_LETTERS][16];
    if (awaits) snprintf(awaited[letter - 'a'], sizeof awaited[0], "%s", awaits);
    amb_buf_free(&record->value);
    record->revision = ++fake_service.revision;
    if (!strcmp(state, "done"))
        record->value = cbor_from_text("{\"s\":\"done\",\"n\":%d}", TASKS_PER_JOB);
    else
        record->value = cbor_from_text("{\"s\":\"%s\",\"a\":%lld,\"c\":%lld,\"d\":%s}", state,
                                       (long long)amb_wall_ms(), (long long)amb_wall_ms(),
                                       format_submission(letter, awaited[letter - 'a'], "batch"));
}

static void deliver_watched_changes(void) {
    struct fake_call *call = find_changes_read(true);
    if (call)
        answer_changes(call);
    else
        fail_msg("no open watch");
    run_until_idle();
}

static void apply_cancel_hint(char letter) {
    amb_job_apply_cancel_hint(node, job_name(letter), amb_wall_ms(), job_values[letter - 'a'].revision);
}

/* ---- the node ---- */

int fixture_setup(void **state) {
    fake_http_reset();
    fake_clock_reset();
    clear_records();
    setup(state);
    node->election.role = AMB_ROLE_FOLLOWER;
    node->controller.ready = false;
    node->controller.restored_at = 0;
    strcpy(node->settings.member, "n-0");
    strcpy(node->settings.store_addr, "state:1");
    strcpy(node->settings.api_listen, "front:1");
    strcpy(node->settings.peer_listen, "peers:1");
    strcpy(node->settings.teams[0].name, "vision");
    node->settings.store_rps = node->settings.store_write_rps = 3000;
    node->settings.cloud_rps = 100;
    node->catalog.types[0].zone_count = 1;
    strcpy(node->catalog.types[0].zones[0], "a");
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    char err[128];
    assert_int_equal(amb_node_start(node, err, sizeof err), 0);
    run_until_idle();
    assert_true(node->watch.loaded);
    return 0;
}

int fixture_teardown(void **state) {
    fake_answer_all_lost();
    fake_http_reset();
    fake_clock_reset();
    for (size_t i = 0; i < reply_count; i++) amb_buf_free(&replies[i].body);
    reply_count = 0;
    clear_records();
    return teardown(state);
}

void fixture_reset(void) {
    fixture_teardown(NULL);
    fixture_setup(NULL);
}

void start_leading(void) {
    node->election.role = AMB_ROLE_LEADER;
    node->election.term = node->election.highest_term = TERM;
    node->election.ttl = 3600000;
    node->election.fence_after = 3600000;
    node->election.renewed_at = amb_now();
    amb_controller_start_leading(node);
    run_until_idle();
    if (!fake_service.unavailable && !node->controller.restored_at) fail_msg("the records were not restored");
}

void stop_leading(void) {
    amb_controller_stop_leading(node, "test");
    node->election.role = AMB_ROLE_FOLLOWER;
}

void finish_tasks(char letter) {
    struct amb_job *job = amb_job_find(node, job_name(letter));
    assert_true(job && job->active);
    for (uint32_t i = 0; i < job->spec->task_count; i++) amb_task_mark_done(node, &job->tasks[i]);
    amb_placement_log_flush(node);
    run_until_idle();
}

const char *active_jobs(void) {
    static char text[JOB_LETTERS + 1];
    size_t len = 0;
    for (size_t i = 0; i < JOB_LETTERS; i++) {
        char letter = letter_of(&job_values[i]);
        const struct amb_job *job = amb_job_find(node, job_name(letter));
        if (job && job->active && job->state == AMB_JOB_QUEUED) text[len++] = letter;
    }
    text[len] = 0;
    return text;
}

/* ---- scripts ---- */

static void run_other_node_step(const char *step) {
    char letter = step[1];
    if (*step == '+')
        write_from_other_node(letter, "queued", step[2] == ':' ? step + 3 : "");
    else
        write_from_other_node(letter, *step == '!' ? "done" : "cancelled", NULL);
}

static bool run_keyword(const char *step) {
    if (!strcmp(step, "~")) {
        deliver_watched_changes();
    } else if (!strcmp(step, "out") || !strcmp(step, "back")) {
        fake_service.unavailable = *step == 'o';
    } else if (!strcmp(step, "hold") || !strcmp(step, "release")) {
        fake_service.commits_held = *step == 'h';
        run_until_idle();
    } else if (!strcmp(step, "gone")) {
        fake_service.changes_compacted = true;
    } else if (!strcmp(step, "lose")) {
        fake_service.next_response_lost = true;
    } else if (!strcmp(step, "lead")) {
        start_leading();
    } else if (!strcmp(step, "stop")) {
        stop_leading();
    } else {
        return false;
    }
    return true;
}

/* Runs one step, without its expected result, and returns the actual result. */
static const char *run_step(const char *step) {
    if (run_keyword(step)) return NULL;
    if (!strcmp(step, "live")) return active_jobs();
    if (!strcmp(step, "last")) return latest_answer();
    if (*step == '@') {
        run_other_node_step(step + 1);
        return NULL;
    }
    if (*step == '^') {
        apply_cancel_hint(step[1]);
        return NULL;
    }
    if (*step == '!') {
        finish_tasks(step[1]);
        return NULL;
    }
    if (*step == '+')
        submit_text(format_submission(step[1], step[2] == ':' ? step + 3 : "", "batch"));
    else if (*step == '-' || *step == '?')
        query_job(step[1], *step == '-');
    else
        fail_msg("unknown step: %s", step);
    return latest_answer();
}

void run_script(const char *what, const char *script) {
    char text[512], *rest = text;
    assert_true(strlen(script) < sizeof text);
    strcpy(text, script);
    for (char *step; (step = strtok_r(rest, " ", &rest));) {
        char whole[64];
        snprintf(whole, sizeof whole, "%s", step);
        char *expected = strchr(step, '=');
        if (expected) *expected++ = 0;
        const char *actual = run_step(step);
        if (expected && strcmp(actual ? actual : "", expected) != 0)
            fail_msg("%s: %s: got %s at step %s", what, script, actual ? actual : "nothing", whole);
    }
}

void run_scripts(const struct pipeline_script *scripts, size_t count) {
    for (size_t i = 0; i < count; i++) {
        fixture_reset();
        run_script(scripts[i].name, scripts[i].script);
    }
}
