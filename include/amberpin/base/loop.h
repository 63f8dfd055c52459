/* The single-threaded event loop of the process: epoll for sockets, a heap for timers. */
#ifndef AMBERPIN_LOOP_H
#define AMBERPIN_LOOP_H

#include "amberpin/base/util.h"

/* A file descriptor that the loop watches; embedded in its owner, which sets fd, fn and arg. */
struct amb_fd_watch {
    int fd;
    void (*fn)(struct amb_fd_watch *watch, uint32_t events); /* events: EPOLLIN and the like */
    void *arg;
    uint32_t events; /* events it is registered for; maintained by the loop */
};

/* A timer that runs once; embedded in its owner, zero-initialised. */
struct amb_timer {
    amb_ms at;       /* on the monotonic clock */
    size_t position; /* index in the heap, from 1; 0: the timer is not set */
    void (*fn)(void *arg);
    void *arg;
};

/* Creates the epoll instance. Ends the process if that fails. */
void amb_loop_init(void);
/* Runs until amb_loop_stop is called. Due timers run before the first event and between any two events. */
void amb_loop_run(void);
void amb_loop_stop(void);

/* Starts watching the descriptor. Returns a negative value, with errno set, on failure. */
int amb_loop_add(struct amb_fd_watch *watch, uint32_t events);
/* Changes the events that are waited for. Makes no system call if they are unchanged. */
void amb_loop_mod(struct amb_fd_watch *watch, uint32_t events);
/* Stops watching the descriptor and drops its events that were not dispatched yet. Must be called before the
 * descriptor is closed. */
void amb_loop_del(struct amb_fd_watch *watch);

/* Sets the timer, or changes it if it is already set. */
void amb_timer_set(struct amb_timer *timer, amb_ms at, void (*fn)(void *), void *arg);
/* Sets the timer to a time relative to now. */
void amb_timer_set_after(struct amb_timer *timer, amb_ms delay, void (*fn)(void *), void *arg);
/* Cancels the timer. Does nothing if it is not set. */
void amb_timer_stop(struct amb_timer *timer);

#endif
