/* Node to node: heartbeats, what they say, and what they show of this node's lead and place. */
#ifndef AMBERPIN_PEER_H
#define AMBERPIN_PEER_H

#include "amberpin/base/loop.h"
#include "amberpin/config/settings.h"
#include "amberpin/duty/node_duties.h"
#include "amberpin/election/format_version.h"
#include "amberpin/model/model.h"
#include "amberpin/peer/image_locations.h"

struct amb_node;
struct json_t;

struct amb_peer_message { /* of a peer, as it was read: the next one is mostly the same */
    char *text;
    size_t len;
    struct json_t *parsed;
};

struct amb_peer_facts { /* what a node says of itself in every message, beside cancellations */
    uint64_t term;
    bool loaded, leading, store_ok, reports_arrive, limits_lowered;
};

struct amb_peer_saying { /* a message of this node, kept as long as it would say the same */
    struct amb_peer_facts facts;
    uint64_t cancellations;    /* count of them when it was made */
    int64_t made_at, stale_at; /* time of day; one of the cancellations that it lists is too old then */
    char *text;
};

struct amb_peer {
    char member[AMB_NAME_SIZE], addr[AMB_NAME_SIZE];
    amb_ms heard_at, confirmed_at; /* any word; word that it does not lead and knows no higher term */
    uint64_t quiet_term;           /* the last term of ours that it has heeded, and since when */
    amb_ms quiet_at;
    uint64_t term;
    enum amb_format format;      /* its last word */
    enum amb_peer_duties duties; /* likewise */
    uint64_t epoch; /* up to which it knows all changes, by its last heartbeat; 0: it has not said */
    bool leading, store_ok, reports_arrive, busy;
    amb_ms sent_at;
    struct amb_peer_message heartbeat, answer; /* its last of each */
    struct amb_node *node;
};

struct amb_peers {
    struct amb_peer_images images; /* that machines hold, as the leader says */
    /* With the cancellations of late; and with none, for a leader that knows of all. */
    struct amb_peer_saying recent, nothing_newer;
    uint32_t count;
    struct amb_peer list[AMB_PEERS];
    struct amb_timer timer;
};

/* Bytes of a message between nodes. What a leader tells of jobs and machines grows with the fleet, so it is
 * told in parts that leave room for the rest (heartbeat_sent.c). */
enum { AMB_HEARTBEAT_MAX = 1024 * 1024 };

void amb_peer_init(struct amb_node *node);
void amb_peer_forget(struct amb_node *node); /* the messages that are kept */
char *amb_peer_say(struct amb_node *node);   /* what a node tells the others twice a report; to be freed */
void amb_peer_said(struct amb_node *node);   /* and every other node has been sent it */
/* To a heartbeat, as a tree; request() answers with this as text, kept while it stays the same. */
struct json_t *amb_peer_answer(struct amb_node *node, const struct json_t *question); /* to be released */
/* What another node says of itself; sent_at: when we asked, 0 when it spoke first. */
void amb_peer_heard(struct amb_node *node, struct amb_peer *peer, const struct json_t *said, amb_ms sent_at);
/* Do workers come to another node, or can no other node be reached at all? */
bool amb_election_has_better_placed_peer(const struct amb_node *node, amb_ms now);
amb_ms amb_election_peers_confirmed_at(const struct amb_node *node,
                                       amb_ms now); /* since when all peers last confirmed our lead */
/* Since when no other node can have answered a machine under an older term than ours; 0: one still might. */
amb_ms amb_election_peers_fenced_at(const struct amb_node *node);
bool amb_election_peer_reaches_store(const struct amb_node *node, amb_ms now);

#endif
