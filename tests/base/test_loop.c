/* The event loop runs overdue timers before events. A leader that was stalled must be fenced by its timer
 * before it handles heartbeats that arrived meanwhile (docs/safety.md). The test supplies the clock. */
#include "check.h"

#include "amberpin/base/loop.h"

#include <sys/epoll.h>
#include <unistd.h>

enum { TIMER_MS = 20, STALL_MS = 60, CALLS_EXPECTED = 3 };

static amb_ms now_ms = 1000;
static char called[CALLS_EXPECTED + 1]; /* order of the calls: 'e' an event, 't' the timer */
static size_t ncalled;

amb_ms __wrap_amb_now(void);
amb_ms __wrap_amb_now(void) {
    return now_ms;
}

static void note(char what) {
    called[ncalled++] = what;
    if (ncalled == CALLS_EXPECTED) amb_loop_stop();
}

static void readable(struct amb_fd_watch *watch, uint32_t events) {
    (void)events;
    amb_loop_del(watch);
    if (!ncalled) now_ms += STALL_MS;
    note('e');
}

static void due(void *arg) {
    (void)arg;
    note('t');
}

/* Two descriptors are ready at once, and a timer becomes due while the first is handled. */
static void overdue_timers_go_before_the_next_event(void **state) {
    (void)state;
    static struct amb_fd_watch watches[2];
    static struct amb_timer timer;
    int ends[ROWS(watches)][2];
    amb_loop_init();
    for (size_t i = 0; i < ROWS(watches); i++) {
        assert_int_equal(pipe(ends[i]), 0);
        assert_int_equal(write(ends[i][1], "x", 1), 1);
        watches[i] = (struct amb_fd_watch){.fd = ends[i][0], .fn = readable};
        assert_int_equal(amb_loop_add(&watches[i], EPOLLIN), 0);
    }
    amb_timer_set_after(&timer, TIMER_MS, due, NULL);
    amb_loop_run();
    assert_string_equal(called, "ete");
    for (size_t i = 0; i < ROWS(watches); i++) {
        close(ends[i][0]);
        close(ends[i][1]);
    }
}

int main(void) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(overdue_timers_go_before_the_next_event)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
