#include "leader_fixture.h"
#include "check.h"
#include "fake_clock.h"

enum { PEERS = 2, REQUESTS = 4096 };

static const char PEER_LISTEN[] = "peers:1";

static struct fake_reply replies[REQUESTS];
static size_t request_count;

/* ---- requests to the node, and its replies ---- */

static void clear_replies(void) {
    for (size_t i = 0; i < request_count; i++) amb_buf_free(&replies[i].body);
    request_count = 0;
}

struct amb_http_req *new_request(const char *method, const char *path, struct amb_buf *body) {
    assert_true(request_count < REQUESTS);
    struct amb_http_req *request = fake_request(method, path, body, &replies[request_count++]);
    if (body) amb_buf_free(body);
    return request;
}

struct fake_reply *latest_reply(void) {
    assert_true(request_count > 0);
    return &replies[request_count - 1];
}

size_t count_replies(void) {
    size_t count = 0;
    for (size_t i = 0; i < request_count; i++) count += replies[i].status != 0;
    return count;
}

const struct amb_cbor_item *latest_reply_body(void) {
    static const struct amb_cbor_item *map;
    map =
        latest_reply()->body.len ? amb_cbor_parse(latest_reply()->body.data, latest_reply()->body.len) : NULL;
    return map;
}

/* ---- requests sent by the node ---- */

struct fake_call *find_call(const char *method, const char *path) {
    return fake_call_find(NULL, method, path);
}

struct fake_call *open_call(const char *method, const char *path) {
    struct fake_call *call = find_call(method, path);
    if (!call) fail_msg("no open %s %s", method, path);
    return call;
}

/* ---- the node ---- */

int fixture_setup(void **state) {
    fake_http_reset();
    fake_clock_reset();
    clear_replies();
    setup(state);
    amb_ms now = amb_now();
    strcpy(node->settings.member, "n-0");
    strcpy(node->election.member, "n-0");
    strcpy(node->settings.zone, "a");
    strcpy(node->settings.store_addr, "state:1");
    strcpy(node->settings.cloud_addr, "cloud:1");
    strcpy(node->settings.peer_listen, PEER_LISTEN);
    strcpy(node->settings.teams[0].name, "t");
    node->settings.peer_count = PEERS;
    for (int i = 0; i < PEERS; i++) {
        snprintf(node->settings.peers[i].member, AMB_NAME_SIZE, "n-%d", i + 1);
        snprintf(node->settings.peers[i].addr, AMB_NAME_SIZE, "n-%d:1", i + 1);
    }
    node->settings.store_rps = node->settings.store_write_rps = 3000;
    node->settings.cloud_rps = 100;
    node->settings.list_lag_s = 5;
    amb_store_init(&node->store, &node->settings, 1000);
    amb_store_set_leadership(&node->store, true);
    node->cloud.call_budget.tokens = 100;
    node->cloud.catalog_requested_at = now;
    amb_catalog_find_or_add_zone(&node->catalog, "a");
    amb_catalog_find_or_add_zone(&node->catalog, "b");
    node->controller.tick_interval_s = 1;
    node->controller.leader_since = node->controller.restored_at = now;
    node->watch.loaded = true;
    node->watch.last_read_at = node->watch.last_read_sent_at = now;
    struct amb_election *election = &node->election;
    election->ttl = LEADER_TTL_MS;
    election->renewed_at = election->renewal_sent_at = now;
    election->highest_term = election->holder_revision = TERM;
    election->nonce = election->holder_nonce = 1;
    election->key_known = true;
    strcpy(election->holder, "n-0");
    return 0;
}

int fixture_teardown(void **state) {
    fake_answer_all_lost();
    fake_http_reset();
    fake_clock_reset();
    int result = teardown(state); /* which replies to deferred requests */
    clear_replies();
    return result;
}

void fixture_reset(void) {
    fixture_teardown(NULL);
    fixture_setup(NULL);
}

void follow_leader(const char *leader, uint64_t term) {
    struct amb_election *election = &node->election;
    election->role = AMB_ROLE_FOLLOWER;
    strcpy(election->holder, leader);
    election->holder_revision = election->highest_term = term;
}

/* ---- answers of the key-value store ---- */

void answer_committed(struct fake_call *call, uint64_t store_revision) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 1);
    amb_cbor_write_string(&buffer, "epoch");
    amb_cbor_write_uint(&buffer, store_revision);
    fake_answer(call, 200, &buffer);
}

void answer_lease(struct fake_call *call, uint64_t lease) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 1);
    amb_cbor_write_string(&buffer, "tenure");
    amb_cbor_write_uint(&buffer, lease);
    fake_answer(call, 200, &buffer);
}

void answer_conflict(struct fake_call *call, const char *key) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 1);
    amb_cbor_write_string(&buffer, "failed");
    amb_cbor_write_list(&buffer, 1);
    amb_cbor_write_string(&buffer, key);
    fake_answer(call, 409, &buffer);
}

void answer_value(struct fake_call *call, const char *field, const char *text, uint64_t number,
                  uint64_t revision) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 2);
    amb_cbor_write_string(&buffer, "value");
    amb_cbor_write_map(&buffer, 1);
    amb_cbor_write_string(&buffer, field);
    if (text)
        amb_cbor_write_string(&buffer, text);
    else
        amb_cbor_write_uint(&buffer, number);
    amb_cbor_write_string(&buffer, "stamp");
    amb_cbor_write_uint(&buffer, revision);
    fake_answer(call, 200, &buffer);
}

static void put_job_value(struct amb_buf *buffer, const char *ref, enum amb_job_state state) {
    struct amb_job_spec spec = {.kind = AMB_JOB_KIND_SERVICE,
                                .priority = AMB_PRIORITY_HIGH,
                                .task_count = 1,
                                .task_resources = {8, 1, 40}};
    struct amb_job draft = {.spec = &spec, .accepted_wall_ms = 1, .cancelled_wall_ms = amb_wall_ms()};
    strcpy(spec.ref, ref);
    strcpy(spec.class_name, "c");
    strcpy(spec.team, "t");
    strcpy(spec.image, "img");
    amb_job_encode_record(buffer, &draft, NULL, state);
}

void answer_change_list(struct fake_call *call, uint64_t store_revision, const char *ref,
                        enum amb_job_state state, uint64_t revision) {
    struct amb_buf buffer = {0};
    char key[AMB_NAME_SIZE + 16];
    amb_cbor_write_map(&buffer, 2);
    amb_cbor_write_string(&buffer, "epoch");
    amb_cbor_write_uint(&buffer, store_revision);
    amb_cbor_write_string(&buffer, "news");
    amb_cbor_write_list(&buffer, ref ? 1 : 0);
    if (ref) {
        amb_job_format_key(key, sizeof key, ref);
        amb_cbor_write_map(&buffer, 3);
        amb_cbor_write_string(&buffer, "put");
        amb_cbor_write_string(&buffer, key);
        amb_cbor_write_string(&buffer, "value");
        put_job_value(&buffer, ref, state);
        amb_cbor_write_string(&buffer, "stamp");
        amb_cbor_write_uint(&buffer, revision);
    }
    fake_answer(call, 200, &buffer);
}

/* ---- agents' heartbeats, over HTTP ---- */

static void write_task(struct amb_buf *buffer, const char *task, uint64_t attempt, const char *state) {
    amb_cbor_write_string(buffer, "leg"), amb_cbor_write_string(buffer, task);
    amb_cbor_write_string(buffer, "try"), amb_cbor_write_uint(buffer, attempt);
    amb_cbor_write_string(buffer, "stance"), amb_cbor_write_string(buffer, state);
}

static void write_tasks(struct amb_buf *buffer, const struct sent_heartbeat *heartbeat) {
    amb_cbor_write_string(buffer, "legs");
    amb_cbor_write_list(buffer, heartbeat->stopped_tasks + (heartbeat->task ? 1 : 0));
    if (heartbeat->task) {
        amb_cbor_write_map(buffer, 3);
        write_task(buffer, heartbeat->task, heartbeat->attempt, heartbeat->task_state);
    }
    for (uint32_t i = 0; i < heartbeat->stopped_tasks; i++) {
        char name[AMB_NAME_SIZE];
        snprintf(name, sizeof name, "wk-9/%u", i);
        amb_cbor_write_map(buffer, 4);
        write_task(buffer, name, 1, "exited");
        amb_cbor_write_string(buffer, "cause"), amb_cbor_write_string(buffer, "stopped");
    }
}

struct sent_heartbeat heartbeat_of_running_task(void) {
    return (struct sent_heartbeat){.machine = "m-1",
                                   .zone = "a",
                                   .incarnation = 1,
                                   .sequence = 1,
                                   .token = TERM,
                                   .task = "wk-1/0",
                                   .attempt = 1,
                                   .task_state = "running"};
}

struct amb_http_req *send_heartbeat(struct sent_heartbeat heartbeat) {
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 9);
    amb_cbor_write_string(&buffer, "rig"), amb_cbor_write_string(&buffer, heartbeat.machine);
    amb_cbor_write_string(&buffer, "address"), amb_cbor_write_string(&buffer, "worker:1");
    amb_cbor_write_string(&buffer, "hull"), amb_cbor_write_string(&buffer, "g8");
    amb_cbor_write_string(&buffer, "yard"),
        amb_cbor_write_string(&buffer, heartbeat.zone ? heartbeat.zone : "a");
    amb_cbor_write_string(&buffer, "driftwood"), amb_cbor_write_bool(&buffer, false);
    amb_cbor_write_string(&buffer, "watch"), amb_cbor_write_uint(&buffer, heartbeat.incarnation);
    amb_cbor_write_string(&buffer, "tally"), amb_cbor_write_uint(&buffer, heartbeat.sequence);
    amb_cbor_write_string(&buffer, "baton"), amb_cbor_write_uint(&buffer, heartbeat.token);
    write_tasks(&buffer, &heartbeat);
    struct amb_http_req *request = new_request("POST", "/hello", &buffer);
    assert_true(amb_agent_handle_request(node, request));
    return request;
}

size_t count_commands_in(const struct amb_cbor_item *body, const char *verb) {
    const struct amb_cbor_item *list = amb_cbor_map_get(body, "orders");
    size_t count = 0;
    for (size_t i = 0; i < amb_cbor_list_length(list); i++)
        count += amb_cbor_equals(amb_cbor_map_get(amb_cbor_list_item(list, i), "verb"), verb);
    return count;
}

size_t count_replied_commands(const char *verb) {
    return count_commands_in(latest_reply_body(), verb);
}

uint64_t replied_token(void) {
    uint64_t token = 0;
    amb_cbor_get_uint(amb_cbor_map_get(latest_reply_body(), "baton"), &token);
    return token;
}

/* ---- machines ---- */

struct amb_machine *machine_in(const char *name, int zone) {
    struct amb_machine *machine = amb_machine_get(node, name, true);
    machine->type_index = 0;
    machine->zone_index = zone;
    return machine;
}

struct amb_machine *machine_up(const char *name, int zone) {
    struct amb_machine *machine = machine_in(name, zone);
    machine->state = AMB_MACHINE_UP;
    machine->token_acknowledged = true;
    machine->last_heartbeat_at = machine->last_response_at = amb_now();
    strcpy(machine->address, "worker:1");
    return machine;
}

/* ---- peers ---- */

static struct amb_buf format_peer_message(int peer, struct peer_state state) {
    struct amb_buf buffer = {0};
    amb_buf_append_format(&buffer,
                          "{\"from\":\"n-%d\",\"loaded\":%s,\"term\":%llu,\"leading\":%s,\"store\":true,"
                          "\"reports_arrive\":false,\"cancelled\":[%s]}",
                          peer + 1, state.unloaded ? "false" : "true", (unsigned long long)state.term,
                          state.leading ? "true" : "false", state.cancelled ? state.cancelled : "");
    return buffer;
}

void answer_peer_heartbeat(int peer, struct peer_state state) {
    struct amb_buf buffer = format_peer_message(peer, state);
    fake_answer(fake_call_find(node->settings.peers[peer].addr, "POST", "/peer/heartbeat"), 200, &buffer);
}

void receive_peer_heartbeat(int peer, struct peer_state state) {
    struct amb_buf buffer = format_peer_message(peer, state);
    fake_serve(PEER_LISTEN, new_request("POST", "/peer/heartbeat", &buffer));
}

void start_peer_heartbeats(void) {
    amb_peer_start(node);
}

/* ---- records ---- */

struct fake_call *begin_block_write(void) {
    struct amb_job *job = add_active_job("wk-1", AMB_JOB_KIND_SERVICE, 1);
    job->revision = 20;
    job->blocks[0].revision = 33;
    machine_up("m-1", 0);
    struct amb_task *task = bind_task(job, 0, "m-1", 1);
    task->state = AMB_TASK_PLACED;
    amb_placement_block_mark_dirty(node, task, true);
    amb_placement_log_flush(node);
    return open_call("POST", "/commit");
}
