/* The scaling path: whether the leader itself or the holders of duties call the cloud to scale out and in. */
#ifndef AMBERPIN_DUTY_SCALING_PATH_H
#define AMBERPIN_DUTY_SCALING_PATH_H

#include <stdbool.h>

struct amb_node;
struct amb_peer;

/* What the latest heartbeat of a peer says about duties. */
enum amb_peer_duties {
    AMB_PEER_DUTIES_UNKNOWN, /* no heartbeat has been received */
    AMB_PEER_DUTIES_OFF,     /* disabled, or the peer runs a version without duties */
    AMB_PEER_DUTIES_ON,
};

enum amb_scaling_path {
    AMB_SCALING_BY_LEADER,
    AMB_SCALING_BY_HOLDER, /* by intents that the leader writes */
    AMB_SCALING_PAUSED,    /* open requests and intents are finished; no new ones are begun */
};

/* Returns true if this controller's own options enable duties. */
bool amb_duties_is_enabled(const struct amb_node *node);
/* Returns true if duties should be in use, according to the options of this controller and the latest
 * heartbeat of every peer, however old. Duties come into use when all peers have them enabled, and go out of
 * use when one peer has them disabled. A peer without a heartbeat since this controller started changes
 * nothing. */
bool amb_duties_is_agreed(const struct amb_node *node);
/* Records whether a message of the peer says that duties are enabled there. */
void amb_duties_update_peer(struct amb_peer *peer, bool on);
/* Returns the scaling path that is in use now. */
enum amb_scaling_path amb_duties_scaling_path(const struct amb_node *node);

#endif
