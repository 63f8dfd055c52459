/* A digest of everything that the simulated day's participants say to one another. Two versions of the
 * library that behave alike give the same digest for the same day; a changed byte, order or time gives
 * another. */
#include "world.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

enum { HEADING_MOST = 600 }; /* bytes: longer than any method and path with the numbers beside them */

/* The digest of all that came before seeds the next hash, so that the order counts. */
static void add(const void *bytes, size_t count) {
    world.result.digest = XXH3_64bits_withSeed(bytes, count, world.result.digest);
}

void sim_digest_request(const struct sim_call *call, amb_ms timeout) {
    char heading[HEADING_MOST];
    int length = snprintf(heading, sizeof heading, "request %lld %llu %d %d %d %d %d %lld %s %s %zu",
                          (long long)world.now, (unsigned long long)call->serial, call->from,
                          call->from_machine, (int)call->destination, call->node, call->machine,
                          (long long)timeout, call->method, call->path, call->len);
    add(heading, (size_t)length);
    if (call->len) add(call->body, call->len);
}

void sim_digest_answer(const struct sim_call *call) {
    char heading[HEADING_MOST];
    int length = snprintf(heading, sizeof heading, "answer %lld %llu %d %zu", (long long)world.now,
                          (unsigned long long)call->serial, call->status, call->answer.len);
    add(heading, (size_t)length);
    if (call->answer.len) add(call->answer.data, call->answer.len);
}

void sim_digest_reply(const struct sim_call *call, int status, const char *type, int retry_after_s) {
    char heading[HEADING_MOST];
    int length = snprintf(heading, sizeof heading, "reply %lld %llu %d %s %d", (long long)world.now,
                          (unsigned long long)call->serial, status, type ? type : "-", retry_after_s);
    add(heading, (size_t)length);
}
