/* Rental requests: recorded, then asked for, and known by name before anything else is rented for the need.
 */
#ifndef AMBERPIN_RENTAL_REQUESTS_H
#define AMBERPIN_RENTAL_REQUESTS_H

#include "amberpin/cloud/cloud.h"

struct amb_scale_out_kind { /* type and zone: places in the catalogue */
    int type, zone;
    bool spot;
};

void amb_scale_out_tick(struct amb_node *node, amb_ms now);
void amb_scale_out_reset(struct amb_node *node);
struct amb_scale_out_request *amb_scale_out_find(struct amb_node *node, const char *id); /* NULL: none */
void amb_scale_out_remove(struct amb_node *node, struct amb_scale_out_request *request);
/* One that is on record as an order of an earlier leader. */
struct amb_scale_out_request *amb_scale_out_adopt_intent(struct amb_node *node, const char *id,
                                                         const struct amb_scale_out_kind *kind,
                                                         uint32_t count);
/* The cloud has rented this machine to us. */
void amb_scale_out_add_machine(struct amb_node *node, const struct amb_scale_out_kind *kind,
                               const char *name);
/* The request was carried out, with so many machines; or refused for want of capacity. */
void amb_scale_out_note_filled(struct amb_node *node, const struct amb_scale_out_request *request,
                               size_t machine_count);
void amb_scale_out_note_no_capacity(struct amb_node *node, const struct amb_scale_out_request *request);

#endif
