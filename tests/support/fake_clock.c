#include "fake_clock.h"
#include "check.h"

enum { TIMERS = 4096 };

static amb_ms clock_ms = 1000000;
static struct amb_timer *timers[TIMERS];
static size_t timer_count;

/* ---- clock ---- */

amb_ms amb_now(void) {
    return clock_ms;
}

int64_t amb_wall_ms(void) {
    return 1700000000000 + clock_ms;
}

uint64_t amb_nonce(void) {
    static uint64_t last;
    return 0x100000 + ++last * 0x10001;
}

/* ---- timers: an unsorted list, since there are few; position is the index in it plus 1 ---- */

void amb_loop_init(void) {}

void amb_timer_stop(struct amb_timer *timer) {
    if (!timer->position) return;
    struct amb_timer *last = timers[--timer_count];
    timers[timer->position - 1] = last;
    last->position = timer->position;
    timer->position = 0;
}

void amb_timer_set(struct amb_timer *timer, amb_ms at, void (*fn)(void *), void *arg) {
    timer->at = at;
    timer->fn = fn;
    timer->arg = arg;
    if (timer->position) return;
    assert_true(timer_count < TIMERS);
    timers[timer_count++] = timer;
    timer->position = timer_count;
}

void amb_timer_set_after(struct amb_timer *timer, amb_ms delay, void (*fn)(void *), void *arg) {
    amb_timer_set(timer, clock_ms + delay, fn, arg);
}

static struct amb_timer *next_timer(amb_ms until) {
    struct amb_timer *best = NULL;
    for (size_t i = 0; i < timer_count; i++)
        if (timers[i]->at <= until && (!best || timers[i]->at < best->at)) best = timers[i];
    return best;
}

void fake_clock_advance(amb_ms by) {
    amb_ms until = clock_ms + by;
    for (struct amb_timer *timer; (timer = next_timer(until));) {
        if (timer->at > clock_ms) clock_ms = timer->at;
        amb_timer_stop(timer);
        timer->fn(timer->arg);
    }
    clock_ms = until;
}

void fake_clock_reset(void) {
    while (timer_count) amb_timer_stop(timers[0]);
}
