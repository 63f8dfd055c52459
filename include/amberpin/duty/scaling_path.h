/* Who calls the cloud to scale out and in: the leader itself, or the holders of duties. */
#ifndef AMBERPIN_DUTY_SCALING_PATH_H
#define AMBERPIN_DUTY_SCALING_PATH_H

#include <stdbool.h>

struct amb_node;
struct amb_peer;

/* What a peer's latest heartbeat says of duties. */
enum amb_peer_duties {
    AMB_PEER_DUTIES_UNKNOWN, /* none has been received */
    AMB_PEER_DUTIES_OFF,     /* switched off, or a version without them */
    AMB_PEER_DUTIES_ON,
};

enum amb_scaling_path {
    AMB_SCALING_BY_LEADER,
    AMB_SCALING_BY_HOLDER, /* by intents of the leader */
    AMB_SCALING_PAUSED,    /* what was begun is finished; nothing new is begun */
};

/* Are duties switched on by this controller's own options? */
bool amb_duties_is_enabled(const struct amb_node *node);
/* Should duties be in use, by the latest heartbeat of every peer, however old? They come into use when all
 * say so, and go out of use when one says no: one that has not been heard of since this controller started
 * changes nothing. */
bool amb_duties_is_agreed(const struct amb_node *node);
/* Takes over what a message of the peer says: whether duties are switched on there. */
void amb_duties_update_peer(struct amb_peer *peer, bool on);
/* The path that is in use now. */
enum amb_scaling_path amb_duties_scaling_path(const struct amb_node *node);

#endif
