/* A team: its quota, and its state in the weighted deficit round robin over the teams. */
#ifndef AMBERPIN_MODEL_TEAM_H
#define AMBERPIN_MODEL_TEAM_H

#include "amberpin/model/limits.h"
#include "amberpin/model/resources.h"

struct amb_team {
    char name[AMB_NAME_SIZE];
    struct amb_resources guarantee, limit; /* 0: none */
    struct amb_resources used;             /* used by tasks that are placed and not proven absent */
    double deficit, bucket_tokens, weight, bucket_capacity;
    bool opportunistic; /* without a guarantee while other teams have one: it uses what they leave idle */
};

#endif
