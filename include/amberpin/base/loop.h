/* The event loop: epoll for sockets, a heap for timers. One thread. */
#ifndef AMBERPIN_LOOP_H
#define AMBERPIN_LOOP_H

#include "amberpin/base/util.h"

struct amb_fd_watch { /* a socket in the loop */
    int fd;
    void (*fn)(struct amb_fd_watch *watch, uint32_t events);
    void *arg;
    uint32_t events; /* that it waits for; the loop's own */
};

struct amb_timer { /* zero-initialised; embedded in its owner */
    amb_ms at;
    size_t position; /* place in the heap, counted from 1; 0: not set */
    void (*fn)(void *arg);
    void *arg;
};

void amb_loop_init(void);
void amb_loop_run(void); /* until amb_loop_stop */
void amb_loop_stop(void);
int amb_loop_add(struct amb_fd_watch *watch, uint32_t events);
void amb_loop_mod(struct amb_fd_watch *watch, uint32_t events); /* no system call when they stay the same */
void amb_loop_del(struct amb_fd_watch *watch);

void amb_timer_set(struct amb_timer *timer, amb_ms at, void (*fn)(void *), void *arg);
void amb_timer_in(struct amb_timer *timer, amb_ms delay, void (*fn)(void *), void *arg);
void amb_timer_stop(struct amb_timer *timer);

#endif
