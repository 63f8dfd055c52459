/* Replaces the library's HTTP. Requests that a node sends stay open until the test answers them, and the
 * node's replies to users, agents and peers are recorded for the test. Link it into a test in addition to the
 * library. */
#ifndef AMBERPIN_TESTS_FAKE_HTTP_H
#define AMBERPIN_TESTS_FAKE_HTTP_H

#include "amberpin/codec/messages.h"
#include "amberpin/http/http.h"

enum { FAKE_CALLS = 1024 };

struct fake_call { /* a request sent by the node */
    char addr[AMB_NAME_SIZE], method[8], path[400];
    struct amb_buf body;
    const struct amb_cbor_item *cbor_body; /* the body, if it is CBOR */
    amb_http_done on_done;
    void *arg;
    bool answered;
};

struct fake_reply { /* the node's reply to a request; status 0: none yet */
    int status, retry_after_s;
    struct amb_buf body;
};

/* The oldest unanswered request whose path has this prefix; NULL: none. */
struct fake_call *fake_open_call(const char *path_prefix);
/* The same, also by address and method; NULL matches any. */
struct fake_call *fake_call_find(const char *addr, const char *method, const char *path_prefix);
/* Number of unanswered requests with this method (NULL: any) and path prefix. */
size_t fake_count_open_calls(const char *method, const char *path_prefix);
/* Number of requests with this path prefix sent since fake_http_reset. */
size_t fake_count_sent_calls(const char *path_prefix);
/* Answers the call; frees the body, which may be NULL. Status 0: the call fails without an answer. */
void fake_answer(struct fake_call *call, int status, struct amb_buf *body);
/* Fails all open requests without an answer, including those that are sent in consequence. */
void fake_answer_all_lost(void);
void fake_http_reset(void);

/* Creates a request to the node. The caller frees the reply's body. */
struct amb_http_req *fake_request(const char *method, const char *path, const struct amb_buf *body,
                                  struct fake_reply *reply);
/* Passes a request to the server that the node has opened at this address. */
void fake_serve(const char *addr, struct amb_http_req *request);

/* Content of a transaction: the revision that a key is compared with, the value put to the key (NULL: none)
 * with its lease (0: none), and whether the key is removed. */
#define FAKE_NOT_COMPARED UINT64_MAX
uint64_t fake_txn_compared_revision(const struct fake_call *call, const char *key);
const struct amb_cbor_item *fake_txn_put(const struct fake_call *call, const char *key, uint64_t *lease);
bool fake_txn_removes(const struct fake_call *call, const char *key);

#endif
