#include "world.h"

#include "amberpin/codec/messages.h"
#include "amberpin/placement/wdrr.h"
#include "bare_node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Sizes of the simulated deployments: machines have 8 GPUs, of which about seven are in use. The last four
 * have the settings of "fleet", with more machines and proportionally more jobs. */
const struct world_size world_sizes[WORLD_SIZES] = {
    {"small", 3, 12, 6, 6, 100, 4, 14, 3, 1, 10, 30},
    {"grown", 7, 120, 60, 40, 600, 20, 14, 6, 1, 10, 30},
    {"fleet", 7, 600, 300, 120, 2000, 60, 14, 12, 4, 22, 42},
    {"machines-1000", 7, 1000, 500, 200, 3000, 100, 14, 12, 4, 22, 42},
    {"machines-2000", 7, 2000, 1000, 400, 6000, 200, 14, 12, 4, 22, 42},
    {"machines-4000", 7, 4000, 2000, 800, 12000, 400, 14, 12, 4, 22, 42},
    {"machines-8000", 7, 8000, 4000, 1600, 24000, 800, 14, 12, 4, 22, 42},
};

enum {
    GPUS_PER_MACHINE = 8,
    PAGE_ENTRIES = 200, /* the page size of amb_store_list */
    START_MS = 1000000, /* arbitrary: a monotonic clock may start at any value */
};
static const int64_t START_WALL_MS = 1700000000000;
static const double REQUESTS_PER_S = 200, WRITES_PER_S = 20, CLOUD_CALLS_PER_S = 3, VALUE_KB = 8;

/* ---- clock and network ---- */

amb_ms amb_now(void) {
    return START_MS;
}

int64_t amb_wall_ms(void) {
    return START_WALL_MS;
}

uint64_t amb_nonce(void) {
    static uint64_t count;
    return ++count << 12;
}

static struct world_server last_server;
static struct world_call last_call;
static int last_status;

/* The linker replaces the library's functions by these (--wrap). */
struct amb_http_server *__wrap_amb_server_open(const char *addr, int max, size_t body_max, amb_ms idle_ms,
                                               amb_http_handler fn, void *arg);
void __wrap_amb_server_set_max_input_bytes(struct amb_http_server *server, size_t bytes);
void __wrap_amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body,
                           size_t len, int retry_after_s);
struct amb_http_client_connection *__wrap_amb_http_call(const char *addr, const char *method,
                                                        const char *path, const char *type, const void *body,
                                                        size_t len, amb_ms timeout, amb_http_done fn,
                                                        void *arg);

struct amb_http_server *__wrap_amb_server_open(const char *addr, int max, size_t body_max, amb_ms idle_ms,
                                               amb_http_handler fn, void *arg) {
    (void)addr, (void)max, (void)body_max, (void)idle_ms;
    last_server = (struct world_server){fn, arg};
    return (struct amb_http_server *)&last_server;
}

void __wrap_amb_server_set_max_input_bytes(struct amb_http_server *server, size_t bytes) {
    (void)server, (void)bytes;
}

void __wrap_amb_http_reply(struct amb_http_req *request, int status, const char *type, const void *body,
                           size_t len, int retry_after_s) {
    (void)type, (void)body, (void)len, (void)retry_after_s;
    last_status = status;
    free(request->body);
    free(request);
}

struct amb_http_client_connection *__wrap_amb_http_call(const char *addr, const char *method,
                                                        const char *path, const char *type, const void *body,
                                                        size_t len, amb_ms timeout, amb_http_done fn,
                                                        void *arg) {
    (void)addr, (void)method, (void)path, (void)type, (void)body, (void)len, (void)timeout;
    last_call = (struct world_call){fn, arg};
    return NULL;
}

struct world_call world_last_call(void) {
    return last_call;
}

struct world_server world_last_server(void) {
    return last_server;
}

int world_last_status(void) {
    return last_status;
}

struct amb_http_req *world_request(const char *method, const char *path, const void *body, size_t len) {
    struct amb_http_req *request = amb_alloc(sizeof *request);
    request->connection =
        (struct amb_http_connection *)&last_server; /* not NULL: the client is still connected */
    strcpy(request->method, method);
    strcpy(request->path, path);
    request->body = amb_alloc(len + 1);
    memcpy(request->body, body, len);
    request->body_len = len;
    return request;
}

/* ---- names and specifications ---- */

static uint32_t job_count(const struct world_size *size) {
    return size->running_jobs + size->waiting_jobs + size->finished_jobs + size->cancelled_jobs;
}

static bool is_finished(const struct world_size *size, uint32_t job) {
    uint32_t open = size->running_jobs + size->waiting_jobs;
    return job >= open && job < open + size->finished_jobs;
}

static bool is_cancelled(const struct world_size *size, uint32_t job) {
    return job >= job_count(size) - size->cancelled_jobs;
}

void world_spec(struct amb_job_spec *spec, const struct world_size *size, uint32_t job) {
    static const enum amb_job_kind kinds[] = {AMB_JOB_KIND_ARRAY, AMB_JOB_KIND_GANG, AMB_JOB_KIND_SERVICE};
    memset(spec, 0, sizeof *spec);
    snprintf(spec->ref, sizeof spec->ref, "wk-%06u", job);
    spec->kind = kinds[job % 3];
    snprintf(spec->class_name, sizeof spec->class_name, "class-%u", job % 3);
    snprintf(spec->team, sizeof spec->team, "team-%u", job / 3 % 2);
    snprintf(spec->image, sizeof spec->image, "img-%02u", job % size->images);
    spec->image_gb = 10;
    spec->priority = spec->kind == AMB_JOB_KIND_SERVICE ? AMB_PRIORITY_PRODUCTION : AMB_PRIORITY_NORMAL;
    spec->task_count = size->tasks_per_job;
    spec->task_resources = (struct amb_resources){8, 1, 40};
    spec->estimated_runtime_s = spec->kind == AMB_JOB_KIND_SERVICE ? 0 : 120;
    spec->checkpoint_interval_s = spec->kind == AMB_JOB_KIND_SERVICE ? 0 : 30;
    spec->checkpoint_save_s = 4;
    spec->spread_zones = spec->kind == AMB_JOB_KIND_SERVICE;
    spec->spot_allowed = spec->kind != AMB_JOB_KIND_SERVICE;
    spec->allowed_type_count = 1;
    strcpy(spec->allowed_types[0], "g8");
}

static void machine_name(char out[AMB_NAME_SIZE], uint32_t machine) {
    snprintf(out, AMB_NAME_SIZE, "m-%06u", machine);
}

/* Assigns tasks to machines round-robin, so that the tasks of a job run on many machines. */
static uint32_t machine_of(const struct world_size *size, uint32_t job, uint32_t task) {
    return (job * size->tasks_per_job + task) % size->machines;
}

static const char *zone_of(uint32_t machine) {
    return machine % 2 ? "b" : "a";
}

/* ---- records ---- */

static void put_job_value(struct amb_buf *out, const struct world_size *size, uint32_t job) {
    struct amb_job_spec spec;
    world_spec(&spec, size, job);
    if (is_finished(size, job)) {
        amb_cbor_write_map(out, 2);
        amb_cbor_write_string(out, "s");
        amb_cbor_write_string(out, "done");
        amb_cbor_write_string(out, "n");
        amb_cbor_write_uint(out, spec.task_count);
        return;
    }
    bool cancelled = is_cancelled(size, job);
    amb_cbor_write_map(out, cancelled ? 4 : 3);
    amb_cbor_write_string(out, "s");
    amb_cbor_write_string(out, cancelled ? "cancelled" : "queued");
    if (cancelled) {
        amb_cbor_write_string(out, "c");
        amb_cbor_write_uint(out, (uint64_t)START_WALL_MS - 20000);
    }
    amb_cbor_write_string(out, "a");
    amb_cbor_write_uint(out, (uint64_t)START_WALL_MS - 60000);
    amb_cbor_write_string(out, "d");
    amb_codec_encode_spec(out, &spec);
}

static void put_placement_value(struct amb_buf *out, const struct world_size *size, uint32_t job) {
    struct amb_buf placed = {0};
    for (uint32_t task = 0; task < size->tasks_per_job; task++) {
        char name[AMB_NAME_SIZE];
        uint32_t machine = machine_of(size, job, task);
        machine_name(name, machine);
        amb_buf_append_format(&placed, "%u,%u,%s,0,%u,0;", task, 1, name, machine % 2);
    }
    amb_cbor_write_map(out, 7);
    amb_cbor_write_string(out, "at");
    amb_cbor_write_uint(out, (uint64_t)START_WALL_MS - 30000);
    amb_cbor_write_string(out, "w");
    amb_cbor_write_string(out, "41-1");
    amb_cbor_write_string(out, "n");
    amb_cbor_write_uint(out, 2);
    amb_cbor_write_string(out, "p");
    amb_cbor_write_text(out, placed.data, placed.len);
    amb_cbor_write_string(out, "d");
    amb_cbor_write_string(out, "");
    amb_cbor_write_string(out, "t");
    amb_cbor_write_list(out, 1);
    amb_cbor_write_string(out, "g8");
    amb_cbor_write_string(out, "z");
    amb_cbor_write_list(out, 2);
    amb_cbor_write_string(out, "a");
    amb_cbor_write_string(out, "b");
    amb_buf_free(&placed);
}

static void put_entry(struct amb_buf *out, const struct world_size *size, uint32_t job, bool placement) {
    char key[AMB_NAME_SIZE + 16];
    snprintf(key, sizeof key, placement ? "b/p/wk-%06u/00000" : "a/job/wk-%06u", job);
    amb_cbor_write_map(out, 3);
    amb_cbor_write_string(out, "path");
    amb_cbor_write_string(out, key);
    amb_cbor_write_string(out, "stamp");
    amb_cbor_write_uint(out, 100 + job);
    amb_cbor_write_string(out, "value");
    if (placement)
        put_placement_value(out, size, job);
    else
        put_job_value(out, size, job);
}

static struct world_pages list_pages(const struct world_size *size, uint32_t jobs, bool placements) {
    struct world_pages result = {0};
    result.count = (jobs + PAGE_ENTRIES - 1) / PAGE_ENTRIES;
    result.pages = amb_alloc(result.count * sizeof *result.pages);
    for (uint32_t job = 0; job < jobs; job++) {
        struct amb_buf *page = &result.pages[job / PAGE_ENTRIES];
        uint32_t left = jobs - job;
        if (job % PAGE_ENTRIES == 0) {
            amb_cbor_write_map(page, 3);
            amb_cbor_write_string(page, "epoch");
            amb_cbor_write_uint(page, 100 + jobs);
            amb_cbor_write_string(page, "truncated");
            amb_cbor_write_bool(page, left > PAGE_ENTRIES);
            amb_cbor_write_string(page, "pairs");
            amb_cbor_write_list(page, left < PAGE_ENTRIES ? left : PAGE_ENTRIES);
        }
        put_entry(page, size, job, placements);
    }
    return result;
}

struct world_pages world_job_pages(const struct world_size *size) {
    return list_pages(size, job_count(size), false);
}

struct world_pages world_placement_pages(const struct world_size *size) {
    return list_pages(size, size->running_jobs, true);
}

void world_pages_free(struct world_pages *pages) {
    for (size_t i = 0; i < pages->count; i++) amb_buf_free(&pages->pages[i]);
    free(pages->pages);
    memset(pages, 0, sizeof *pages);
}

static const char JOB_KEY_PREFIX[] = "a/job/";

static void apply_page(struct amb_node *node, const struct amb_buf *page, bool placements) {
    const struct amb_cbor_item *body = amb_cbor_parse(page->data, page->len);
    struct amb_cbor_cursor pairs = amb_cbor_list_begin(amb_cbor_map_get(body, "pairs"));
    const struct amb_cbor_item *pair;
    while ((pair = amb_cbor_next(&pairs)) != NULL) {
        char key[256];
        uint64_t stamp = 0;
        amb_cbor_copy_string(amb_cbor_map_get(pair, "path"), key, sizeof key);
        amb_cbor_get_uint(amb_cbor_map_get(pair, "stamp"), &stamp);
        if (placements)
            amb_placement_log_restore(node, key, amb_cbor_map_get(pair, "value"), stamp);
        else
            amb_jobs_apply_item(node, key + sizeof JOB_KEY_PREFIX - 1, amb_cbor_map_get(pair, "value"),
                                stamp);
    }
}

void world_apply_jobs(struct amb_node *node, const struct world_pages *pages) {
    for (size_t i = 0; i < pages->count; i++) apply_page(node, &pages->pages[i], false);
}

void world_apply_placements(struct amb_node *node, const struct world_pages *pages) {
    for (size_t i = 0; i < pages->count; i++) apply_page(node, &pages->pages[i], true);
}

/* ---- agent heartbeats ---- */

static uint32_t tasks_on(const struct world_size *size, uint32_t machine) {
    uint32_t all = size->running_jobs * size->tasks_per_job;
    return all / size->machines + (machine < all % size->machines);
}

static void put_long_uint(struct amb_buf *out,
                          uint64_t value) { /* always nine bytes, so that it can be overwritten in place */
    unsigned char bytes[9] = {0x1b};
    for (int i = 0; i < 8; i++) bytes[1 + i] = (unsigned char)(value >> (56 - 8 * i));
    amb_buf_append(out, bytes, sizeof bytes);
}

void world_put_heartbeat(struct amb_buf *body, const struct world_size *size, uint32_t machine, uint64_t seq,
                         size_t *seq_at) {
    char name[AMB_NAME_SIZE];
    machine_name(name, machine);
    amb_cbor_write_map(body, 10);
    amb_cbor_write_string(body, "rig");
    amb_cbor_write_string(body, name);
    amb_cbor_write_string(body, "address");
    amb_cbor_write_string(body, "127.0.0.1:1");
    amb_cbor_write_string(body, "hull");
    amb_cbor_write_string(body, "g8");
    amb_cbor_write_string(body, "yard");
    amb_cbor_write_string(body, zone_of(machine));
    amb_cbor_write_string(body, "driftwood");
    amb_cbor_write_bool(body, false);
    amb_cbor_write_string(body, "watch");
    amb_cbor_write_uint(body, 1);
    amb_cbor_write_string(body, "tally");
    if (seq_at) *seq_at = body->len + 1;
    put_long_uint(body, seq);
    amb_cbor_write_string(body, "baton");
    amb_cbor_write_uint(body, WORLD_TERM);
    amb_cbor_write_string(body, "recall_s");
    amb_cbor_write_null(body);
    amb_cbor_write_string(body, "legs");
    amb_cbor_write_list(body, tasks_on(size, machine));
    for (uint32_t i = machine; i < size->running_jobs * size->tasks_per_job; i += size->machines) {
        char task[AMB_NAME_SIZE];
        snprintf(task, sizeof task, "wk-%06u/%u", i / size->tasks_per_job, i % size->tasks_per_job);
        amb_cbor_write_map(body, 3);
        amb_cbor_write_string(body, "leg");
        amb_cbor_write_string(body, task);
        amb_cbor_write_string(body, "try");
        amb_cbor_write_uint(body, 1);
        amb_cbor_write_string(body, "stance");
        amb_cbor_write_string(body, "running");
    }
}

/* ---- controllers ---- */

static void put_settings(struct amb_settings *settings, const struct world_size *size, uint32_t member) {
    snprintf(settings->member, sizeof settings->member, "n%u", member);
    strcpy(settings->zone, "a");
    strcpy(settings->store_addr, "127.0.0.1:1");
    strcpy(settings->cloud_addr, "127.0.0.1:2");
    for (uint32_t i = 0; i < size->nodes; i++) {
        if (i == member) continue;
        struct amb_peer_address *peer = &settings->peers[settings->peer_count++];
        snprintf(peer->member, sizeof peer->member, "n%u", i);
        snprintf(peer->addr, sizeof peer->addr, "127.0.0.1:%u", 100 + i);
    }
    settings->team_count = 2;
    for (uint32_t team = 0; team < settings->team_count; team++) {
        snprintf(settings->teams[team].name, AMB_NAME_SIZE, "team-%u", team);
        settings->teams[team].guarantee.gpus = size->machines * GPUS_PER_MACHINE / 3.0;
        settings->teams[team].limit.gpus = size->machines * GPUS_PER_MACHINE;
    }
    settings->heartbeat_s = size->heartbeat_s;
    settings->agent_lease_s = size->lease_s;
    settings->cancel_s = size->cancel_s;
    settings->gang_wait_s = 20;
    settings->gang_peer_s = 5;
    settings->store_rps = REQUESTS_PER_S;
    settings->store_write_rps = WRITES_PER_S;
    settings->value_kb = VALUE_KB;
    settings->txn_ops = 8;
    settings->cloud_rps = CLOUD_CALLS_PER_S;
    settings->list_lag_s = 5;
    settings->cores = 0.1;
    settings->memory_mb = 40;
    settings->fd_limit = 500;
}

static void put_catalog(struct amb_catalog *catalog) {
    struct amb_machine_type *type = &catalog->types[0];
    catalog->type_count = 1;
    strcpy(type->name, "g8");
    type->resources = (struct amb_resources){96, GPUS_PER_MACHINE, 576};
    type->image_cache_gb = 200;
    type->image_fetch_gb_per_s = 5;
    type->hourly_price = 12;
    type->hourly_spot_price = 4.5;
    type->boot_s = 50;
    type->zone_count = 2;
    strcpy(type->zones[0], "a");
    strcpy(type->zones[1], "b");
    amb_catalog_find_or_add_zone(catalog, "a");
    amb_catalog_find_or_add_zone(catalog, "b");
}

struct amb_node *world_node(const struct world_size *size, uint32_t member) {
    struct amb_node *node = bare_node_new();
    put_settings(&node->settings, size, member);
    put_catalog(&node->catalog);
    node->cloud.catalog_known = true;
    node->controller.tick_interval_s = amb_settings_cycle_s(&node->settings);
    amb_store_init(&node->store, &node->settings, 1000);
    return node;
}

void world_make_leader(struct amb_node *node) {
    node->election.role = AMB_ROLE_LEADER;
    node->election.term = node->election.highest_term = WORLD_TERM;
    node->election.ttl = node->election.fence_after = 3600000;
    node->election.renewed_at = amb_now();
    amb_controller_start_leading(node);
}

/* Clears the marks of changes that a heartbeat to the peers has yet to report. */
static void clear_unreported_changes(struct amb_node *node) {
    for (struct amb_job *job = node->jobs.active; job; job = job->next_active) job->progress_changed = false;
    for (struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
        machine->images_changed = false;
}

struct amb_node *world_leader(const struct world_size *size) {
    struct amb_node *node = world_node(size, 0);
    struct world_pages jobs = world_job_pages(size), placements = world_placement_pages(size);
    world_apply_jobs(node, &jobs);
    world_make_leader(node);
    world_apply_placements(node, &placements);
    struct amb_job *job, *next;
    HASH_ITER(hh, node->jobs.all, job, next) {
        if (job->state == AMB_JOB_QUEUED) amb_job_activate(node, job);
    }
    node->watch.loaded = true;
    node->controller.restoring = false;
    node->controller.restored_at = amb_now();
    node->controller.ready = true;
    for (uint32_t machine = 0; machine < size->machines; machine++) {
        struct amb_buf body = {0};
        world_put_heartbeat(&body, size, machine, 1, NULL);
        amb_agent_handle_request(node, world_request("POST", "/hello", body.data, body.len));
        amb_buf_free(&body);
    }
    world_pages_free(&jobs);
    world_pages_free(&placements);
    clear_unreported_changes(node);
    return node;
}

void world_free(struct amb_node *node) {
    amb_controller_stop_leading(node, "the benchmark is over");
    bare_node_free(node);
}
