/* Replication of which container images each machine holds. The key-value store has no record of that, so a
 * new leader would place tasks on machines that must fetch an image although another machine has it. The
 * leader therefore includes the images in its heartbeats to the other controllers: those of machines that
 * have changed, and those of all machines in rotation, never more than fits into a message. */
#ifndef AMBERPIN_PEER_IMAGE_LOCATIONS_H
#define AMBERPIN_PEER_IMAGE_LOCATIONS_H

#include "amberpin/codec/peer_messages.h"

struct amb_node;

/* The images of one machine, as last reported by a leader. */
struct amb_image_location {
    char machine[AMB_NAME_SIZE]; /* key */
    uint32_t count;
    struct amb_peer_image *images; /* owned; most recently used first */
    UT_hash_handle hh;
};

struct amb_image_locations {
    /* What leaders have reported recently, by machine: in the current generation of heartbeats and in the
     * previous one. A machine that is in neither is gone; its entry is freed with the previous generation. */
    struct amb_image_location *current, *previous;
    uint32_t heartbeats_in_generation; /* received */
    /* State of the leader: */
    uint32_t first_machine;    /* position in its machine table at which the next heartbeat begins */
    uint64_t heartbeat_number; /* heartbeats that it has encoded */
};

/* Adds images to the leader's next heartbeat, about `max_bytes` in total. Images that do not fit are sent in
 * a later heartbeat. */
void amb_image_locations_encode(struct amb_node *node, struct amb_peer_message *heartbeat, size_t max_bytes);
/* To be called when the latest heartbeat has been sent to every peer: the changes in it are not sent again.
 */
void amb_image_locations_mark_sent(struct amb_node *node);
/* Stores the images that a leader's heartbeat lists, if any. */
void amb_image_locations_apply(struct amb_node *node, const struct amb_peer_message *heartbeat);
/* Gives a machine that is new in this controller's table the images that an earlier leader has reported. */
void amb_image_locations_restore(struct amb_node *node, struct amb_machine *machine);
/* Frees all received image locations. */
void amb_image_locations_clear(struct amb_node *node);

#endif
