/* The messages between nodes, as JSON: making ours and reading theirs. For the exchange (peers.c) only. */
#ifndef AMBERPIN_PEER_MESSAGES_H
#define AMBERPIN_PEER_MESSAGES_H

#include "amberpin/peer/peers.h"

/* ---- ours (heartbeat_sent.c), made once as long as they would say the same ---- */

/* The answer to a heartbeat. If it was made for this question alone it is also in *made, to be freed. */
const char *amb_peer_get_reply_text(struct amb_node *node, const struct json_t *heartbeat, char **owned_text);
void amb_peer_clear_sent_messages(struct amb_node *node);

/* ---- theirs (heartbeat_received.c), parsed once as long as they repeat themselves ----
 * What a node that does not lead says is the same for seconds, while every other node reads it twice a report
 * period. What is made of a message is done anew each time: only its parsed form is kept. */

struct amb_peer *amb_peer_find(struct amb_node *node, const char *member); /* NULL: no such peer */
/* The caller's own reference, as of json_loadb; NULL when it is not JSON. */
struct json_t *amb_peer_parse_reply(struct amb_peer *peer, const char *text, size_t len);
/* Likewise, of a peer that names itself in the message. */
struct json_t *amb_peer_parse_heartbeat(struct amb_node *node, const char *text, size_t len);
/* Takes in all that a heartbeat says; peer: who sent it, NULL if it is none that we know. */
void amb_peer_apply_heartbeat(struct amb_node *node, struct amb_peer *peer, const struct json_t *heartbeat);
void amb_peer_clear_received_messages(struct amb_node *node);

#endif
