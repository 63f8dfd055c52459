/* Scale in: machines released to the cloud by the leader itself, many in one call. */
#ifndef AMBERPIN_CLOUD_MACHINE_RELEASE_H
#define AMBERPIN_CLOUD_MACHINE_RELEASE_H

#include "amberpin/base/util.h"
#include "amberpin/model/absence_proof.h"
#include "amberpin/model/model.h"

struct amb_node;

enum { AMB_RELEASE_MAX = 100 }; /* machines in a call, as the protocol allows */

/* The call that is under way, or is repeated until it is answered. */
struct amb_machine_release {
    bool in_flight;
    amb_ms retry_at; /* not sent before */
    uint32_t count;  /* 0: nothing is being released */
    char names[AMB_RELEASE_MAX][AMB_NAME_SIZE];
};

/* The machine is not needed any more and is to be released. The cause is a constant text, for the log. */
void amb_cloud_scale_in(struct amb_node *node, struct amb_machine *machine, const char *cause);
/* Likewise a machine that can't be used any more, or is not there. */
void amb_cloud_release(struct amb_node *node, struct amb_machine *machine, const char *cause);
/* Sends a call for the machines that are to be released, if one may be made at `now`. */
void amb_cloud_release_tick(struct amb_node *node, amb_ms now);
/* Posts the event that the machine is proven gone. Its handler frees the machine. */
void amb_cloud_post_machine_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof);

#endif
