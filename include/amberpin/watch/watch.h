/* The watch on the key-value store: every key under a/ (the leader, its lease proxies, all jobs, duties) is
 * listed once, and from then on every change is read as it happens. A decision that needs all changes up to
 * now asks for a fresh read. */
#ifndef AMBERPIN_WATCH_WATCH_H
#define AMBERPIN_WATCH_WATCH_H

#include "amberpin/base/loop.h"
#include "amberpin/codec/change_page.h"

struct amb_node;

/* Called when a fresh read has ended. `ok` is false if the changes could not be read. */
typedef void (*amb_fresh_read_callback)(void *context, bool ok);

/* A caller that waits for a fresh read. */
struct amb_fresh_read {
    amb_fresh_read_callback on_done;
    void *context;
    struct amb_fresh_read *next;
};

struct amb_fresh_read_call;

struct amb_watch {
    bool loaded;              /* all keys have been listed since the process started */
    uint64_t known_revision;  /* all changes up to here have been applied */
    amb_ms last_read_at;      /* when a response with changes last arrived */
    amb_ms last_read_sent_at; /* send time of the latest request that was answered */
    /* Listing of all keys, page by page: */
    bool list_in_flight;
    char list_cursor[AMB_STORE_KEY_SIZE]; /* last key of the previous page */
    uint64_t list_revision;               /* of the first page; 0 until it has arrived */
    bool leader_key_listed;               /* a page contained the leader key */
    /* Watching: */
    bool watch_in_flight;
    amb_ms watch_sent_at;
    struct amb_timer watch_timer;
    /* Fresh reads, which are numbered from 1 in the order in which they are sent: */
    struct amb_fresh_read *queued_fresh_reads;    /* callers that wait for the next read */
    struct amb_fresh_read_call *fresh_read_calls; /* owned; the reads in flight, newest first */
    uint32_t fresh_reads_in_flight;
    uint64_t last_fresh_read_sent;    /* number of the newest read; 0: none was sent */
    uint64_t last_fresh_read_applied; /* the greatest number of a read whose changes have been applied */
    struct amb_timer fresh_read_timer;
};

/* Starts the listing, and then the watch from the listing's revision on. */
void amb_watch_start(struct amb_node *node);
/* Calls on_done once all changes up to some moment after this call have been applied. One request answers all
 * callers that asked before it was sent. A read that takes long does not hold up later ones. */
void amb_watch_read_fresh(struct amb_node *node, amb_fresh_read_callback on_done, void *context);
/* Returns the number of the next fresh read. It, and every read with a greater number, is sent after this
 * call. */
uint64_t amb_watch_next_fresh_read(const struct amb_node *node);
/* Returns whether the changes of this fresh read, or of one with a greater number, have been applied. */
bool amb_watch_has_fresh_read(const struct amb_node *node, uint64_t number);
/* Returns whether a fresh read has been requested and not answered. */
bool amb_watch_is_reading_fresh(const struct amb_node *node);

#endif
