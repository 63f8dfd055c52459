/* What a node reads in the messages of the others. */
#include "amberpin/peer/messages.h"

#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* By getters: json_unpack, which reads its format anew for each row, took most of what a heartbeat costs. */
static void learn_cancellations(struct amb_node *node, const json_t *list) {
    size_t i;
    json_t *row;
    json_array_foreach(list, i, row) {
        const char *ref = json_string_value(json_array_get(row, 0));
        const json_t *wall = json_array_get(row, 1), *stamp = json_array_get(row, 2);
        if (ref && json_is_integer(wall) && json_is_integer(stamp))
            amb_job_apply_cancel_hint(node, ref, json_integer_value(wall),
                                      (uint64_t)json_integer_value(stamp));
    }
}

static enum amb_format read_format(const json_t *said) {
    json_int_t format = json_integer_value(json_object_get(said, "format"));
    if (format < AMB_FORMAT_1) return AMB_FORMAT_UNKNOWN;
    return format < AMB_FORMAT_LATEST ? (enum amb_format)format : AMB_FORMAT_LATEST;
}

void amb_peer_heard(struct amb_node *node, struct amb_peer *peer, const json_t *said, amb_ms sent_at) {
    json_int_t term = 0;
    int loaded = 0, leading = 0, store = 0, reports_arrive = 0;
    if (json_unpack((json_t *)said, "{s:b, s:I, s:b, s:b, s:b}", "loaded", &loaded, "term", &term, "leading",
                    &leading, "store", &store, "reports_arrive", &reports_arrive) ||
        term < 0)
        return;
    peer->heard_at = amb_now();
    amb_format_update_peer(peer, read_format(said));
    amb_duties_heard(peer, said);
    if (json_is_true(json_object_get(said, "limits_lowered")))
        amb_store_lower_limits(&node->store, "another node says so");
    learn_cancellations(node, json_object_get(said, "cancelled"));
    peer->term = (uint64_t)term;
    peer->leading = leading;
    peer->store_ok = store;
    peer->reports_arrive = reports_arrive;
    /* Only an answer to our own question can confirm: a message that came late is as old as it is. And only
     * of a node that has read the state service: its former self may have told users of what it does not
     * know. */
    if (sent_at && loaded && amb_election_has_leader_role(node) && !leading &&
        peer->term <= node->election.term)
        peer->confirmed_at = sent_at;
    if (sent_at && amb_election_has_leader_role(node) && !leading && peer->term == node->election.term &&
        peer->quiet_term != peer->term) {
        peer->quiet_term = peer->term;
        peer->quiet_at = peer->heard_at;
    }
    amb_election_observe_term(node, peer->term, peer->member);
}

static void learn_progress(struct amb_node *node, const json_t *heartbeat) {
    size_t i;
    json_t *row;
    json_array_foreach(json_object_get(heartbeat, "jobs"), i, row) {
        const char *ref;
        json_int_t done, running;
        if (json_unpack(row, "[s,I,I]", &ref, &done, &running)) continue;
        struct amb_job *job = amb_job_find(node, ref);
        if (!job) continue;
        job->progress_done = (uint32_t)done;
        job->progress_running = (uint32_t)running;
    }
}

static uint64_t known_epoch(const json_t *heartbeat) {
    json_int_t epoch = json_integer_value(json_object_get(heartbeat, "epoch"));
    return epoch > 0 ? (uint64_t)epoch : 0;
}

void amb_peer_learn(struct amb_node *node, struct amb_peer *peer, const json_t *heartbeat) {
    if (peer) {
        amb_peer_heard(node, peer, heartbeat, 0);
        peer->epoch = known_epoch(heartbeat);
    }
    if (amb_election_is_leader(node)) return;
    double token_grant = json_number_value(json_object_get(heartbeat, "token_grant"));
    if (token_grant != 0) amb_store_apply_token_loan(&node->store, token_grant);
    learn_progress(node, heartbeat);
    amb_peer_images_heard(node, json_object_get(heartbeat, "images"));
}

/* ---- messages of peers, parsed once as long as they repeat themselves ----
 * What a node that does not lead says is the same for seconds, while every other node reads it twice a report
 * period. What is made of a message is done anew each time: only its parsed form is kept. */

static bool is_repeated(const struct amb_peer_message *message, const char *text, size_t len) {
    return message->parsed && message->len == len && !memcmp(message->text, text, len);
}

/* Longer messages are parsed each time. What those say who do not lead is mostly short; a leader's heartbeat
 * tells of other machines each time. */
static void keep_message(const struct amb_node *node, struct amb_peer_message *message, const char *text,
                         size_t len, json_t *parsed) {
    if (len > amb_memory_max_peer_message_bytes(&node->settings)) return;
    json_decref(message->parsed);
    message->parsed = json_incref(parsed);
    message->text = amb_grow(message->text, len);
    memcpy(message->text, text, len);
    message->len = len;
}

struct amb_peer *amb_peer_find(struct amb_node *node, const char *member) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (!strcmp(node->peers.list[i].member, member)) return &node->peers.list[i];
    return NULL;
}

json_t *amb_peer_read_answer(struct amb_peer *peer, const char *text, size_t len) {
    if (is_repeated(&peer->answer, text, len)) return json_incref(peer->answer.parsed);
    json_t *parsed = json_loadb(text, len, 0, NULL);
    if (parsed) keep_message(peer->node, &peer->answer, text, len, parsed);
    return parsed;
}

json_t *amb_peer_read_heartbeat(struct amb_node *node, const char *text, size_t len) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (is_repeated(&node->peers.list[i].heartbeat, text, len))
            return json_incref(node->peers.list[i].heartbeat.parsed);
    json_t *parsed = json_loadb(text, len, 0, NULL);
    const char *from = json_string_value(json_object_get(parsed, "from"));
    struct amb_peer *peer = from ? amb_peer_find(node, from) : NULL;
    if (peer) keep_message(node, &peer->heartbeat, text, len, parsed);
    return parsed;
}

static void forget_message(struct amb_peer_message *message) {
    json_decref(message->parsed);
    free(message->text);
    memset(message, 0, sizeof *message);
}

void amb_peer_forget_read(struct amb_node *node) {
    for (uint32_t i = 0; i < AMB_PEERS; i++) {
        forget_message(&node->peers.list[i].heartbeat);
        forget_message(&node->peers.list[i].answer);
    }
}
