/* Reading the state service: every key below a/ (the leader, its deputies, all jobs) is listed once, then
 * watched. */
#ifndef AMBERPIN_CHANGE_FEED_H
#define AMBERPIN_CHANGE_FEED_H

#include "amberpin/base/util.h"

struct amb_node;

struct amb_fresh_read { /* somebody who waits for a fresh read */
    void (*fn)(void *arg, bool ok);
    void *arg;
    struct amb_fresh_read *next;
};

void amb_watch_start(struct amb_node *node);
/* Calls fn once all changes up to some moment after this call have been applied; ok false: they could not be
 * read. One read answers everybody who asked before it was sent. */
void amb_watch_read_fresh(struct amb_node *node, void (*fn)(void *arg, bool ok), void *arg);

#endif
