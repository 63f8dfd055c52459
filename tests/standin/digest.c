/* Digest of all messages of a simulation. Two versions of the library that behave alike give the same digest
 * for the same scenario; any different byte, order or time gives another. */
#include "world.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum { MAX_HEADING_BYTES = 600 }; /* longer than any method and path with the numbers next to them */

/* The digest of the preceding messages seeds the next hash, so that it depends on the order. */
static void digest_add(const void *bytes, size_t count) {
    world.result.digest = XXH3_64bits_withSeed(bytes, count, world.result.digest);
}

void sim_digest_request(const struct sim_call *call, amb_ms timeout) {
    char heading[MAX_HEADING_BYTES];
    int length = snprintf(heading, sizeof heading, "request %lld %llu %d %d %d %d %d %lld %s %s %zu",
                          (long long)world.now, (unsigned long long)call->serial, call->from,
                          call->from_machine, (int)call->destination, call->node, call->machine,
                          (long long)timeout, call->method, call->path, call->len);
    digest_add(heading, (size_t)length);
    if (call->len) digest_add(call->body, call->len);
}

void sim_digest_answer(const struct sim_call *call) {
    char heading[MAX_HEADING_BYTES];
    int length = snprintf(heading, sizeof heading, "answer %lld %llu %d %zu", (long long)world.now,
                          (unsigned long long)call->serial, call->status, call->answer.len);
    digest_add(heading, (size_t)length);
    if (call->answer.len) digest_add(call->answer.data, call->answer.len);
}

void sim_digest_reply(const struct sim_call *call, int status, const char *type, int retry_after_s) {
    char heading[MAX_HEADING_BYTES];
    int length = snprintf(heading, sizeof heading, "reply %lld %llu %d %s %d", (long long)world.now,
                          (unsigned long long)call->serial, status, type ? type : "-", retry_after_s);
    digest_add(heading, (size_t)length);
}
