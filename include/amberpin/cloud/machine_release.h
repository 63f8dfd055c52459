/* Scale in by the leader itself: machines are released to the cloud, many in one call. */
#ifndef AMBERPIN_CLOUD_MACHINE_RELEASE_H
#define AMBERPIN_CLOUD_MACHINE_RELEASE_H

#include "amberpin/base/util.h"
#include "amberpin/model/absence_proof.h"
#include "amberpin/model/model.h"

struct amb_node;

enum { AMB_RELEASE_MAX = 100 }; /* machines in one call; the protocol allows no more */

/* The current release call, which is repeated until it is answered. */
struct amb_machine_release {
    bool in_flight;
    amb_ms retry_at; /* the call is not sent before this */
    uint32_t count;  /* of names; 0: no machine is being released */
    char names[AMB_RELEASE_MAX][AMB_NAME_SIZE];
};

/* Marks a machine for release because it is surplus. The cause is a constant text, for the log and, while the
 * holders of duties release machines, for the intent. */
void amb_cloud_scale_in(struct amb_node *node, struct amb_machine *machine, const char *cause);
/* Marks a machine for release because it is unusable or no longer there. The cause is as above. */
void amb_cloud_release(struct amb_node *node, struct amb_machine *machine, const char *cause);
/* Sends a release call for the marked machines, if a call may be made at `now`. */
void amb_cloud_release_tick(struct amb_node *node, amb_ms now);
/* Posts the event that the machine is proven gone. The event's handler frees the machine. */
void amb_cloud_post_machine_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof);

#endif
