/* Which images lie on which machine. That is nowhere on record, and a new leader would send tasks to fetch
 * what is at hand elsewhere. So the leader tells the other nodes in its heartbeats: changes as they come, the
 * rest a share at a time, and never more than a message has room for. */
#ifndef AMBERPIN_PEER_IMAGES_H
#define AMBERPIN_PEER_IMAGES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct amb_machine;
struct amb_node;
struct json_t;

struct amb_image_locations {
    /* What a leader has told lately, by machine: in the present span of heartbeats, and in the one before. A
     * machine that is told of in neither is gone, and forgotten with the older span. */
    struct json_t *current, *previous;
    uint32_t heartbeats_in_span; /* heard in the present span */
    uint32_t first_machine;      /* the leader's: the place in its table at which it begins to tell */
    uint64_t heartbeat_number;   /* the leader's: counts its heartbeats */
};

/* What the leader tells in its next heartbeat, in about `most` bytes: an object by machine, to be released.
 * What finds no room is told in one of the next. */
struct json_t *amb_image_locations_encode(struct amb_node *node, size_t max_bytes);
/* Every other node has been sent the latest heartbeat: its changes need not be told again. */
void amb_image_locations_mark_sent(struct amb_node *node);
/* A heartbeat of the leader tells this; NULL: nothing. */
void amb_image_locations_apply(struct amb_node *node, const struct json_t *encoded);
/* A machine is new to this node's table: it may be one that an earlier leader has told of. */
void amb_image_locations_restore(struct amb_node *node, struct amb_machine *machine);
void amb_image_locations_clear(struct amb_node *node);

#endif
