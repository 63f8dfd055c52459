/* Messages between controllers as JSON trees that tests can build and inspect. */
#ifndef AMBERPIN_TESTS_PEER_JSON_H
#define AMBERPIN_TESTS_PEER_JSON_H

#include "amberpin/node/node.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* The node's reply to a peer that knows all changes up to this revision (0: unknown). The caller releases it.
 */
static inline json_t *peer_reply_json(struct amb_node *node, uint64_t known_revision) {
    struct amb_peer_message *reply = amb_peer_encode_reply(node, known_revision);
    char *text = amb_peer_message_to_text(reply);
    json_t *json = json_loads(text, 0, NULL);
    free(text);
    amb_peer_message_release(reply);
    return json;
}

/* The message as parsed by the library. The caller releases it. */
static inline struct amb_peer_message *peer_message_of_json(const json_t *json) {
    struct amb_peer_message *message;
    char *text = json_dumps(json, JSON_COMPACT);
    amb_peer_message_parse(text, strlen(text), SIZE_MAX, &message);
    free(text);
    return message;
}

/* Applies a message of the peer, as the reply to a heartbeat sent at asked_at, or (asked_at 0) as an
 * unsolicited one. */
static inline void apply_peer_json(struct amb_node *node, struct amb_peer *peer, const json_t *json,
                                   amb_ms asked_at) {
    struct amb_peer_message *message = peer_message_of_json(json);
    amb_peer_apply_message(node, peer, message, asked_at);
    amb_peer_message_release(message);
}

#endif
