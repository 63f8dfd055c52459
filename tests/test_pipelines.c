/* Jobs that await others, at one node: the test plays the state service, the other nodes and the users by
 * scripts. A job is called by one letter. Steps are parted by blanks; after "=" comes the answer that is due:
 *
 *   +b:a=201q   a user submits job b, which awaits a; -a=200c cancels a; ?a=200q asks for it (the last
 * letter: queued, running, done, cancelled; "0": no answer yet) last=200d   the latest user's answer, which
 * had not come yet
 *   @+b:a       another node accepts it: it is on record, and not heard of here yet; @-a cancels, @!a ends it
 *   ~           the watch brings all news; ^a another node's heartbeat tells that a is cancelled
 *   out back    the state service refuses all calls, and no more; hold release: transactions are not answered
 * yet gone        the next read of changes is too old (410): all keys are listed again lead stop   this node
 * takes the lead and reads the records; or loses it !a          the leader has seen all tasks of a end; end:a
 * the same, and the write of it waits live=ab     the jobs in the leader's care; woken=1 a round is wanted
 */
#include "amberpin/plan.h"
#include "amberpin/round.h"
#include "amberpin/user_api.h"
#include "check.h"
#include "fake_clock.h"
#include "fake_http.h"
#include "json_cbor.h"
#include "node_fixture.h"

enum { LETTERS = 26, REPLIES = 64, TASKS = 2, FIRST_EPOCH = 100, VALUE_BYTES = 8192 };

static const char LEADER_KEY[] = "a/leader";

/* ---- the state service ---- */

static struct record {
    uint64_t stamp; /* 0: not there */
    struct amb_buf value;
} records[LETTERS];

static struct service {
    uint64_t epoch;
    bool out, held, gone, loses; /* loses: the next answer to a transaction */
} service;

static void forget_records(void) {
    for (size_t i = 0; i < LETTERS; i++) amb_buf_free(&records[i].value);
    memset(records, 0, sizeof records);
    service = (struct service){.epoch = FIRST_EPOCH};
}

static const char *job_name(char letter) {
    static char names[4][AMB_NAME];
    static size_t at;
    char *name = names[at++ % ROWS(names)];
    snprintf(name, AMB_NAME, "wk-%c", letter);
    return name;
}

/* The record of a key "a/job/wk-x"; NULL: another key. */
static struct record *record_of(const char *key) {
    static const char prefix[] = "a/job/wk-";
    if (strncmp(key, prefix, sizeof prefix - 1) != 0) return NULL;
    return &records[key[sizeof prefix - 1] - 'a'];
}

static char letter_of(const struct record *record) {
    return (char)('a' + (record - records));
}

static void put_change(struct amb_buf *b, const struct record *record, const char *key_field) {
    char key[AMB_NAME + 16];
    amb_job_key(key, sizeof key, job_name(letter_of(record)));
    amb_w_map(b, 3);
    amb_w_str(b, key_field);
    amb_w_str(b, key);
    amb_w_str(b, "value");
    amb_buf_add(b, record->value.data, record->value.len);
    amb_w_str(b, "stamp");
    amb_w_uint(b, record->stamp);
}

static void put_changes(struct amb_buf *b, uint64_t after, const char *key_field) {
    size_t count = 0;
    for (size_t i = 0; i < LETTERS; i++) count += records[i].stamp > after;
    amb_w_list(b, count);
    for (size_t i = 0; i < LETTERS; i++)
        if (records[i].stamp > after) put_change(b, &records[i], key_field);
}

static void answer_changes(struct fake_call *call) {
    struct amb_buf b = {0};
    const char *after = strstr(call->path, "after=");
    assert_non_null(after);
    amb_w_map(&b, 2);
    amb_w_str(&b, "epoch");
    amb_w_uint(&b, service.epoch);
    amb_w_str(&b, "news");
    put_changes(&b, strtoull(after + 6, NULL, 10), "put");
    fake_answer(call, 200, &b);
}

static void answer_listing(struct fake_call *call, bool jobs) {
    struct amb_buf b = {0};
    amb_w_map(&b, 3);
    amb_w_str(&b, "epoch");
    amb_w_uint(&b, service.epoch);
    amb_w_str(&b, "truncated");
    amb_w_bool(&b, false);
    amb_w_str(&b, "pairs");
    put_changes(&b, jobs ? 0 : UINT64_MAX, "path");
    fake_answer(call, 200, &b);
}

static bool guards_hold(const struct fake_call *call) {
    const cbor_item_t *guards = amb_cbor_get(call->map, "guards");
    for (size_t i = 0; i < amb_cbor_len(guards); i++) {
        char key[128];
        uint64_t stamp = 0;
        amb_cbor_str(amb_cbor_get(amb_cbor_at(guards, i), "path"), key, sizeof key);
        amb_cbor_uint(amb_cbor_get(amb_cbor_at(guards, i), "stamp"), &stamp);
        const struct record *record = record_of(key);
        if (record ? record->stamp != stamp : !strcmp(key, LEADER_KEY) && stamp != TERM) return false;
    }
    return true;
}

static void carry_out(struct fake_call *call) {
    struct amb_buf b = {0};
    bool holds = guards_hold(call);
    const cbor_item_t *changes = amb_cbor_get(call->map, "then");
    service.epoch += holds;
    for (size_t i = 0; holds && i < amb_cbor_len(changes); i++) {
        char key[128];
        const cbor_item_t *change = amb_cbor_at(changes, i);
        if (!amb_cbor_str(amb_cbor_get(change, "put"), key, sizeof key)) continue;
        struct record *record = record_of(key);
        if (!record) continue;
        unsigned char bytes[VALUE_BYTES];
        size_t len = cbor_serialize(amb_cbor_get(change, "value"), bytes, sizeof bytes);
        assert_true(len > 0);
        amb_buf_free(&record->value);
        amb_buf_add(&record->value, bytes, len);
        record->stamp = service.epoch;
    }
    amb_w_map(&b, holds ? 1 : 2);
    amb_w_str(&b, "epoch");
    amb_w_uint(&b, service.epoch);
    if (!holds) {
        amb_w_str(&b, "failed");
        amb_w_list(&b, 0);
    }
    bool lost = service.loses;
    service.loses = false;
    fake_answer(call, lost ? 0 : holds ? 200 : 409, &b);
}

static bool is_watch(const struct fake_call *call) {
    return !strstr(call->path, "wait_ms=0");
}

/* The oldest read of changes, a watch or one that is answered at once. */
static struct fake_call *find_follow(bool watch) {
    static struct fake_call *kept[FAKE_CALLS];
    size_t nkept = 0;
    struct fake_call *call;
    while ((call = fake_call_open("/follow")) && is_watch(call) != watch) {
        call->answered = true;
        kept[nkept++] = call;
    }
    while (nkept) kept[--nkept]->answered = false;
    return call;
}

static bool serve_one(void) {
    struct fake_call *call = find_follow(false);
    if (call && service.gone && !service.out) {
        service.gone = false;
        fake_answer(call, 410, NULL);
        return true;
    }
    bool changes = call != NULL;
    if (!call) call = fake_call_open("/store?prefix=a/");
    bool jobs = call && !changes;
    if (!call) call = fake_call_open("/store?prefix=b/");
    bool commit = !call && !service.held;
    if (commit) call = fake_call_open("/commit");
    if (!call) return false;
    if (service.out)
        fake_answer(call, 503, NULL);
    else if (changes)
        answer_changes(call);
    else if (commit)
        carry_out(call);
    else
        answer_listing(call, jobs);
    return true;
}

/* Lets the node go on until the state service has nothing more to answer. */
static void settle(void) {
    for (int i = 0; i < 20; i++) {
        while (serve_one()) {}
        node->election.renewed_at = amb_now();
        fake_clock_advance(20);
    }
}

/* ---- users and other nodes ---- */

static struct fake_reply replies[REPLIES];
static size_t nreplies;

static char submission_text[2048];

/* A submission of the job, as JSON. */
static const char *describe(char letter, const char *awaits, const char *shape) {
    char names[256] = "";
    for (size_t len = 0; awaits && *awaits && len < sizeof names - 16; awaits++)
        len +=
            (size_t)snprintf(names + len, sizeof names - len, "%s\"%s\"", len ? "," : "", job_name(*awaits));
    snprintf(submission_text, sizeof submission_text,
             "{\"ref\":\"%s\",\"berth\":\"stage\",\"crew\":\"vision\",\"shape\":\"%s\",\"rank\":\"normal\","
             "\"legs\":%d,\"vcpus\":1.0,\"accelerators\":0.0,\"ram_gb\":4.0,\"cask\":\"img\",\"size_gb\":1.0,"
             "\"one_zone\":false,\"scatter\":false,\"driftwood\":true,\"reckon_s\":20.0,\"mark_s\":0.0,"
             "\"stow_s\":0.0%s%s%s}",
             job_name(letter), shape, TASKS, *names ? ",\"awaits\":[" : "", names, *names ? "]" : "");
    return submission_text;
}

static void request(const char *method, const char *path, struct amb_buf *body) {
    assert_true(nreplies < REPLIES);
    assert_true(amb_user_request(node, fake_request(method, path, body, &replies[nreplies++])));
    if (body) amb_buf_free(body);
    settle();
}

static void submit_text(const char *text) {
    struct amb_buf body = cbor_from_text("%s", text);
    request("POST", "/v1/jobs", &body);
}

static void ask(char letter, bool cancel) {
    char path[AMB_NAME + 32];
    snprintf(path, sizeof path, "/v1/jobs/%s%s", job_name(letter), cancel ? "/cancel" : "");
    request(cancel ? "POST" : "GET", path, NULL);
}

/* The latest user's answer as scripts write it. */
static const char *answer(void) {
    static char text[16];
    const struct fake_reply *reply = &replies[nreplies - 1];
    cbor_item_t *body = reply->body.len ? amb_cbor_parse(reply->body.data, reply->body.len) : NULL;
    char stance[16] = "";
    amb_cbor_str(amb_cbor_get(body, "stance"), stance, sizeof stance);
    if (body) cbor_decref(&body);
    snprintf(text, sizeof text, "%d%.1s", reply->status, stance);
    return text;
}

/* Another node writes the job's record. */
static void write_elsewhere(char letter, const char *state, const char *awaits) {
    struct record *record = &records[letter - 'a'];
    static char awaited[LETTERS][16];
    if (awaits) snprintf(awaited[letter - 'a'], sizeof awaited[0], "%s", awaits);
    amb_buf_free(&record->value);
    record->stamp = ++service.epoch;
    if (!strcmp(state, "done"))
        record->value = cbor_from_text("{\"s\":\"done\",\"n\":%d}", TASKS);
    else
        record->value =
            cbor_from_text("{\"s\":\"%s\",\"a\":%lld,\"c\":%lld,\"d\":%s}", state, (long long)amb_wall_ms(),
                           (long long)amb_wall_ms(), describe(letter, awaited[letter - 'a'], "batch"));
}

static void hear_news(void) {
    struct fake_call *call = find_follow(true);
    if (call)
        answer_changes(call);
    else
        fail_msg("no watch is open");
    settle();
}

static void hear_hint(char letter) {
    amb_job_cancel_hint(node, job_name(letter), amb_wall_ms(), records[letter - 'a'].stamp);
}

/* ---- the node ---- */

static int begin(void **state) {
    fake_http_reset();
    fake_clock_reset();
    forget_records();
    setup(state);
    node->election.role = AMB_ROLE_FOLLOWING;
    node->ctl.ready = false;
    node->ctl.loaded_at = 0;
    strcpy(node->set.member, "n-0");
    strcpy(node->set.state, "state:1");
    strcpy(node->set.front, "front:1");
    strcpy(node->set.peer_listen, "peers:1");
    strcpy(node->set.teams[0].name, "vision");
    node->set.state_rps = node->set.state_write_rps = 3000;
    node->set.cloud_rps = 100;
    node->catalog.types[0].nzones = 1;
    strcpy(node->catalog.types[0].zones[0], "a");
    amb_catalog_zone(&node->catalog, "a");
    char err[128];
    assert_int_equal(amb_node_start(node, err, sizeof err), 0);
    settle();
    assert_true(node->jobs.loaded);
    return 0;
}

static int end(void **state) {
    fake_answer_all_lost();
    fake_http_reset();
    fake_clock_reset();
    for (size_t i = 0; i < nreplies; i++) amb_buf_free(&replies[i].body);
    nreplies = 0;
    forget_records();
    return teardown(state);
}

static void anew(void) {
    end(NULL);
    begin(NULL);
}

static void lead(void) {
    node->election.role = AMB_ROLE_LEADING;
    node->election.term = node->election.highest = TERM;
    node->election.ttl = 3600000;
    node->election.fence_after = 3600000;
    node->election.renewed_at = amb_now();
    amb_controller_lead(node);
    settle();
    if (!service.out && !node->ctl.loaded_at) fail_msg("the records are not read");
}

static void stop(void) {
    amb_controller_stop(node, "test");
    node->election.role = AMB_ROLE_FOLLOWING;
}

static void finish_tasks(char letter) {
    struct amb_job *job = amb_job_find(node, job_name(letter));
    assert_true(job && job->live);
    for (uint32_t i = 0; i < job->spec->tasks; i++) amb_task_finish(node, &job->tasks[i]);
    amb_record_pump(node);
    settle();
}

static const char *live_jobs(void) {
    static char text[LETTERS + 1];
    size_t len = 0;
    for (size_t i = 0; i < LETTERS; i++) {
        char letter = letter_of(&records[i]);
        const struct amb_job *job = amb_job_find(node, job_name(letter));
        if (job && job->live && job->state == AMB_JOB_QUEUED) text[len++] = letter;
    }
    text[len] = 0;
    return text;
}

/* ---- scripts ---- */

static void play_elsewhere(const char *step) {
    char letter = step[1];
    if (*step == '+')
        write_elsewhere(letter, "queued", step[2] == ':' ? step + 3 : "");
    else
        write_elsewhere(letter, *step == '!' ? "done" : "cancelled", NULL);
}

static bool play_word(const char *step) {
    if (!strcmp(step, "~")) {
        hear_news();
    } else if (!strcmp(step, "out") || !strcmp(step, "back")) {
        service.out = *step == 'o';
    } else if (!strcmp(step, "hold") || !strcmp(step, "release")) {
        service.held = *step == 'h';
        settle();
    } else if (!strcmp(step, "gone")) {
        service.gone = true;
    } else if (!strcmp(step, "lose")) {
        service.loses = true;
    } else if (!strcmp(step, "lead")) {
        lead();
    } else if (!strcmp(step, "stop")) {
        stop();
    } else {
        return false;
    }
    return true;
}

/* One step without what is due after it; what it shows. */
static const char *play_step(const char *step) {
    if (play_word(step)) return NULL;
    if (!strcmp(step, "live")) return live_jobs();
    if (!strcmp(step, "last")) return answer();
    if (*step == '@') {
        play_elsewhere(step + 1);
        return NULL;
    }
    if (*step == '^') {
        hear_hint(step[1]);
        return NULL;
    }
    if (*step == '!') {
        finish_tasks(step[1]);
        return NULL;
    }
    if (*step == '+')
        submit_text(describe(step[1], step[2] == ':' ? step + 3 : "", "batch"));
    else if (*step == '-' || *step == '?')
        ask(step[1], *step == '-');
    else
        fail_msg("no such step: %s", step);
    return answer();
}

static void play(const char *what, const char *script) {
    char text[512], *rest = text;
    assert_true(strlen(script) < sizeof text);
    strcpy(text, script);
    for (char *step; (step = strtok_r(rest, " ", &rest));) {
        char whole[64];
        snprintf(whole, sizeof whole, "%s", step);
        char *due = strchr(step, '=');
        if (due) *due++ = 0;
        const char *seen = play_step(step);
        if (due && strcmp(seen ? seen : "", due) != 0)
            fail_msg("%s: %s: %s where %s was due", what, script, seen ? seen : "nothing", whole);
    }
}

struct scene {
    const char *what, *script;
};

static void play_all(const struct scene *scenes, size_t count) {
    for (size_t i = 0; i < count; i++) {
        anew();
        play(scenes[i].what, scenes[i].script);
    }
}

/* ---- the tests ---- */

static void submissions(void **state) {
    (void)state;
    static const struct scene scenes[] = {
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
    play_all(scenes, ROWS(scenes));
}

static void cancellations(void **state) {
    (void)state;
    static const struct scene scenes[] = {
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
    play_all(scenes, ROWS(scenes));
}

static void the_leader_waits(void **state) {
    (void)state;
    static const struct scene scenes[] = {
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
    play_all(scenes, ROWS(scenes));
}

/* The answer to the write of the end is all that a round waits for. */
static void a_round_follows_at_once(void **state) {
    (void)state;
    lead();
    play("setup", "+a +b:a hold !a live=a");
    node->ctl.round_wanted = false;
    service.held = false;
    while (serve_one()) {}
    assert_string_equal(live_jobs(), "b");
    assert_true(node->ctl.round_wanted);
}

/* Jobs are taken up when room comes for them: not those that wait for others. */
static void jobs_left_out_wait_too(void **state) {
    (void)state;
    lead();
    uint32_t bound = (uint32_t)(node->set.memory_mb * 1024 * 1024 / 3 / sizeof(struct amb_task));
    play("room", "+a +b:a +c live=ac");
    amb_job_find(node, "wk-c")->spec->tasks = bound;
    amb_job_leave(node, amb_job_find(node, "wk-c"));
    amb_job_leave(node, amb_job_find(node, "wk-a"));
    node->jobs.task_count = 0;
    amb_job_take(node, amb_job_find(node, "wk-c"));
    play("no room", "+d live=c");
    assert_true(node->jobs.left_out);
    amb_job_leave(node, amb_job_find(node, "wk-c"));
    amb_jobs_take_left_out(node);
    amb_job_find(node, "wk-c")->spec->tasks = TASKS;
    if (amb_job_find(node, "wk-b")->live) fail_msg("a job that awaits another is taken up");
    assert_true(amb_job_find(node, "wk-a")->live || amb_job_find(node, "wk-d")->live);
}

/* Records of placements of a job that waits (an old leader's, which knows nothing of waiting) keep their
 * places, but no more of it is started. */
static void placed_by_a_leader_that_does_not_wait(void **state) {
    (void)state;
    lead();
    play("setup", "+a +b:a");
    struct amb_job *job = amb_job_find(node, "wk-b");
    struct amb_buf b =
        cbor_from_text("{\"n\":2,\"p\":\"0,1,m-1,0,0,0;\",\"d\":\"\",\"t\":[\"g8\"],\"z\":[\"a\"]}");
    cbor_item_t *value = amb_cbor_parse(b.data, b.len);
    amb_record_load(node, "b/p/wk-b/00000", value, 60);
    cbor_decref(&value);
    amb_buf_free(&b);
    assert_true(job->live);
    assert_int_equal(job->nbound, 1);
    struct amb_round *round = amb_round_new(node, amb_now());
    if (amb_round_wants_start(round, job)) fail_msg("it is started while it waits");
    amb_round_free(round);
    finish_tasks('a');
    round = amb_round_new(node, amb_now());
    assert_true(amb_round_wants_start(round, job));
    amb_round_free(round);
}

/* What is malformed and what is not, in the list itself. */
static void awaits_as_users_write_them(void **state) {
    (void)state;
    static const struct {
        const char *awaits; /* NULL: left out */
        int status;
        uint32_t count;
    } rows[] = {
        {NULL, 201, 0},
        {"null", 201, 0},
        {"[]", 201, 0},
        {"[\"wk-a\"]", 201, 1},
        {"[\"wk-a\",\"wk-a\"]", 201, 1},
        {"[\"wk-c\",\"wk-a\",\"wk-c\",\"wk-a\"]", 201, 2},
        {"\"wk-a\"", 400, 0},
        {"7", 400, 0},
        {"true", 400, 0},
        {"false", 400, 0},
        {"{}", 400, 0},
        {"{\"wk-a\":1}", 400, 0},
        {"[7]", 400, 0},
        {"[null]", 400, 0},
        {"[\"wk-a\",null]", 400, 0},
        {"[[\"wk-a\"]]", 400, 0},
        {"[\"\"]", 400, 0},
        {"[\"wk-\"]", 400, 0},
        {"[\"a\"]", 400, 0},
        {"[\"wk-a/0\"]", 400, 0},
        {"[\"wk-a b\"]", 400, 0},
        {"[\"wk-012345678901234567890123456789012345678901234\"]", 422, 0},  /* 48 letters: a name */
        {"[\"wk-0123456789012345678901234567890123456789012345\"]", 400, 0}, /* 49 */
        {"[\"wk-z\"]", 422, 0},
        {"[\"wk-a\",\"wk-z\"]", 422, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew();
        play("setup", "+a=201q +c=201q");
        json_t *job = json_loads(describe('b', NULL, "batch"), 0, NULL);
        if (rows[i].awaits)
            json_object_set_new(job, "awaits", json_loads(rows[i].awaits, JSON_DECODE_ANY, NULL));
        struct amb_buf body = {0};
        cbor_from_json(&body, job);
        json_decref(job);
        request("POST", "/v1/jobs", &body);
        const struct amb_job *known = amb_job_find(node, "wk-b");
        uint32_t count = known && known->awaits ? known->awaits->count : 0;
        if (replies[nreplies - 1].status != rows[i].status || count != rows[i].count)
            fail_msg("%s: %s, %u names", rows[i].awaits ? rows[i].awaits : "left out", answer(), count);
    }
}

/* News of a job that is done. */
static void know_done(const char *name, uint64_t stamp) {
    struct amb_buf value = cbor_from_text("{\"s\":\"done\",\"n\":1}");
    cbor_item_t *item = amb_cbor_parse(value.data, value.len);
    amb_jobs_apply(node, name, item, stamp);
    cbor_decref(&item);
    amb_buf_free(&value);
}

/* A list that a record can't hold with the rest is refused, whatever it names; in every record that is
 * written the value stays below the limit. */
static void long_lists(void **state) {
    (void)state;
    static const struct {
        double value_kb, next_kb; /* the limit now, and as announced (0: not) */
        uint32_t names;           /* of 12 bytes each, with quotes and comma */
        int status;
    } rows[] = {{2, 0, 85, 201}, {2, 0, 86, 422}, {8, 0, 341, 201}, {8, 0, 342, 422}, {8, 2, 85, 201},
                {8, 2, 86, 422}, {2, 8, 85, 201}, {2, 8, 86, 422},  {8, 0, 4000, 422}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew();
        node->set.value_kb = rows[i].value_kb;
        node->set.state_next.value_kb = rows[i].next_kb;
        double least_kb = amb_settings_lowered_limits(&node->set).value_kb;
        json_t *job = json_loads(describe('b', NULL, "batch"), 0, NULL), *list = json_array();
        for (uint32_t k = 0; k < rows[i].names; k++) {
            char name[AMB_NAME];
            snprintf(name, sizeof name, "wk-%06u", k);
            know_done(name, 10 + k);
            json_array_append_new(list, json_string(name));
        }
        json_object_set_new(job, "awaits", list);
        char *text = json_dumps(job, JSON_COMPACT);
        if (rows[i].status == 201) assert_true((double)strlen(text) + 100 < least_kb * 1024);
        free(text);
        struct amb_buf body = {0};
        cbor_from_json(&body, job);
        json_decref(job);
        request("POST", "/v1/jobs", &body);
        if (replies[nreplies - 1].status != rows[i].status)
            fail_msg("%u names in %g KiB: %s", rows[i].names, rows[i].value_kb, answer());
    }
}

/* Each part may be within its own bound while the whole is not: such a job could neither be written nor
 * cancelled, and its user would be told to come back for ever. */
static void large_descriptions(void **state) {
    (void)state;
    static const struct {
        double value_kb, next_kb;
        uint32_t types, names; /* of 63 and 9 letters */
        int status;
    } rows[] = {{2, 0, 16, 0, 201},   {2, 0, 0, 60, 201},   {2, 0, 16, 60, 422}, {2, 0, 16, 16, 201},
                {16, 0, 16, 60, 201}, {16, 2, 16, 60, 422}, {16, 2, 16, 16, 201}};
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew();
        node->set.value_kb = rows[i].value_kb;
        node->set.state_next.value_kb = rows[i].next_kb;
        json_t *job = json_loads(describe('b', NULL, "batch"), 0, NULL);
        json_t *types = json_array(), *names = json_array();
        json_array_append_new(types, json_string(node->catalog.types[0].name));
        for (uint32_t k = 1; k < rows[i].types; k++)
            json_array_append_new(types, json_sprintf("%058u-%04u", 0, k));
        for (uint32_t k = 0; k < rows[i].names; k++) {
            char name[AMB_NAME];
            snprintf(name, sizeof name, "wk-%06u", k);
            know_done(name, 10 + k);
            json_array_append_new(names, json_string(name));
        }
        if (rows[i].types) json_object_set(job, "hulls", types);
        if (rows[i].names) json_object_set(job, "awaits", names);
        json_decref(types);
        json_decref(names);
        struct amb_buf body = {0};
        cbor_from_json(&body, job);
        json_decref(job);
        request("POST", "/v1/jobs", &body);
        if (replies[nreplies - 1].status != rows[i].status)
            fail_msg("%u types and %u names in %g KiB: %s", rows[i].types, rows[i].names, rows[i].value_kb,
                     answer());
    }
}

/* Nodes of the version before would start a job at once if they led: none that awaits others is accepted
 * while one is known to serve. */
static void not_beside_an_old_node(void **state) {
    (void)state;
    static const struct {
        const char *what;
        enum amb_format last_word, written;
        const char *script;
    } rows[] = {
        {"not heard of yet", AMB_FORMAT_UNKNOWN, AMB_FORMAT_UNKNOWN, "+a=201q +b:a=201q"},
        {"old", AMB_FORMAT_1, AMB_FORMAT_UNKNOWN, "+a=201q +b:a=503 +b=201q"},
        {"old, and the name unknown", AMB_FORMAT_1, AMB_FORMAT_UNKNOWN, "+b:a=503"},
        {"old, and the job known", AMB_FORMAT_1, AMB_FORMAT_UNKNOWN, "@+a @+b:a ~ +b:a=200q"},
        {"new", AMB_FORMAT_2, AMB_FORMAT_UNKNOWN, "+a=201q +b:a=201q"},
        {"a late word of an old one", AMB_FORMAT_1, AMB_FORMAT_2, "+a=201q +b:a=201q"},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew();
        node->peers.count = 1;
        node->peers.list[0].node = node;
        node->peers.list[0].format = rows[i].last_word;
        node->formats.written = rows[i].written;
        play(rows[i].what, rows[i].script);
    }
}

/* A service is never done, so nothing can await it; what awaits a cancelled one is cancelled. */
static void services_are_not_awaited(void **state) {
    (void)state;
    submit_text(describe('a', NULL, "daemon"));
    assert_string_equal(answer(), "201q");
    play("while it runs", "+b:a=422 +b=201q -a=200c +c:a=201c");
}

/* The description that a cancellation writes again still names what the job awaits; the end drops both. */
static void records_keep_the_names(void **state) {
    (void)state;
    static const struct {
        const char *script;
        bool described;
        uint32_t names;
    } rows[] = {
        {"+a +c +b:ac", true, 2},
        {"+a +c +b:ac -b=200c", true, 2},
        {"lead +a +b:a !a !b", false, 0},
        {"+b -b", true, 0},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew();
        play("record", rows[i].script);
        const struct record *record = &records['b' - 'a'];
        cbor_item_t *value = amb_cbor_parse(record->value.data, record->value.len);
        const cbor_item_t *described = amb_cbor_get(value, "d");
        struct amb_spec spec;
        if ((described != NULL) != rows[i].described) fail_msg("%s: described", rows[i].script);
        if (described) assert_int_equal(amb_codec_spec(described, &spec), AMB_PARSE_OK);
        if (amb_cbor_len(amb_cbor_get(described, "awaits")) != rows[i].names)
            fail_msg("%s: names", rows[i].script);
        cbor_decref(&value);
    }
}

/* A record whose list can't be read is no job that awaits none. */
static void unreadable_records_never_start(void **state) {
    (void)state;
    lead();
    json_t *job = json_loads(describe('b', NULL, "batch"), 0, NULL);
    json_object_set_new(job, "awaits", json_string("wk-a"));
    char *text = json_dumps(job, 0);
    struct record *record = &records['b' - 'a'];
    record->value = cbor_from_text("{\"s\":\"queued\",\"a\":1,\"d\":%s}", text);
    record->stamp = ++service.epoch;
    free(text);
    json_decref(job);
    play("unreadable", "~ live= ?b=200q -b=200c");
}

/* Derived cancellations are told to other nodes with the stamp and the time of what they follow from. */
static void heartbeats_tell_of_derived_ones(void **state) {
    (void)state;
    play("setup", "@+a @+b:a @+c:b @-a ~");
    const struct amb_job *head = amb_job_find(node, "wk-a"), *last = amb_job_find(node, "wk-c");
    assert_int_equal(last->cancel_stamp, records[0].stamp);
    assert_int_equal(last->cancelled_wall, head->cancelled_wall);
    json_t *question = json_pack("{s:I}", "epoch", (json_int_t)(records[0].stamp - 1));
    json_t *told = amb_peer_answer(node, question);
    assert_int_equal(json_array_size(json_object_get(told, "cancelled")), 3);
    json_decref(told);
    json_object_set_new(question, "epoch", json_integer((json_int_t)records[0].stamp));
    told = amb_peer_answer(node, question);
    assert_int_equal(json_array_size(json_object_get(told, "cancelled")), 0);
    json_decref(told);
    json_decref(question);
}

/* ---- order ---- */

static struct amb_job *job_from(const char *ref, const char *rank, double due_s, double reckon_s, int age_s,
                                const char *awaits, uint64_t stamp) {
    struct amb_buf b = cbor_from_text(
        "{\"s\":\"queued\",\"a\":%lld,\"d\":{\"ref\":\"%s\",\"berth\":\"stage\",\"crew\":\"vision\","
        "\"shape\":\"batch\",\"rank\":\"%s\",\"legs\":1,\"vcpus\":1.0,\"accelerators\":0.0,\"ram_gb\":4.0,"
        "\"cask\":\"img\",\"size_gb\":1.0,\"one_zone\":false,\"scatter\":false,\"driftwood\":true,"
        "\"reckon_s\":%f,\"mark_s\":0.0,\"stow_s\":0.0,\"due_s\":%f,\"awaits\":[%s]}}",
        (long long)amb_wall_ms() - age_s * 1000LL, ref, rank, reckon_s, due_s, awaits);
    cbor_item_t *value = amb_cbor_parse(b.data, b.len);
    amb_jobs_apply(node, ref, value, stamp);
    cbor_decref(&value);
    amb_buf_free(&b);
    return amb_job_find(node, ref);
}

/* The order of a team's line: by the priority of what needs a job; then by age, or sooner if the due time is
 * so near that the stages still to come would miss it. */
static void order_in_a_line(void **state) {
    (void)state;
    static const struct {
        const char *what, *last_rank;
        double due_s, reckon_s; /* of the last stage */
        int age_s;              /* of the pipeline */
        const char *other_rank;
        int other_age_s;
        bool before; /* the pipeline's first stage goes before the other job */
    } rows[] = {
        {"older", "best_effort", 0, 10, 20, "best_effort", 10, true},
        {"younger", "best_effort", 0, 10, 10, "best_effort", 20, false},
        {"younger, but for a higher priority", "high", 0, 10, 10, "normal", 20, true},
        {"younger, for a higher priority that has time", "high", 600, 10, 10, "normal", 20, false},
        {"older, for a higher priority that has time", "high", 600, 10, 20, "normal", 10, false},
        {"younger, for a higher priority that is late", "high", 30, 10, 10, "normal", 20, true},
        {"older, but of a lower priority", "normal", 0, 10, 20, "high", 10, false},
        {"younger, with time", "normal", 600, 10, 10, "normal", 20, false},
        {"younger, and late", "normal", 30, 10, 10, "normal", 20, true}, /* 30 s less 1.5 x 20 s and 10 s */
        {"younger, and late by the work still to come", "normal", 100, 80, 10, "normal", 20, true},
        {"younger, and just not late", "normal", 100, 20, 10, "normal", 20, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew();
        lead();
        struct amb_job *first = job_from("wk-first", "best_effort", 0, 20, rows[i].age_s, "", 201);
        job_from("wk-second", "best_effort", 0, 0, rows[i].age_s, "\"wk-first\"", 202);
        job_from("wk-third", rows[i].last_rank, rows[i].due_s, rows[i].reckon_s, rows[i].age_s,
                 "\"wk-second\"", 203);
        job_from("wk-other", rows[i].other_rank, 0, 10, rows[i].other_age_s, "", 204);
        struct amb_round *round = amb_round_new(node, amb_now());
        assert_int_equal(round->njobs, 2);
        if ((round->jobs[0] == first) != rows[i].before) fail_msg("%s", rows[i].what);
        amb_round_free(round);
    }
}

/* Waiting times of a stage count from the end of the last that it awaited; its due time from submission. */
static void waiting_counts_from_the_last_end(void **state) {
    (void)state;
    lead();
    play("setup", "+a +b:a +c");
    struct amb_job *stage = amb_job_find(node, "wk-b"), *other = amb_job_find(node, "wk-c");
    int64_t submitted = stage->accepted_wall;
    fake_clock_advance(20000);
    play("the first is done", "!a live=bc");
    assert_true(amb_job_ready_wall(stage) >= submitted + 20000);
    assert_true(amb_job_order_wall(stage) >= submitted + 20000);
    assert_int_equal(amb_job_ready_wall(other), other->accepted_wall);
    stage->spec->deadline_s = 100;
    assert_int_equal(amb_job_due_wall(stage), submitted + 100000);
    /* In time: from the end of the first for an aim, from the submission for a due time. */
    node->set.nobjectives = 1;
    strcpy(node->set.objectives[0].kind, "finished");
    strcpy(node->set.objectives[0].class_name, "stage");
    node->set.objectives[0].within_s = 45; /* its work is reckoned as 30 */
    node->catalog.types[0].boot_s = 0;
    stage->spec->deadline_s = 0;
    assert_true(amb_round_can_wait(node, stage));
    assert_false(amb_round_can_wait(node, other));
    stage->spec->deadline_s = 45;
    assert_false(amb_round_can_wait(node, stage));
}

/* Room is not rented for an early stage as long as the later ones still have their time. */
static void early_stages_can_wait(void **state) {
    (void)state;
    static const struct {
        const char *what;
        double due_s, reckon_s; /* of the last stage */
        bool can_wait;
    } rows[] = {
        {"nobody waits for its end", 0, 10, false}, /* as for any job without due time or aim */
        {"much time", 300, 10, true},
        {"the last stage takes it up", 300, 180, false},
        {"the first stage takes it up", 40, 0, false},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew();
        lead();
        struct amb_job *first = job_from("wk-first", "best_effort", 0, 20, 0, "", 201);
        job_from("wk-last", "high", rows[i].due_s, rows[i].reckon_s, 0, "\"wk-first\"", 202);
        node->catalog.types[0].boot_s = 30;
        amb_pipelines_reckon(node);
        if (amb_round_can_wait(node, first) != rows[i].can_wait) fail_msg("%s", rows[i].what);
    }
}

/* A stage is protected, and may have others stopped, as what needs it. */
static void preemption(void **state) {
    (void)state;
    static const struct {
        const char *what, *last_rank;
        double due_s; /* the work takes 45 s, as reckoned */
        enum amb_priority claim;
        bool makes_way;
        enum amb_priority own_claim;
    } rows[] = {
        {"of a high pipeline, for high work", "high", 0, AMB_HIGH, false, AMB_HIGH},
        {"of a high pipeline, for prod work", "high", 0, AMB_PROD, true, AMB_HIGH},
        {"of a normal pipeline, for high work", "normal", 0, AMB_HIGH, true, AMB_NORMAL},
        {"of a prod pipeline, for prod work", "prod", 0, AMB_PROD, false, AMB_PROD},
        {"of a high pipeline that has time", "high", 60, AMB_HIGH, true, AMB_BEST_EFFORT},
        {"of a high pipeline that is late", "high", 44, AMB_HIGH, false, AMB_HIGH},
    };
    for (size_t i = 0; i < ROWS(rows); i++) {
        anew();
        lead();
        struct amb_job *first = job_from("wk-first", "best_effort", 0, 20, 0, "", 201);
        job_from("wk-last", rows[i].last_rank, rows[i].due_s, 10, 0, "\"wk-first\"", 202);
        amb_pipelines_reckon(node);
        struct amb_task *task = bound(first, 0, "m-1", 1);
        task->state = AMB_TASK_SEEN;
        const struct amb_claim claim = {rows[i].claim, NULL, false};
        if (amb_round_makes_way(task, &claim) != rows[i].makes_way) fail_msg("%s", rows[i].what);
        assert_int_equal(amb_job_priority(first), rows[i].own_claim);
        struct amb_round *round = amb_round_new(node, amb_now());
        struct amb_wish wish;
        amb_round_wish(round, first, &wish);
        assert_int_equal(wish.priority, rows[i].own_claim);
        amb_round_free(round);
        amb_task_unbind(node, task, "end of row");
    }
}

/* Nobody needs it any more: its own priority counts again. */
static void needs_end_with_who_had_them(void **state) {
    (void)state;
    lead();
    struct amb_job *first = job_from("wk-first", "best_effort", 0, 20, 0, "", 201);
    struct amb_job *last = job_from("wk-last", "high", 30, 10, 0, "\"wk-first\"", 202);
    amb_pipelines_reckon(node);
    assert_int_equal(amb_job_priority(first), AMB_HIGH);
    amb_job_cancel_hint(node, last->ref, amb_wall_ms(), 203);
    amb_pipelines_reckon(node);
    assert_int_equal(amb_job_priority(first), AMB_BEST_EFFORT);
    assert_int_equal(amb_job_due_wall(first), AMB_NO_DUE);
}

/* What a class asks for is noted when its jobs can run. */
static void demand_is_noted_when_it_can_run(void **state) {
    (void)state;
    lead();
    strcpy(node->set.objectives[0].kind, "wait");
    strcpy(node->set.objectives[0].class_name, "gangs");
    node->set.objectives[0].within_s = 10;
    node->set.nobjectives = 1;
    play("setup", "+a");
    json_t *job = json_loads(describe('b', "a", "ensemble"), 0, NULL);
    json_object_set_new(job, "berth", json_string("gangs"));
    struct amb_buf body = {0};
    cbor_from_json(&body, job);
    json_decref(job);
    request("POST", "/v1/jobs", &body);
    assert_string_equal(answer(), "201q");
    assert_int_equal(node->ctl.ndemands, 0);
    stop();
    lead(); /* who takes the lead notes what it finds */
    assert_int_equal(node->ctl.ndemands, 0);
    finish_tasks('a');
    assert_int_equal(node->ctl.ndemands, 1);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, begin, end)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(submissions),
        TEST(cancellations),
        TEST(the_leader_waits),
        TEST(a_round_follows_at_once),
        TEST(jobs_left_out_wait_too),
        TEST(placed_by_a_leader_that_does_not_wait),
        TEST(awaits_as_users_write_them),
        TEST(long_lists),
        TEST(large_descriptions),
        TEST(not_beside_an_old_node),
        TEST(services_are_not_awaited),
        TEST(records_keep_the_names),
        TEST(unreadable_records_never_start),
        TEST(heartbeats_tell_of_derived_ones),
        TEST(order_in_a_line),
        TEST(waiting_counts_from_the_last_end),
        TEST(early_stages_can_wait),
        TEST(preemption),
        TEST(needs_end_with_who_had_them),
        TEST(demand_is_noted_when_it_can_run),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
