/* What a node reads in the messages of the others. */
#include "amberpin/peer/messages.h"

#include "amberpin/node/memory_budget.h"
#include "amberpin/node/node.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* By getters: json_unpack, which reads its format anew for each row, took most of what a heartbeat costs. */
static void apply_cancellations(struct amb_node *node, const json_t *list) {
    size_t i;
    json_t *row;
    json_array_foreach(list, i, row) {
        const char *ref = json_string_value(json_array_get(row, 0));
        const json_t *cancelled_wall_ms = json_array_get(row, 1), *revision = json_array_get(row, 2);
        if (ref && json_is_integer(cancelled_wall_ms) && json_is_integer(revision))
            amb_job_apply_cancel_hint(node, ref, json_integer_value(cancelled_wall_ms),
                                      (uint64_t)json_integer_value(revision));
    }
}

static enum amb_format decode_format(const json_t *message) {
    json_int_t format = json_integer_value(json_object_get(message, "format"));
    if (format < AMB_FORMAT_1) return AMB_FORMAT_UNKNOWN;
    return format < AMB_FORMAT_LATEST ? (enum amb_format)format : AMB_FORMAT_LATEST;
}

void amb_peer_apply_message(struct amb_node *node, struct amb_peer *peer, const json_t *message,
                            amb_ms asked_at) {
    json_int_t term = 0;
    int loaded = 0, leading = 0, store = 0, reports_arrive = 0;
    if (json_unpack((json_t *)message, "{s:b, s:I, s:b, s:b, s:b}", "loaded", &loaded, "term", &term,
                    "leading", &leading, "store", &store, "reports_arrive", &reports_arrive) ||
        term < 0)
        return;
    peer->last_heard_at = amb_now();
    amb_format_update_peer(peer, decode_format(message));
    amb_duties_decode_peer(peer, message);
    if (json_is_true(json_object_get(message, "limits_lowered")))
        amb_store_lower_limits(&node->store, "another node says so");
    apply_cancellations(node, json_object_get(message, "cancelled"));
    peer->term = (uint64_t)term;
    peer->is_leader = leading;
    peer->store_reachable = store;
    peer->receives_agent_heartbeats = reports_arrive;
    /* Only an answer to our own question can confirm: a message that came late is as old as it is. And only
     * of a node that has read the state service: its former self may have told users of what it does not
     * know. */
    if (asked_at && loaded && amb_election_has_leader_role(node) && !leading &&
        peer->term <= node->election.term)
        peer->confirmed_at = asked_at;
    if (asked_at && amb_election_has_leader_role(node) && !leading && peer->term == node->election.term &&
        peer->fenced_term != peer->term) {
        peer->fenced_term = peer->term;
        peer->fenced_at = peer->last_heard_at;
    }
    amb_election_observe_term(node, peer->term, peer->member);
}

static void apply_progress(struct amb_node *node, const json_t *heartbeat) {
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

static uint64_t decode_store_revision(const json_t *heartbeat) {
    json_int_t store_revision = json_integer_value(json_object_get(heartbeat, "epoch"));
    return store_revision > 0 ? (uint64_t)store_revision : 0;
}

void amb_peer_apply_heartbeat(struct amb_node *node, struct amb_peer *peer, const json_t *heartbeat) {
    if (peer) {
        amb_peer_apply_message(node, peer, heartbeat, 0);
        peer->store_revision = decode_store_revision(heartbeat);
    }
    if (amb_election_is_leader(node)) return;
    double token_grant = json_number_value(json_object_get(heartbeat, "token_grant"));
    if (token_grant != 0) amb_store_apply_token_loan(&node->store, token_grant);
    apply_progress(node, heartbeat);
    amb_image_locations_apply(node, json_object_get(heartbeat, "images"));
}

/* ---- messages of peers, parsed once as long as they repeat themselves ----
 * What a node that does not lead says is the same for seconds, while every other node reads it twice a report
 * period. What is made of a message is done anew each time: only its parsed form is kept. */

static bool is_repeated(const struct amb_peer_cached_message *message, const char *text, size_t len) {
    return message->parsed && message->len == len && !memcmp(message->text, text, len);
}

/* Longer messages are parsed each time. What those say who do not lead is mostly short; a leader's heartbeat
 * tells of other machines each time. */
static void cache_message(const struct amb_node *node, struct amb_peer_cached_message *message,
                          const char *text, size_t len, json_t *parsed) {
    if (len > amb_memory_max_peer_message_bytes(&node->settings)) return;
    json_decref(message->parsed);
    message->parsed = json_incref(parsed);
    message->text = amb_realloc(message->text, len);
    memcpy(message->text, text, len);
    message->len = len;
}

struct amb_peer *amb_peer_find(struct amb_node *node, const char *member) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (!strcmp(node->peers.list[i].member, member)) return &node->peers.list[i];
    return NULL;
}

json_t *amb_peer_parse_reply(struct amb_peer *peer, const char *text, size_t len) {
    if (is_repeated(&peer->last_reply, text, len)) return json_incref(peer->last_reply.parsed);
    json_t *parsed = json_loadb(text, len, 0, NULL);
    if (parsed) cache_message(peer->node, &peer->last_reply, text, len, parsed);
    return parsed;
}

json_t *amb_peer_parse_heartbeat(struct amb_node *node, const char *text, size_t len) {
    for (uint32_t i = 0; i < node->peers.count; i++)
        if (is_repeated(&node->peers.list[i].last_heartbeat, text, len))
            return json_incref(node->peers.list[i].last_heartbeat.parsed);
    json_t *parsed = json_loadb(text, len, 0, NULL);
    const char *from = json_string_value(json_object_get(parsed, "from"));
    struct amb_peer *peer = from ? amb_peer_find(node, from) : NULL;
    if (peer) cache_message(node, &peer->last_heartbeat, text, len, parsed);
    return parsed;
}

static void clear_cached_message(struct amb_peer_cached_message *message) {
    json_decref(message->parsed);
    free(message->text);
    memset(message, 0, sizeof *message);
}

void amb_peer_clear_received_messages(struct amb_node *node) {
    for (uint32_t i = 0; i < AMB_PEERS_MAX; i++) {
        clear_cached_message(&node->peers.list[i].last_heartbeat);
        clear_cached_message(&node->peers.list[i].last_reply);
    }
}
