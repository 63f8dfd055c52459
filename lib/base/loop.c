#include "amberpin/base/loop.h"

#include "amberpin/base/log.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

enum {
    MAX_EVENTS_PER_BATCH = 64,
    FIRST_HEAP_CAPACITY = 64,
    IDLE_WAIT_MS = 1000, /* if no timer is set */
    MAX_WAIT_MS = 60000,
};

static int epoll_fd = -1;
static bool stopping;
static struct amb_timer **heap; /* binary heap in heap[1..timer_count], earliest timer first */
static size_t timer_count, heap_capacity;
/* The batch of events being dispatched. amb_loop_del clears the pointers to a deleted watch. */
static struct epoll_event ready[MAX_EVENTS_PER_BATCH];
static int ready_count;

void amb_loop_init(void) {
    stopping = false;
    if (epoll_fd < 0) epoll_fd = epoll_create1(EPOLL_CLOEXEC);
    if (epoll_fd < 0) {
        amb_error("event loop not started: epoll_create1: %s", strerror(errno));
        exit(1);
    }
}

static void heap_place(size_t index, struct amb_timer *timer) {
    heap[index] = timer;
    timer->position = index;
}

static void heap_sift(size_t index) {
    struct amb_timer *timer = heap[index];
    for (; index > 1 && heap[index / 2]->at > timer->at; index /= 2) heap_place(index, heap[index / 2]);
    for (;;) {
        size_t child = 2 * index;
        if (child > timer_count) break;
        if (child < timer_count && heap[child + 1]->at < heap[child]->at) child++;
        if (heap[child]->at >= timer->at) break;
        heap_place(index, heap[child]);
        index = child;
    }
    heap_place(index, timer);
}

void amb_timer_set(struct amb_timer *timer, amb_ms at, void (*fn)(void *), void *arg) {
    timer->fn = fn;
    timer->arg = arg;
    timer->at = at;
    if (!timer->position) {
        if (timer_count + 2 > heap_capacity) {
            heap_capacity = heap_capacity ? heap_capacity * 2 : FIRST_HEAP_CAPACITY;
            heap = amb_realloc(heap, heap_capacity * sizeof *heap);
        }
        heap_place(++timer_count, timer);
    }
    heap_sift(timer->position);
}

void amb_timer_set_after(struct amb_timer *timer, amb_ms delay, void (*fn)(void *), void *arg) {
    amb_timer_set(timer, amb_now() + delay, fn, arg);
}

void amb_timer_stop(struct amb_timer *timer) {
    size_t i = timer->position;
    if (!i) return;
    timer->position = 0;
    struct amb_timer *last = heap[timer_count--];
    if (last != timer) {
        heap_place(i, last);
        heap_sift(i);
    }
}

int amb_loop_add(struct amb_fd_watch *watch, uint32_t events) {
    watch->events = events;
    struct epoll_event event = {.events = events, .data.ptr = watch};
    return epoll_ctl(epoll_fd, EPOLL_CTL_ADD, watch->fd, &event);
}

void amb_loop_mod(struct amb_fd_watch *watch, uint32_t events) {
    if (watch->events == events) return;
    watch->events = events;
    struct epoll_event event = {.events = events, .data.ptr = watch};
    epoll_ctl(epoll_fd, EPOLL_CTL_MOD, watch->fd, &event);
}

void amb_loop_del(struct amb_fd_watch *watch) {
    epoll_ctl(epoll_fd, EPOLL_CTL_DEL, watch->fd, NULL);
    for (int i = 0; i < ready_count; i++)
        if (ready[i].data.ptr == watch) ready[i].data.ptr = NULL;
}

void amb_loop_stop(void) {
    stopping = true;
}

/* The number of timers run is bounded, so that a timer that is always due again cannot starve the sockets. */
static void run_due_timers(void) {
    amb_ms now = amb_now();
    for (int run = 0; run < MAX_EVENTS_PER_BATCH && timer_count && heap[1]->at <= now; run++) {
        struct amb_timer *timer = heap[1];
        amb_timer_stop(timer);
        timer->fn(timer->arg);
    }
}

static int ms_until_next_timer(void) {
    if (stopping) return 0; /* a timer has stopped the loop */
    amb_ms wait = timer_count ? heap[1]->at - amb_now() : IDLE_WAIT_MS;
    if (wait < 0) return 0;
    return (int)(wait > MAX_WAIT_MS ? MAX_WAIT_MS : wait);
}

void amb_loop_run(void) {
    while (!stopping) {
        run_due_timers();
        ready_count = epoll_wait(epoll_fd, ready, MAX_EVENTS_PER_BATCH, ms_until_next_timer());
        for (int i = 0; i < ready_count; i++) {
            /* After any delay, be it a stall in epoll_wait or a slow handler, timers that have become due,
             * such as the one that fences a leader, must run before events that have arrived since
             * (docs/safety.md). */
            run_due_timers();
            struct amb_fd_watch *watch = ready[i].data.ptr;
            if (watch) watch->fn(watch, ready[i].events);
        }
        ready_count = 0;
    }
}
