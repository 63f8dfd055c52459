/* Which container images each machine holds. That is recorded nowhere, and a new leader would send tasks to
 * machines that have to fetch what another machine has. So the leader includes it in its heartbeats to the
 * other controllers: changes as they come, and all machines in rotation, never more than a message has room
 * for. */
#ifndef AMBERPIN_PEER_IMAGE_LOCATIONS_H
#define AMBERPIN_PEER_IMAGE_LOCATIONS_H

#include "amberpin/codec/peer_messages.h"

struct amb_node;

/* The images of one machine, as a leader last reported them. */
struct amb_image_location {
    char machine[AMB_NAME_SIZE]; /* key */
    uint32_t count;
    struct amb_peer_image *images; /* owned; most recently used first */
    UT_hash_handle hh;
};

struct amb_image_locations {
    /* What leaders have reported lately, by machine: in the present span of heartbeats, and in the one
     * before. A machine that is in neither is gone; it is dropped with the older span. */
    struct amb_image_location *current, *previous;
    uint32_t heartbeats_in_span; /* received */
    /* The leader's own: */
    uint32_t first_machine;    /* position in its table at which the next heartbeat begins */
    uint64_t heartbeat_number; /* counts the heartbeats that it has encoded */
};

/* Adds images to the leader's next heartbeat, about `max_bytes` of them. What finds no room goes into one of
 * the next. */
void amb_image_locations_encode(struct amb_node *node, struct amb_peer_message *heartbeat, size_t max_bytes);
/* Every peer has been sent the latest heartbeat: the changes in it need not be sent again. */
void amb_image_locations_mark_sent(struct amb_node *node);
/* Keeps what a leader's heartbeat says of images, if anything. */
void amb_image_locations_apply(struct amb_node *node, const struct amb_peer_message *heartbeat);
/* A machine is new to this controller's table: gives it the images that an earlier leader has reported. */
void amb_image_locations_restore(struct amb_node *node, struct amb_machine *machine);
/* Frees what was received. */
void amb_image_locations_clear(struct amb_node *node);

#endif
