/* Collects records and messages that nodes of one version write to the state service and send to each other:
 * one sample of each form, as JSON. The form of a sample is the set of its fields, each with path and type,
 * such as "value.d.legs=integer". A string that encodes a record ("4;7-9;", "1,12,m-000003,0,1,0;")
 * contributes the forms of its parts ("9;", "9-9;"). */
#ifndef AMBERPIN_TESTS_RECORDER_H
#define AMBERPIN_TESTS_RECORDER_H

#include <jansson.h>
#include <stdbool.h>

enum sim_sample_kind {
    SIM_JOB_RECORDS,
    SIM_PLACEMENT_BLOCKS,
    SIM_RENTAL_REQUESTS,
    SIM_LEADER_KEYS,
    SIM_LEASE_PROXY_KEYS,
    SIM_REMOVALS,
    SIM_HEARTBEATS,
    SIM_HEARTBEAT_REPLIES,
    SIM_OTHER_RECORDS, /* of a kind that the production version does not know */
    SIM_SAMPLE_KINDS,
};

extern const char *const sim_sample_names[SIM_SAMPLE_KINDS];

/* Starts collecting from nodes of the production version, or else of the present version. */
void sim_recorder_start(bool production);
void sim_recorder_stop(void);
const json_t *sim_samples(enum sim_sample_kind kind); /* list of all samples since sim_recorder_start */
json_t *sim_sample_form(const json_t *sample); /* object whose keys are the fields; the caller releases it */

#endif
