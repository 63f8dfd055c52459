/* A node whose messages the test answers: n-0 in zone a, leader of the term TERM, with two known peers. Clock
 * and HTTP are fakes (fake_clock.h, fake_http.h); the test provides the answers of the key-value store, the
 * cloud, the agents and the peers. Link it together with node_fixture.c, fake_clock.c and fake_http.c. */
#ifndef AMBERPIN_TESTS_LEADER_FIXTURE_H
#define AMBERPIN_TESTS_LEADER_FIXTURE_H

#include "fake_http.h"
#include "node_fixture.h"

enum { LEADER_TTL_MS = 3000 }; /* duration of the leadership lease */

#define LEADER_KEY "a/leader"
#define BLOCK_KEY "b/p/wk-1/00000"

/* ---- the node ---- */

/* Test setup and teardown for cmocka. The teardown fails all open requests and then calls teardown() of
 * node_fixture.h. */
int fixture_setup(void **state);
int fixture_teardown(void **state);
/* Replaces the node by a new one within a test, for the next row of a table. */
void fixture_reset(void);
/* Makes the node a follower that knows another node as the leader of this term. */
void follow_leader(const char *leader, uint64_t term);

/* ---- requests to the node, and its replies ---- */

/* Creates a request to the node, whose reply becomes the latest. Frees the body. */
struct amb_http_req *new_request(const char *method, const char *path, struct amb_buf *body);
/* The reply to the latest request; status 0: none yet. */
struct fake_reply *latest_reply(void);
/* Its body; valid until the next call. */
const struct amb_cbor_item *latest_reply_body(void);
/* Number of requests that the node has replied to. */
size_t count_replies(void);

/* ---- requests sent by the node ---- */

/* The oldest unanswered request; NULL: none. */
struct fake_call *find_call(const char *method, const char *path);
/* The same; fails the test if there is none. */
struct fake_call *open_call(const char *method, const char *path);

/* ---- answers of the key-value store ---- */

/* Confirms a transaction. */
void answer_committed(struct fake_call *call, uint64_t store_revision);
/* Confirms that a lease was granted or renewed. */
void answer_lease(struct fake_call *call, uint64_t lease);
/* Refuses a transaction because of the guard on this key. */
void answer_conflict(struct fake_call *call, const char *key);
/* Answers a read with a value of one field: a string, or a number if text is NULL. */
void answer_value(struct fake_call *call, const char *field, const char *text, uint64_t number,
                  uint64_t revision);
/* Answers a read of changes with a change of one job, or (ref NULL) with none. */
void answer_change_list(struct fake_call *call, uint64_t store_revision, const char *ref,
                        enum amb_job_state state, uint64_t revision);

/* ---- agents' heartbeats, over HTTP ---- */

struct sent_heartbeat {
    const char *machine, *zone;
    uint64_t incarnation, sequence, token;
    const char *task; /* NULL: the heartbeat lists no task */
    uint64_t attempt;
    const char *task_state;
    uint32_t stopped_tasks; /* listed besides: this many tasks of wk-9, which have exited */
};

/* The first heartbeat of m-1 in zone a, with this leader's token, which lists wk-1/0 as running. */
struct sent_heartbeat heartbeat_of_running_task(void);
struct amb_http_req *send_heartbeat(struct sent_heartbeat heartbeat);
/* Number of commands with this verb in a body, and in the latest reply. */
size_t count_commands_in(const struct amb_cbor_item *body, const char *verb);
size_t count_replied_commands(const char *verb);
/* The fencing token in the latest reply to an agent. */
uint64_t replied_token(void);

/* ---- machines ---- */

/* A machine of the zone without a heartbeat so far. */
struct amb_machine *machine_in(const char *name, int zone);
/* A machine of the zone that is up, has acknowledged the fencing token and has just been answered. */
struct amb_machine *machine_up(const char *name, int zone);

/* ---- peers ---- */

struct peer_state { /* state that a peer sends about itself */
    uint64_t term;
    bool leading, unloaded;
    const char *cancelled; /* cancellation notices, as a JSON list without brackets; NULL: none */
};

/* Makes the node send a heartbeat to each peer. */
void start_peer_heartbeats(void);
/* The peer (0 or 1) answers the node's heartbeat. */
void answer_peer_heartbeat(int peer, struct peer_state state);
/* The peer sends a heartbeat of its own. */
void receive_peer_heartbeat(int peer, struct peer_state state);

/* ---- records ---- */

/* Places a task and returns the transaction that writes its record. */
struct fake_call *begin_block_write(void);

#endif
