/* Collects what nodes of one version write to the state service and say to each other, a sample of each
 * form, as JSON. The form of a sample is the set of its fields, each with its path and its kind, such as
 * "value.d.legs=integer"; a text that is a record of its own ("4;7-9;", "1,12,m-000003,0,1,0;") has the kinds
 * of its parts ("9;", "9-9;"). */
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
    SIM_OTHER_RECORDS, /* of no kind that the production version knows */
    SIM_SAMPLE_KINDS,
};

extern const char *const sim_sample_names[SIM_SAMPLE_KINDS];

/* Whose writes and words are collected: nodes of the production version, or of the present one. */
void sim_recorder_start(bool old);
void sim_recorder_stop(void);
const json_t *sim_samples(enum sim_sample_kind kind); /* a list, since sim_recorder_start */
json_t *sim_sample_form(const json_t *sample);        /* an object, its keys the fields; to be released */

#endif
