/* In place of the library's HTTP: every request that a node sends is kept until the test answers it, and
 * every reply that it gives to a user, an agent or another node is kept to be looked at. Link it into a test
 * beside the library. */
#ifndef AMBERPIN_TESTS_FAKE_HTTP_H
#define AMBERPIN_TESTS_FAKE_HTTP_H

#include "amberpin/codec/messages.h"
#include "amberpin/http/http.h"

enum { FAKE_CALLS = 1024 };

struct fake_call { /* a request that the node has sent */
    char addr[AMB_NAME_SIZE], method[8], path[400];
    struct amb_buf body;
    cbor_item_t *cbor_body; /* the body, if it is CBOR */
    amb_http_done on_done;
    void *arg;
    bool answered;
};

struct fake_reply { /* what a request to the node was answered; status 0: nothing yet */
    int status, retry_after_s;
    struct amb_buf body;
};

/* The oldest unanswered request whose path begins so; NULL: none. */
struct fake_call *fake_open_call(const char *path_prefix);
/* The same, by address and method too; NULL: any. */
struct fake_call *fake_call_find(const char *addr, const char *method, const char *path_prefix);
/* How many such requests are unanswered. */
size_t fake_count_open_calls(const char *method, const char *path_prefix);
/* How many requests with such a path have been sent since fake_http_reset. */
size_t fake_count_sent_calls(const char *path_prefix);
/* Answers the call; frees the body, which may be NULL. Status 0: no answer comes. */
void fake_answer(struct fake_call *call, int status, struct amb_buf *body);
/* Answers whatever is open, and what is sent because of that, with nothing. */
void fake_answer_all_lost(void);
void fake_http_reset(void);

/* A request to the node. The caller frees reply's body. */
struct amb_http_req *fake_request(const char *method, const char *path, const struct amb_buf *body,
                                  struct fake_reply *reply);
/* Hands a request to the server that the node has opened at this address. */
void fake_serve(const char *addr, struct amb_http_req *request);

/* What a transaction holds: the stamp that a key is guarded with, the value that is put there (NULL: none)
 * with its lease (0: none), and whether the key is removed. */
#define FAKE_NOT_COMPARED UINT64_MAX
uint64_t fake_txn_compared_revision(const struct fake_call *call, const char *key);
const cbor_item_t *fake_txn_put(const struct fake_call *call, const char *key, uint64_t *lease);
bool fake_txn_removes(const struct fake_call *call, const char *key);

#endif
