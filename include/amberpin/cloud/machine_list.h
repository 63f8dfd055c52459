/* Listings of the cloud's machines, read page by page. A listing shows which machines exist and of which type
 * they are; a complete listing without a machine can prove that the machine is gone. */
#ifndef AMBERPIN_CLOUD_MACHINE_LIST_H
#define AMBERPIN_CLOUD_MACHINE_LIST_H

#include "amberpin/base/util.h"
#include "amberpin/model/model.h"

struct amb_node;

enum amb_machine_list_state {
    AMB_MACHINE_LIST_IDLE,         /* the next listing starts once the listing interval has passed */
    AMB_MACHINE_LIST_PAGE_DUE,     /* the listing continues from the cursor once a call may be made */
    AMB_MACHINE_LIST_PAGE_PENDING, /* a page has been requested */
};

struct amb_machine_list {
    enum amb_machine_list_state state;
    amb_ms started_at;          /* start of the listing in progress, or of the last one */
    uint64_t generation;        /* number of that listing */
    uint32_t page_count;        /* pages of that listing that have been read */
    char cursor[AMB_NAME_SIZE]; /* name of the last machine read; empty: none */
    amb_ms page_requested_at;   /* when the latest page was requested */
    amb_ms page_retry_at;       /* no page is requested before this */
    uint32_t page_failures;     /* consecutive failures of the page that is due */
    bool completed;             /* a complete listing has been read since this controller began to lead */
};

/* Starts a listing if one is due, or continues the one in progress, if a call may be made at `now`. */
void amb_cloud_list_tick(struct amb_node *node, amb_ms now);

#endif
