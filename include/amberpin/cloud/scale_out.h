/* Rental requests: recorded, then asked for, and known by name before anything else is rented for the need.
 */
#ifndef AMBERPIN_RENTAL_REQUESTS_H
#define AMBERPIN_RENTAL_REQUESTS_H

#include "amberpin/cloud/cloud.h"

struct amb_rental_kind { /* type and zone: places in the catalogue */
    int type, zone;
    bool spot;
};

void amb_rental_requests_tick(struct amb_node *node, amb_ms now);
void amb_rental_requests_clear(struct amb_node *node);
struct amb_rental_request *amb_rental_request_find(struct amb_node *node, const char *id); /* NULL: none */
void amb_rental_request_drop(struct amb_node *node, struct amb_rental_request *request);
/* One that is on record as an order of an earlier leader. */
struct amb_rental_request *amb_rental_request_ordered(struct amb_node *node, const char *id,
                                                      const struct amb_rental_kind *kind, uint32_t count);
/* The cloud has rented this machine to us. */
void amb_rental_learn(struct amb_node *node, const struct amb_rental_kind *kind, const char *name);
/* The request was carried out, with so many machines; or refused for want of capacity. */
void amb_rental_filled(struct amb_node *node, const struct amb_rental_request *request, size_t got);
void amb_rental_no_capacity(struct amb_node *node, const struct amb_rental_request *request);

#endif
