/* The watch on the key-value store: every key below a/ (the leader, its lease proxies, all jobs, duties) is
 * listed once, then every change is read as it comes. Where a decision needs to know all that has happened
 * until now, a fresh read answers. */
#ifndef AMBERPIN_WATCH_WATCH_H
#define AMBERPIN_WATCH_WATCH_H

#include "amberpin/base/loop.h"
#include "amberpin/codec/change_page.h"

struct amb_node;

/* Called when a fresh read has ended; ok false: the changes could not be read. */
typedef void (*amb_fresh_read_callback)(void *context, bool ok);

/* Somebody who waits for a fresh read. */
struct amb_fresh_read {
    amb_fresh_read_callback on_done;
    void *context;
    struct amb_fresh_read *next;
};

struct amb_watch {
    bool loaded;              /* all keys have been listed since the process started */
    uint64_t known_revision;  /* all changes up to here have been applied */
    amb_ms last_read_at;      /* when changes were last read */
    amb_ms last_read_sent_at; /* when the request was sent that was answered last */
    /* Listing, page by page: */
    bool list_in_flight;
    char list_cursor[AMB_STORE_KEY_SIZE]; /* the last key of the page before */
    uint64_t list_revision;               /* of the first page; 0: no page has come */
    bool leader_key_listed;               /* a page has named the leader key */
    /* Watching: */
    bool watch_in_flight;
    amb_ms watch_sent_at;
    struct amb_timer watch_timer;
    /* Fresh reads: those that wait for the next one to be sent, and those that the one in flight answers. */
    struct amb_fresh_read *queued_fresh_reads, *sent_fresh_reads;
    bool fresh_read_in_flight;
    amb_ms fresh_read_sent_at;
    struct amb_timer fresh_read_timer;
};

/* Begins to list, and to watch from there on. */
void amb_watch_start(struct amb_node *node);
/* Calls on_done once all changes up to some moment after this call have been applied. One read answers
 * everybody who asked before it was sent. */
void amb_watch_read_fresh(struct amb_node *node, amb_fresh_read_callback on_done, void *context);

#endif
