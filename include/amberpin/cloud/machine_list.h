/* The cloud's list of machines, read page by page: which machines there are, of what kind, and which are
 * proven gone because a whole list leaves them out. */
#ifndef AMBERPIN_CLOUD_MACHINE_LIST_H
#define AMBERPIN_CLOUD_MACHINE_LIST_H

#include "amberpin/base/util.h"
#include "amberpin/model/model.h"

struct amb_node;

enum amb_machine_list_state {
    AMB_MACHINE_LIST_IDLE,         /* the next listing starts when its interval has passed */
    AMB_MACHINE_LIST_PAGE_DUE,     /* a listing goes on from the cursor once a call may be made */
    AMB_MACHINE_LIST_PAGE_PENDING, /* a page has been requested */
};

struct amb_machine_list {
    enum amb_machine_list_state state;
    amb_ms started_at;          /* of the listing under way, or of the last */
    uint64_t generation;        /* number of that listing */
    uint32_t page_count;        /* pages that it has had so far */
    char cursor[AMB_NAME_SIZE]; /* the last machine listed; empty: none */
    amb_ms page_requested_at;   /* of the latest page */
    amb_ms page_retry_at;       /* no page is requested before */
    uint32_t page_failures;     /* in a row, of the page that is due */
    bool completed;             /* a whole list has been read since this controller leads */
};

/* Starts a listing, or goes on with the one under way, as far as calls may be made at `now`. */
void amb_cloud_list_tick(struct amb_node *node, amb_ms now);

#endif
