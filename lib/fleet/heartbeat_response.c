#include "amberpin/fleet/heartbeat_response.h"

#include "amberpin/codec/messages.h"
#include "amberpin/node/node.h"

enum { RETRY_AFTER_S = 1 };

void amb_heartbeat_reply_commands(struct amb_http_req *request, uint64_t term,
                                  const struct amb_command_list *list) {
    struct amb_buf body = {0};
    amb_codec_encode_heartbeat_response(&body, term, list->commands, list->count);
    amb_http_reply_cbor(request, AMB_HTTP_OK, &body, 0);
}

void amb_heartbeat_reply_redirect(struct amb_node *node, struct amb_http_req *request) {
    if (node->election.role == AMB_ROLE_FENCED) {
        amb_http_reply_cbor(request, AMB_HTTP_SERVICE_UNAVAILABLE, NULL, RETRY_AFTER_S);
        return;
    }
    struct amb_buf body = {0};
    amb_codec_encode_heartbeat_redirect(&body, amb_election_leader_name(node));
    amb_http_reply_cbor(request, AMB_HTTP_MISDIRECTED_REQUEST, &body, 0);
}
