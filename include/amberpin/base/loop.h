/* The event loop of the process: epoll for sockets, a heap for timers. One thread. */
#ifndef AMBERPIN_LOOP_H
#define AMBERPIN_LOOP_H

#include "amberpin/base/util.h"

/* A file descriptor that the loop waits on; embedded in its owner, which sets fd, fn and arg. */
struct amb_fd_watch {
    int fd;
    void (*fn)(struct amb_fd_watch *watch, uint32_t events); /* events: EPOLLIN and the like */
    void *arg;
    uint32_t events; /* that it waits for; the loop's own */
};

/* A timer that runs once; embedded in its owner, zero-initialised. */
struct amb_timer {
    amb_ms at;       /* on the steady clock */
    size_t position; /* in the heap, counted from 1; 0: not set */
    void (*fn)(void *arg);
    void *arg;
};

/* Ends the process when there is no epoll. */
void amb_loop_init(void);
/* Returns after amb_loop_stop. Timers that are due run before events, and between any two of them. */
void amb_loop_run(void);
void amb_loop_stop(void);

/* Negative: it can't be watched, with errno set. */
int amb_loop_add(struct amb_fd_watch *watch, uint32_t events);
/* Costs no system call when the events stay the same. */
void amb_loop_mod(struct amb_fd_watch *watch, uint32_t events);
/* Its events that are not handed out yet are dropped. To be called before the descriptor is closed. */
void amb_loop_del(struct amb_fd_watch *watch);

/* Sets the timer, or sets it anew. */
void amb_timer_set(struct amb_timer *timer, amb_ms at, void (*fn)(void *), void *arg);
/* The same, to a time from now. */
void amb_timer_set_after(struct amb_timer *timer, amb_ms delay, void (*fn)(void *), void *arg);
/* Does nothing when it is not set. */
void amb_timer_stop(struct amb_timer *timer);

#endif
