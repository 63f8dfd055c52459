/* A node whose messages a test answers: n-0 in zone a, leading under TERM, with two peers that it has heard
 * of before. Its clock and HTTP are the test's own (fake_clock.h, fake_http.h); the key-value store, the
 * cloud, the agents and the peers answer when the test says so. Link it beside node_fixture.c, fake_clock.c
 * and fake_http.c. */
#ifndef AMBERPIN_TESTS_LEADER_FIXTURE_H
#define AMBERPIN_TESTS_LEADER_FIXTURE_H

#include "fake_http.h"
#include "node_fixture.h"

enum { LEADER_TTL_MS = 3000 }; /* the leader's lease, in ms */

#define LEADER_KEY "a/leader"
#define BLOCK_KEY "b/p/wk-1/00000"

/* ---- the node ---- */

/* As cmocka wants them. Also ends what setup() of node_fixture.h began, once every request under way is lost.
 */
int fixture_setup(void **state);
int fixture_teardown(void **state);
/* A fresh node in mid-test, for the next row of a table. */
void fixture_reset(void);
/* Another node leads, as far as is known: under this term. */
void follow_leader(const char *leader, uint64_t term);

/* ---- requests to the node, and what it replies ---- */

/* A request to the node, whose reply will be the latest. Frees the body. */
struct amb_http_req *new_request(const char *method, const char *path, struct amb_buf *body);
/* The reply to the latest request; status 0: none yet. */
struct fake_reply *latest_reply(void);
/* Its body; good until the next is asked for. */
const cbor_item_t *latest_reply_body(void);
/* How many requests have been replied to. */
size_t count_replies(void);

/* ---- requests of the node ---- */

/* The oldest that is unanswered; NULL: there is none. */
struct fake_call *find_call(const char *method, const char *path);
/* The same; the test fails if there is none. */
struct fake_call *open_call(const char *method, const char *path);

/* ---- what the key-value store answers ---- */

/* A transaction was carried out. */
void answer_committed(struct fake_call *call, uint64_t epoch);
/* A lease was granted or renewed. */
void answer_lease(struct fake_call *call, uint64_t lease);
/* A transaction was refused, for the guard on this key. */
void answer_conflict(struct fake_call *call, const char *key);
/* A value that holds one field (a text, or else a number), as it is read back. */
void answer_value(struct fake_call *call, const char *field, const char *text, uint64_t number,
                  uint64_t stamp);
/* News of one job, or (ref NULL) none. */
void answer_change_list(struct fake_call *call, uint64_t epoch, const char *ref, enum amb_job_state state,
                        uint64_t stamp);

/* ---- agents' heartbeats, over HTTP ---- */

struct sent_heartbeat {
    const char *machine, *zone;
    uint64_t incarnation, sequence, token;
    const char *task; /* NULL: lists none */
    uint64_t attempt;
    const char *task_state;
};

struct amb_http_req *send_heartbeat(struct sent_heartbeat heartbeat);
/* How many commands with this verb a body holds; the same of the latest reply. */
size_t count_commands_in(const cbor_item_t *body, const char *verb);
size_t count_replied_commands(const char *verb);
/* The token that the latest reply gives the agent. */
uint64_t replied_token(void);

/* ---- machines ---- */

/* A machine of the zone that has not reported yet. */
struct amb_machine *machine_in(const char *name, int zone);
/* A machine of the zone that has shown our token and has just been answered. */
struct amb_machine *machine_up(const char *name, int zone);

/* ---- peers ---- */

struct peer_state { /* what a peer says of itself */
    uint64_t term;
    bool leading, unloaded;
    const char *cancelled; /* NULL: nothing */
};

/* A question to each peer is under way. */
void start_peer_heartbeats(void);
/* The peer (0 or 1) answers the node's question. */
void answer_peer_heartbeat(int peer, struct peer_state said);
/* The peer sends a message of its own. */
void receive_peer_heartbeat(int peer, struct peer_state said);

/* ---- records ---- */

/* A task is placed and its record sent: the transaction. */
struct fake_call *begin_block_write(void);

#endif
