/* Compatibility with the production version, whose records and messages are in tests/data/production: the
 * present version reads each sample and writes the same again, and while a controller of the production
 * version runs, the present version writes records and messages of the same form, field by field. */
#include "cbor_items.h"
#include "check.h"
#include "json_cbor.h"
#include "named_tests.h"
#include "node_fixture.h"
#include "peer_json.h"
#include "recorder.h"
#include "world.h"

#include "amberpin/base/log.h"

#include <stdio.h>

enum { PATH_SIZE = 512, RECORDED_VALUE_BYTES = 2560, JOB_TASKS = SIM_JOB_TASKS, NEVER_MS = 10000000 };

static json_t *load_samples(enum sim_sample_kind kind) {
    char path[PATH_SIZE];
    json_error_t error;
    snprintf(path, sizeof path, "tests/data/production/%s.json", sim_sample_names[kind]);
    json_t *list = json_load_file(path, 0, &error);
    if (!list) fail_msg("%s: %s", path, error.text);
    if (!json_array_size(list)) fail_msg("%s: no samples", path);
    return list;
}

static const struct amb_cbor_item *decode_value(const json_t *sample) {
    struct amb_buf bytes = {0};
    cbor_from_json(&bytes, json_object_get(sample, "value"));
    const struct amb_cbor_item *value = cbor_item_copy(amb_cbor_parse(bytes.data, bytes.len));
    amb_buf_free(&bytes);
    assert_non_null(value);
    return value;
}

static json_t *json_from_buf(const struct amb_buf *bytes) {
    const struct amb_cbor_item *item = amb_cbor_parse(bytes->data, bytes->len);
    json_t *read = json_from_cbor(item);
    return read;
}

static const char *key_of(const json_t *sample) {
    return json_string_value(json_object_get(sample, "key"));
}

static json_int_t int_field(const json_t *object, const char *field) {
    return json_integer_value(json_object_get(object, field));
}

static const char *text_field(const json_t *object, const char *field) {
    return json_string_value(json_object_get(object, field));
}

static void expect_equal(const char *what, const json_t *written, const json_t *sample) {
    if (json_equal(written, sample)) return;
    char *first = json_dumps(written, JSON_SORT_KEYS), *second = json_dumps(sample, JSON_SORT_KEYS);
    print_error("%s: wrote %s, the sample is %s\n", what, first, second);
    free(first);
    free(second);
    fail();
}

/* ---- reading each sample ---- */

static void check_spec(const struct amb_job_spec *spec, const json_t *expected) {
    static const char *const shapes[] = {"batch", "ensemble", "daemon"};
    static const char *const ranks[] = {"best_effort", "normal", "high", "prod"};
    const char *zone = text_field(expected, "yard");
    assert_string_equal(spec->ref, text_field(expected, "ref"));
    assert_string_equal(spec->class_name, text_field(expected, "berth"));
    assert_string_equal(spec->team, text_field(expected, "crew"));
    assert_string_equal(spec->image, text_field(expected, "cask"));
    assert_string_equal(shapes[spec->kind], text_field(expected, "shape"));
    assert_string_equal(ranks[spec->priority], text_field(expected, "rank"));
    assert_int_equal(spec->task_count, int_field(expected, "legs"));
    assert_string_equal(spec->zone, zone ? zone : "");
    assert_true(spec->task_resources.cpus == json_number_value(json_object_get(expected, "vcpus")));
    assert_true(spec->task_resources.gpus == json_number_value(json_object_get(expected, "accelerators")));
    assert_true(spec->task_resources.memory_gb == json_number_value(json_object_get(expected, "ram_gb")));
    assert_true(spec->image_gb == json_number_value(json_object_get(expected, "size_gb")));
    assert_true(spec->estimated_runtime_s == json_number_value(json_object_get(expected, "reckon_s")));
    assert_true(spec->checkpoint_interval_s == json_number_value(json_object_get(expected, "mark_s")));
    assert_true(spec->checkpoint_save_s == json_number_value(json_object_get(expected, "stow_s")));
    assert_true(spec->deadline_s == json_number_value(json_object_get(expected, "due_s")));
    assert_int_equal(spec->one_zone, json_is_true(json_object_get(expected, "one_zone")));
    assert_int_equal(spec->spread_zones, json_is_true(json_object_get(expected, "scatter")));
    assert_int_equal(spec->spot_allowed, json_is_true(json_object_get(expected, "driftwood")));
    assert_int_equal(spec->allowed_type_count, json_array_size(json_object_get(expected, "hulls")));
    for (uint32_t i = 0; i < spec->allowed_type_count; i++)
        assert_string_equal(spec->allowed_types[i],
                            json_string_value(json_array_get(json_object_get(expected, "hulls"), i)));
}

static void check_job(const char *ref, const json_t *expected) {
    static const char *const states[] = {"queued", "done", "cancelled"};
    const struct amb_job *job = amb_job_find(node, ref);
    assert_non_null(job);
    assert_string_equal(states[job->state], text_field(expected, "s"));
    if (job->state == AMB_JOB_DONE) {
        assert_int_equal(job->progress_done, int_field(expected, "n"));
        return;
    }
    assert_int_equal(job->accepted_wall_ms, int_field(expected, "a"));
    if (job->state == AMB_JOB_CANCELLED) assert_int_equal(job->cancelled_wall_ms, int_field(expected, "c"));
    assert_non_null(job->spec);
    check_spec(job->spec, json_object_get(expected, "d"));
    struct amb_buf written = {0};
    struct amb_name_list *dependencies = amb_job_dependencies_names(&node->jobs.names, job->dependencies);
    amb_job_encode_record(&written, job, dependencies, job->state);
    free(dependencies);
    json_t *again = json_from_buf(&written);
    expect_equal(ref, again, expected);
    json_decref(again);
    amb_buf_free(&written);
}

static void job_records(void **state) {
    (void)state;
    json_t *list = load_samples(SIM_JOB_RECORDS), *sample;
    size_t i;
    json_array_foreach(list, i, sample) {
        const struct amb_cbor_item *value = decode_value(sample);
        const char *ref = key_of(sample) + strlen("a/job/");
        /* Samples of different recordings may name the same job, so each is read under a name of its own. */
        char name[AMB_NAME_SIZE];
        snprintf(name, sizeof name, "wk-sample-%zu", i);
        json_t *spec = json_object_get(json_object_get(sample, "value"), "d");
        amb_jobs_apply_item(node, name, value, 100 + i);
        if (spec) assert_string_equal(text_field(spec, "ref"), ref);
        check_job(name, json_object_get(sample, "value"));
        cbor_item_free(value);
    }
    json_decref(list);
}

/* Compares a job's tasks with the placements in a block's text. A placement is "0,1,m-000012,0,1,1;": task,
 * attempt, machine, machine type, zone, spot. */
static void check_placed(const struct amb_job *job, const char *placed) {
    unsigned index, attempt;
    int type, zone, spot, used;
    char machine[AMB_NAME_SIZE];
    for (; *placed; placed += used) {
        assert_int_equal(sscanf(placed, "%u,%u,%63[^,],%d,%d,%d;%n", &index, &attempt, machine, &type, &zone,
                                &spot, &used),
                         6);
        const struct amb_task *task = &job->tasks[index];
        assert_non_null(task->machine);
        assert_string_equal(task->machine->name, machine);
        assert_int_equal(task->attempt, attempt);
        assert_int_equal(task->machine->type_index, type);
        assert_int_equal(task->machine->zone_index, zone);
        assert_int_equal(task->machine->spot, spot);
        assert_int_equal(task->state, AMB_TASK_BOUND);
    }
}

/* Checks the completed tasks in a block's text, such as "0-3;7-7;", and returns how many they are. */
static uint32_t check_done(const struct amb_job *job, const char *done) {
    unsigned first, last;
    uint32_t count = 0;
    int used;
    for (; *done; done += used) {
        assert_int_equal(sscanf(done, "%u-%u;%n", &first, &last, &used), 2);
        for (; first <= last; first++, count++) assert_true(job->tasks[first].done);
    }
    return count;
}

static void check_block(const char *key, const json_t *expected) {
    unsigned index;
    char ref[AMB_NAME_SIZE];
    assert_int_equal(sscanf(key, "b/p/%63[^/]/%u", ref, &index), 2);
    const struct amb_job *job = amb_job_find(node, ref);
    check_placed(job, text_field(expected, "p"));
    assert_int_equal(check_done(job, text_field(expected, "d")), job->done_count);
    assert_int_equal(job->next_attempt, int_field(expected, "n"));
    uint32_t placed = 0;
    for (uint32_t i = 0; i < job->spec->task_count; i++) placed += job->tasks[i].machine != NULL;
    uint32_t parts = 0;
    for (const char *at = text_field(expected, "p"); (at = strchr(at, ';')); at++) parts++;
    assert_int_equal(placed, parts);
    struct amb_buf written = {0};
    amb_placement_log_encode_block(node, &job->blocks[index], &written);
    json_t *again = json_from_buf(&written);
    /* The time and the number of the write differ. */
    json_object_set(again, "at", json_object_get(expected, "at"));
    assert_true(json_is_string(json_object_get(again, "w")));
    json_object_set(again, "w", json_object_get(expected, "w"));
    expect_equal(key, again, expected);
    json_decref(again);
    amb_buf_free(&written);
}

static void add_types_and_zones(void) {
    node->settings.value_kb = RECORDED_VALUE_BYTES / 1024.0;
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    amb_catalog_find_or_add_zone(&node->catalog, "b");
}

static void placement_block(const json_t *sample) {
    char ref[AMB_NAME_SIZE];
    assert_int_equal(sscanf(key_of(sample), "b/p/%63[^/]/", ref), 1);
    add_types_and_zones();
    add_active_job(ref, AMB_JOB_KIND_ARRAY, JOB_TASKS);
    const struct amb_cbor_item *value = decode_value(sample);
    amb_placement_log_restore(node, key_of(sample), value, 50);
    check_block(key_of(sample), json_object_get(sample, "value"));
    cbor_item_free(value);
}

static void placement_blocks(void **state) {
    json_t *list = load_samples(SIM_PLACEMENT_BLOCKS), *sample;
    size_t i;
    json_array_foreach(list, i, sample) { /* each in a fresh controller */
        if (i) setup(state);
        placement_block(sample);
        if (i + 1 < json_array_size(list)) teardown(state);
    }
    json_decref(list);
}

static void rental_requests(void **state) {
    (void)state;
    json_t *list = load_samples(SIM_RENTAL_REQUESTS), *sample;
    size_t i;
    add_types_and_zones();
    json_array_foreach(list, i, sample) {
        const json_t *expected = json_object_get(sample, "value");
        const struct amb_cbor_item *value = decode_value(sample);
        amb_scale_out_restore(node, key_of(sample), value);
        const struct amb_scale_out_request *request = node->cloud.scale_out.requests;
        while (request && request->next) request = request->next;
        if (!request) {
            fail_msg("%s: not restored", key_of(sample));
            continue;
        }
        assert_string_equal(request->id, key_of(sample) + strlen("b/r/"));
        assert_string_equal(node->catalog.types[request->type].name, text_field(expected, "type"));
        assert_string_equal(node->catalog.zones[request->zone], text_field(expected, "zone"));
        assert_int_equal(request->spot, json_is_true(json_object_get(expected, "spot")));
        assert_int_equal(request->count, int_field(expected, "count"));
        cbor_item_free(value);
    }
    json_decref(list);
}

static void leader_keys(void **state) {
    (void)state;
    json_t *list = load_samples(SIM_LEADER_KEYS), *sample;
    size_t i;
    strcpy(node->settings.member, "other");
    node->election.role = AMB_ROLE_FOLLOWER;
    json_array_foreach(list, i, sample) {
        const struct amb_cbor_item *value = decode_value(sample);
        uint64_t stamp = TERM + 10 + i;
        amb_election_apply_key(node, value, stamp);
        assert_string_equal(node->election.holder, text_field(json_object_get(sample, "value"), "member"));
        assert_int_equal(node->election.holder_revision, stamp);
        cbor_item_free(value);
    }
    json_decref(list);
}

static void deputy_keys(void **state) {
    (void)state;
    json_t *list = load_samples(SIM_LEASE_PROXY_KEYS), *sample;
    size_t i;
    add_types_and_zones();
    json_array_foreach(list, i, sample) {
        const char *zone = text_field(json_object_get(sample, "value"), "zone");
        const struct amb_cbor_item *value = decode_value(sample);
        amb_lease_proxy_apply_key(node, key_of(sample) + strlen("a/deputy/"), value, 60 + i);
        assert_true(
            amb_lease_proxy_is_active_in_zone(node, amb_catalog_find_or_add_zone(&node->catalog, zone)));
        cbor_item_free(value);
    }
    json_decref(list);
}

static void messages(void **state) {
    (void)state;
    struct amb_peer *peer = &node->peers.list[0];
    node->peers.count = 1;
    node->election.role = AMB_ROLE_FOLLOWER;
    for (int kind = SIM_HEARTBEATS; kind <= SIM_HEARTBEAT_REPLIES; kind++) {
        json_t *list = load_samples((enum sim_sample_kind)kind), *expected, *row;
        size_t i, k;
        json_array_foreach(list, i, expected) {
            peer->format = AMB_FORMAT_UNKNOWN;
            apply_peer_json(node, peer, expected, 0);
            assert_int_equal(peer->term, int_field(expected, "term"));
            assert_int_equal(peer->is_leader, json_is_true(json_object_get(expected, "leading")));
            assert_int_equal(peer->store_reachable, json_is_true(json_object_get(expected, "store")));
            assert_int_equal(peer->receives_agent_heartbeats,
                             json_is_true(json_object_get(expected, "reports_arrive")));
            assert_int_equal(peer->format, AMB_FORMAT_1); /* the sample announces no format version */
            json_array_foreach(json_object_get(expected, "cancelled"), k, row) {
                const struct amb_job *job = amb_job_find(node, json_string_value(json_array_get(row, 0)));
                assert_non_null(job);
                assert_int_equal(job->state, AMB_JOB_CANCELLED);
            }
        }
        json_decref(list);
    }
}

/* ---- records and messages written while an old controller runs ---- */

/* Returns the variant of a sample. Samples of one kind differ in form: the record of a completed job has no
 * description, and the heartbeat of a leader has more fields. */
static const char *variant_of(const json_t *sample) {
    const char *job_state = text_field(json_object_get(sample, "value"), "s");
    if (job_state) return job_state;
    return json_is_true(json_object_get(sample, "leading")) && json_object_get(sample, "epoch") ? "leading"
                                                                                                : "";
}

/* Returns the sample without the fields that only the present version writes: `format`, which the production
 * version ignores, and `epoch` in heartbeats of followers, which the production version writes only as a
 * leader but reads from every controller. */
static json_t *without_new_fields(const json_t *sample) {
    json_t *copy = json_deep_copy(sample);
    json_object_del(copy, "format");
    if (!json_is_true(json_object_get(copy, "leading"))) json_object_del(copy, "epoch");
    return copy;
}

static void add_form(json_t *all, const json_t *form) {
    json_object_update(all, (json_t *)form);
}

/* Returns the paths of a form without the types of their values. Leaves out paths below machines and lists,
 * which may be empty. */
static json_t *required_paths(const json_t *form) {
    json_t *needed = json_object();
    const char *key;
    json_t *unused;
    json_object_foreach((json_t *)form, key, unused) {
        char path[PATH_SIZE];
        size_t len = strcspn(key, "=");
        if (memchr(key, '[', len) || memchr(key, '9', len)) continue;
        snprintf(path, sizeof path, "%.*s", (int)len, key);
        if (!strncmp(path, "images", 6)) continue;
        json_object_set_new(needed, path, json_true());
    }
    return needed;
}

static void keep_common(json_t *needed, const json_t *other) {
    const char *key;
    json_t *unused;
    void *next;
    json_object_foreach_safe(needed, next, key, unused) if (!json_object_get(other, key))
        json_object_del(needed, key);
}

struct known_form { /* of the production version's samples of one kind and variant: fields allowed and
                       required */
    json_t *allowed, *required;
};

static struct known_form known_form(const json_t *list, const char *variant) {
    struct known_form known = {json_object(), NULL};
    json_t *sample;
    size_t i;
    json_array_foreach(list, i, sample) {
        if (strcmp(variant_of(sample), variant)) continue;
        json_t *form = sim_sample_form(sample), *needed = required_paths(form);
        add_form(known.allowed, form);
        if (known.required)
            keep_common(known.required, needed);
        else
            known.required = json_incref(needed);
        json_decref(needed);
        json_decref(form);
    }
    return known;
}

static void check_form(const char *kind, const struct known_form *known, const json_t *sample) {
    json_t *plain = without_new_fields(sample), *form = sim_sample_form(plain), *has = required_paths(form),
           *unused;
    const char *key;
    if (!known->required)
        fail_msg("%s: the production version writes none like %s", kind, json_dumps(sample, 0));
    json_object_foreach(form, key, unused) if (!json_object_get(known->allowed, key))
        fail_msg("%s: the production version writes no %s: %s", kind, key, json_dumps(sample, 0));
    json_object_foreach(known->required, key, unused) if (!json_object_get(has, key))
        fail_msg("%s: the production version always writes %s: %s", kind, key, json_dumps(sample, 0));
    json_decref(has);
    json_decref(form);
    json_decref(plain);
}

static void check_kind(enum sim_sample_kind kind) {
    json_t *list = load_samples(kind), *sample;
    size_t i;
    if (!json_array_size(sim_samples(kind))) fail_msg("%s: nothing was written", sim_sample_names[kind]);
    json_array_foreach(sim_samples(kind), i, sample) {
        struct known_form known = known_form(list, variant_of(sample));
        check_form(sim_sample_names[kind], &known, sample);
        json_decref(known.allowed);
        json_decref(known.required);
    }
    json_decref(list);
}

/* Two of three controllers are upgraded at once, the third never is. */
static void written_beside_an_old_node(void **state) {
    (void)state;
    static const struct sim_size size = {3, 12, 14, 12, 3, 1000, 10000, 30000, 200, 20, 3};
    static const struct sim_fault faults[] = {
        {SIM_UPGRADE, 5000, NEVER_MS, 2},
        {SIM_KILL, 18000, 1, 2}, /* the old controller, which comes back old: a new one leads */
        {SIM_RESTART, 45000, 1, -1},
        {SIM_ZONE_PARTITION, 60000, 25000, -1},
        {SIM_MACHINE_HANG, 50000, 15000, -1},
    };
    if (!sim_is_production_available()) fail_msg("the production version is not in the repository's history");
    sim_recorder_start(false);
    for (uint64_t seed = 1; seed <= 3; seed++) {
        struct sim_result result = sim_run(&(struct sim_scenario){
            .size = &size,
            .seed = seed,
            .length = 160000,
            .load = SIM_LOAD_ALL_FIELDS | SIM_LOAD_ZONE_BOUND | SIM_LOAD_OVERLOAD,
            .faults = faults,
            .fault_count = ROWS(faults),
        });
        if (result.violation[0]) fail_msg("seed %llu: %s", (unsigned long long)seed, result.violation);
    }
    sim_recorder_stop();
    for (int kind = 0; kind < SIM_OTHER_RECORDS; kind++) check_kind((enum sim_sample_kind)kind);
    if (json_array_size(sim_samples(SIM_OTHER_RECORDS)))
        fail_msg("a record of a kind that the production version does not know: %s",
                 json_dumps(sim_samples(SIM_OTHER_RECORDS), 0));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup_teardown(job_records, setup, teardown),
        cmocka_unit_test_setup_teardown(placement_blocks, setup, teardown),
        cmocka_unit_test_setup_teardown(rental_requests, setup, teardown),
        cmocka_unit_test_setup_teardown(leader_keys, setup, teardown),
        cmocka_unit_test_setup_teardown(deputy_keys, setup, teardown),
        cmocka_unit_test_setup_teardown(messages, setup, teardown),
        cmocka_unit_test(written_beside_an_old_node),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
