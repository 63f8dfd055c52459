/* Decoding a page of changes directly from its bytes must have the same effect as parsing it into a tree of
 * items. Random pages are applied to two nodes, one for each way. */
#include "check.h"
#include "fake_http.h"
#include "node_fixture.h"

#include "amberpin/codec/change_page.h"

enum { JOBS = 12, RUNS = 5, ROUNDS = 400, PAGE_CHANGES = 8, STAMPS = 300 };

static uint64_t seed;

static uint64_t draw(uint64_t below) {
    seed ^= seed << 13, seed ^= seed >> 7, seed ^= seed << 17;
    return seed % below;
}

/* ---- random pages ---- */

static void put_description(struct amb_buf *out, const char *ref) {
    struct amb_job_spec spec = {
        .kind = AMB_JOB_KIND_ARRAY, .priority = AMB_PRIORITY_NORMAL, .task_count = 1 + (uint32_t)draw(9)};
    snprintf(spec.ref, sizeof spec.ref, "%s", ref);
    strcpy(spec.class_name, "sweep");
    strcpy(spec.team, "t");
    strcpy(spec.image, draw(20) ? "img" : "im\xc3\xa1gen"); /* a text that only libcbor reads */
    spec.task_resources.cpus = 1;
    amb_codec_encode_spec(out, &spec);
}

static void put_uint(struct amb_buf *out, const char *name, uint64_t value) {
    amb_cbor_write_string(out, name);
    if (draw(40))
        amb_cbor_write_uint(out, value);
    else
        amb_cbor_write_number(out, (double)value); /* wrong type */
}

/* A job's record, in which a field is sometimes missing, unknown, of the wrong type or duplicate. */
static void put_record(struct amb_buf *out, const char *ref) {
    static const char *const states[] = {"queued", "cancelled", "done", "odd"};
    struct amb_buf fields = {0};
    size_t count = 0;
    if (draw(30))
        amb_cbor_write_string(&fields, "s"), amb_cbor_write_string(&fields, states[draw(4)]), count++;
    if (draw(5)) put_uint(&fields, "a", draw(1000)), count++;
    if (!draw(3)) put_uint(&fields, "c", draw(1000)), count++;
    if (!draw(3)) put_uint(&fields, "n", draw(100)), count++;
    if (!draw(25)) put_uint(&fields, "n", draw(100)), count++;
    if (!draw(15)) put_uint(&fields, "later", draw(100)), count++;
    if (draw(3)) {
        amb_cbor_write_string(&fields, "d");
        if (draw(15))
            put_description(&fields, ref);
        else
            amb_cbor_write_null(&fields);
        count++;
    }
    amb_cbor_write_map(out, count);
    amb_buf_append(out, fields.data, fields.len);
    amb_buf_free(&fields);
}

static void put_change(struct amb_buf *out) {
    char key[AMB_NAME_SIZE];
    snprintf(key, sizeof key, "a/job/wk-%llu", (unsigned long long)draw(JOBS));
    bool removes = !draw(15), stamped = draw(60) != 0, valued = !removes && draw(60);
    amb_cbor_write_map(out, 1u + stamped + valued);
    if (stamped) put_uint(out, "stamp", 1 + draw(STAMPS));
    amb_cbor_write_string(out, removes ? "remove" : "put");
    amb_cbor_write_string(out, key);
    if (!valued) return;
    amb_cbor_write_string(out, "value");
    put_record(out, key + strlen("a/job/"));
}

static struct amb_buf random_page(uint64_t store_revision) {
    struct amb_buf page = {0};
    size_t changes = draw(PAGE_CHANGES);
    amb_cbor_write_map(&page, 2);
    amb_cbor_write_string(&page, "epoch");
    amb_cbor_write_uint(&page, store_revision);
    amb_cbor_write_string(&page, "news");
    amb_cbor_write_list(&page, changes);
    while (changes--) put_change(&page);
    if (!draw(10)) page.len -= draw(page.len);                      /* truncated */
    if (!draw(10)) page.data[draw(page.len + 1)] = (char)draw(256); /* corrupted */
    return page;
}

/* ---- applying a page in both ways ---- */

/* Applies the page by the reference implementation, which supports every encoding. */
static bool apply_items(struct amb_node *target, const struct amb_buf *page) {
    uint64_t store_revision, revision;
    const struct amb_cbor_item *body = amb_cbor_parse(page->data, page->len);
    bool understood = amb_cbor_get_uint(amb_cbor_map_get(body, "epoch"), &store_revision);
    const struct amb_cbor_item *changes = understood ? amb_cbor_map_get(body, "news") : NULL;
    for (size_t i = 0; i < amb_cbor_list_length(changes); i++) {
        char key[AMB_STORE_KEY_SIZE];
        const struct amb_cbor_item *change = amb_cbor_list_item(changes, i);
        if (!amb_cbor_get_uint(amb_cbor_map_get(change, "stamp"), &revision)) continue;
        if (!amb_cbor_copy_string(amb_cbor_map_get(change, "put"), key, sizeof key) ||
            strncmp(key, "a/job/", 6))
            continue;
        amb_jobs_apply_item(target, key + strlen("a/job/"), amb_cbor_map_get(change, "value"), revision);
    }
    return understood;
}

static void assert_same_jobs(struct amb_node *expected, struct amb_node *actual) {
    assert_int_equal(HASH_COUNT(expected->jobs.all), HASH_COUNT(actual->jobs.all));
    assert_int_equal(expected->jobs.spec_count, actual->jobs.spec_count);
    for (const struct amb_job *job = expected->jobs.all; job; job = job->hh.next) {
        const struct amb_job *other = amb_job_find(actual, job->ref);
        assert_non_null(other);
        assert_int_equal(job->state, other->state);
        assert_int_equal(job->revision, other->revision);
        assert_int_equal(job->cancel_revision, other->cancel_revision);
        assert_int_equal(job->accepted_wall_ms, other->accepted_wall_ms);
        assert_int_equal(job->cancelled_wall_ms, other->cancelled_wall_ms);
        assert_int_equal(job->progress_done, other->progress_done);
        assert_int_equal(job->spec != NULL, other->spec != NULL);
        if (job->spec) assert_memory_equal(job->spec, other->spec, sizeof *job->spec);
    }
}

static int begin(void **state) {
    setup(state);
    node->election.role = AMB_ROLE_FOLLOWER;
    strcpy(node->settings.store_addr, "S:1");
    node->settings.store_rps = node->settings.store_write_rps = 1e9;
    strcpy(node->settings.teams[0].name, "t");
    amb_store_init(&node->store, &node->settings, 1000);
    node->watch.loaded = true;
    return 0;
}

static int end(void **state) {
    fake_answer_all_lost();
    fake_http_reset();
    amb_timer_stop(&node->watch.fresh_read_timer);
    amb_timer_stop(&node->watch.watch_timer);
    amb_timer_stop(&node->store.dispatch_timer);
    amb_timer_stop(&node->election_timer);
    return teardown(state);
}

static void note_fresh_read(void *arg, bool ok) {
    *(bool *)arg = ok;
}

/* Makes the node read changes and answers with this page. Returns whether the node accepted it. */
static bool apply_as_watch_response(const struct amb_buf *page) {
    struct amb_buf copy = {0};
    bool understood = false;
    amb_watch_read_fresh(node, note_fresh_read, &understood);
    if (page->len) amb_buf_append(&copy, page->data, page->len);
    fake_answer(fake_open_call("/follow"), 200, &copy);
    return understood;
}

static void visit_nothing(void *context, const struct amb_change *change) {
    (void)context, (void)change;
}

static bool is_plain(const struct amb_buf *page) {
    uint64_t store_revision;
    return amb_change_page_decode(page->data, page->len, &store_revision, visit_nothing, NULL);
}

static void pages_are_applied_as_if_parsed(void **state) {
    (void)state;
    size_t plain_pages = 0, other_pages = 0, refused = 0;
    for (uint64_t run = 1; run <= RUNS; run++) {
        end(NULL);
        begin(NULL);
        struct amb_node *parsing = node;
        begin(NULL);
        struct amb_node *reading = node;
        seed = run * 0x9e3779b97f4a7c15u;
        for (uint64_t round = 1; round <= ROUNDS; round++) {
            struct amb_buf page = random_page(round);
            bool plain = is_plain(&page);
            bool understood = apply_as_watch_response(&page);
            assert_int_equal(understood, apply_items(parsing, &page));
            assert_same_jobs(parsing, reading);
            plain_pages += plain;
            other_pages += understood && !plain;
            refused += !understood;
            amb_buf_free(&page);
        }
        node = parsing;
        end(NULL);
        node = reading;
    }
    assert_true(plain_pages > RUNS * ROUNDS / 4); /* each way was taken often */
    assert_true(other_pages > RUNS * ROUNDS / 20);
    assert_true(refused > RUNS * ROUNDS / 20);
}

/* ---- contents of a page ---- */

struct visited {
    char text[200];
};

static void note_change(void *context, const struct amb_change *change) {
    struct visited *visited = context;
    size_t len = strlen(visited->text);
    snprintf(visited->text + len, sizeof visited->text - len, "%s@%d:%zu ", change->key,
             (int)change->revision, change->value_len);
}

static void pages_are_read_whole_or_not_at_all(void **state) {
    (void)state;
    static const struct {
        const char *what, *page; /* CBOR in hexadecimal digits */
        const char *visited;     /* NULL: not a page in the plain encodings */
    } rows[] = {
        {"no changes", "a2 6565706f6368 07 646e657773 80", ""},
        {"fields in another order", "a2 646e657773 80 6565706f6368 07", ""},
        {"an unknown field", "a3 646e657773 80 6161 f6 6565706f6368 07", ""},
        {"one put, one removed",
         "a2 6565706f6368 07 646e657773 82 a3 63707574 6161 657374616d70 05 6576616c7565 a0"
         " a2 6672656d6f7665 6162 657374616d70 06",
         "a@5:1 b@6:0 "},
        {"the second is not in a plain encoding",
         "a2 6565706f6368 07 646e657773 82 a3 63707574 6161 657374616d70 05 6576616c7565 a0"
         " a2 6672656d6f7665 6162 657374616d70 20",
         NULL},
        {"no stamp", "a2 6565706f6368 07 646e657773 81 a1 6672656d6f7665 6162", NULL},
        {"put without a value", "a2 6565706f6368 07 646e657773 81 a2 63707574 6161 657374616d70 05", NULL},
        {"put and removed",
         "a2 6565706f6368 07 646e657773 81 a4 63707574 6161 6672656d6f7665 6161 657374616d70 05 6576616c7565 "
         "a0",
         NULL},
        {"a stamp twice",
         "a2 6565706f6368 07 646e657773 81 a4 63707574 6161 657374616d70 05 657374616d70 06 6576616c7565 a0",
         NULL},
        {"changes twice", "a3 6565706f6368 07 646e657773 80 646e657773 80", NULL},
        {"no epoch", "a1 646e657773 80", NULL},
        {"no changes at all", "a1 6565706f6368 07", NULL},
        {"more after the page", "a2 6565706f6368 07 646e657773 80 00", NULL},
        {"cut short", "a2 6565706f6368 07 646e657773", NULL},
        {"a list of indefinite length", "a2 6565706f6368 07 646e657773 9fff", NULL},
        {"nothing", "", NULL},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        struct amb_buf page = {0};
        struct visited visited = {0};
        uint64_t store_revision = 0;
        for (const char *at = rows[i].page; *at; at++) {
            if (*at == ' ') continue;
            const char digits[3] = {at[0], at[1], 0};
            char byte = (char)strtol(digits, NULL, 16);
            amb_buf_append(&page, &byte, 1);
            at++;
        }
        bool read = amb_change_page_decode(page.data, page.len, &store_revision, note_change, &visited);
        if (read != (rows[i].visited != NULL) || strcmp(visited.text, read ? rows[i].visited : "") ||
            (read && store_revision != 7))
            fail_msg("%s: %d, visited %s", rows[i].what, read, visited.text);
        amb_buf_free(&page);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(pages_are_read_whole_or_not_at_all),
        cmocka_unit_test_setup_teardown(pages_are_applied_as_if_parsed, begin, end),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
