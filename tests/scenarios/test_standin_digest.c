/* The digest of a simulated scenario must differ between two runs that differ in any message. */
#include "check.h"
#include "named_tests.h"
#include "world.h"

#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

static struct sim_call request_to(enum sim_destination to, const char *path, char *body) {
    struct sim_call call = {.serial = 7, .destination = to, .from = -1, .body = body, .len = strlen(body)};
    strcpy(call.method, "POST");
    strcpy(call.path, path);
    return call;
}

static uint64_t digest_of(const struct sim_call *calls, size_t count, amb_ms first, amb_ms then) {
    memset(&world.result, 0, sizeof world.result);
    for (size_t i = 0; i < count; i++) {
        world.now = i ? then : first;
        sim_digest_request(&calls[i], 1000);
        sim_digest_answer(&calls[i]);
        sim_digest_reply(&calls[i], calls[i].status, "application/cbor", 1);
    }
    return world.result.digest;
}

static void digest_covers_fields_order_and_time(void **state) {
    (void)state;
    struct sim_call calls[] = {request_to(SIM_TO_STORE, "/commit", (char[]){"one body"}),
                               request_to(SIM_TO_CLOUD, "/machines", (char[]){"another body"})};
    const uint64_t plain = digest_of(calls, 2, 100, 200);
    assert_true(plain == digest_of(calls, 2, 100, 200));
    assert_true(plain != digest_of(calls, 2, 100, 201)); /* a later answer */
    assert_true(plain != digest_of(calls, 1, 100, 200)); /* one call fewer */

    const struct sim_call swapped[] = {calls[1], calls[0]};
    assert_true(plain != digest_of(swapped, 2, 100, 200));

    calls[0].body[0] = 'O';
    assert_true(plain != digest_of(calls, 2, 100, 200));
    calls[0].body[0] = 'o';
    strcpy(calls[1].path, "/machine");
    assert_true(plain != digest_of(calls, 2, 100, 200));
    strcpy(calls[1].path, "/machines");
    calls[1].status = 503;
    assert_true(plain != digest_of(calls, 2, 100, 200));
    calls[1].status = 0;
    calls[1].answer = (struct amb_buf){.data = (char[]){"x"}, .len = 1};
    assert_true(plain != digest_of(calls, 2, 100, 200));
    calls[1].answer = (struct amb_buf){0};
    assert_true(plain == digest_of(calls, 2, 100, 200));
}

static void retry_after_counts(void **state) {
    (void)state;
    const struct sim_call call = request_to(SIM_TO_API, "/v1/jobs", (char[]){"{}"});
    uint64_t digests[2];
    for (int retry_after_s = 0; retry_after_s < 2; retry_after_s++) {
        memset(&world.result, 0, sizeof world.result);
        sim_digest_reply(&call, 503, "application/cbor", retry_after_s);
        digests[retry_after_s] = world.result.digest;
    }
    assert_true(digests[0] != digests[1]);
}

/* Each scenario runs in a process of its own, as in explore: the library keeps some state from one run to the
 * next. */
static uint64_t digest_of_scenario(uint64_t seed, const struct sim_fault *faults, size_t count) {
    enum { LENGTH_MS = 40000 };
    int pipe_fds[2];
    uint64_t digest = 0;
    assert_int_equal(pipe(pipe_fds), 0);
    pid_t child = fork();
    assert_true(child >= 0);
    if (!child) {
        digest = sim_run_default_load(&sim_small, seed, LENGTH_MS, faults, count).digest;
        _exit(write(pipe_fds[1], &digest, sizeof digest) == (ssize_t)sizeof digest ? 0 : 1);
    }
    close(pipe_fds[1]);
    assert_int_equal(read(pipe_fds[0], &digest, sizeof digest), sizeof digest);
    close(pipe_fds[0]);
    assert_int_equal(waitpid(child, NULL, 0), child);
    return digest;
}

static void same_seed_gives_same_digest(void **state) {
    static const struct sim_fault lost_answers = {
        .kind = SIM_LOSE_RESPONSES, .at = 20000, .lasts = 5000, .which = -1};
    (void)state;
    const uint64_t first = digest_of_scenario(1, NULL, 0);
    assert_true(first == digest_of_scenario(1, NULL, 0));
    assert_true(first != digest_of_scenario(2, NULL, 0));
    assert_true(first != digest_of_scenario(1, &lost_answers, 1));
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(digest_covers_fields_order_and_time),
        cmocka_unit_test(retry_after_counts),
        cmocka_unit_test(same_seed_gives_same_digest),
    };
    if (!choose_named_test(tests, ROWS(tests), argc, argv)) return 2;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
