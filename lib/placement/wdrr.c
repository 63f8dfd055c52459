/* Weighted deficit round robin: weights, buckets, limits and guarantees of teams, and their turns. */
#include "amberpin/placement/wdrr.h"

#include <math.h>

/* A bucket holds the team's limit times this many seconds, and fills up in that time. */
static const double BUCKET_FILL_S = 60;
/* For rounding errors in deficits and buckets, which are sums of fractions. */
static const double ROUNDING_TOLERANCE = 1e-9;
/* For rounding errors in the resources that a team uses. */
static const double USAGE_TOLERANCE = 1e-6;

/* All known deployments guarantee GPUs and no cores. Measured in cores, every team would have a weight of 1
 * and a CPU-heavy task would take more turns than a GPU-heavy one. So sizes and weights are measured in the
 * resource that the guarantees name (docs/design.md). */
double amb_wdrr_item_size(const struct amb_resources *need, bool sized_by_gpus) {
    double size = sized_by_gpus ? need->gpus : need->cpus;
    return size > 0 ? size : 1;
}

bool amb_wdrr_is_sized_by_gpus(const struct amb_team *teams, uint32_t team_count) {
    for (uint32_t i = 0; i < team_count; i++)
        if (teams[i].guarantee.gpus > 0) return true;
    return false;
}

static bool has_guarantee(const struct amb_team *team) {
    return team->guarantee.gpus > 0 || team->guarantee.cpus > 0;
}

static bool has_any_guarantee(const struct amb_team *teams, uint32_t team_count) {
    for (uint32_t i = 0; i < team_count; i++)
        if (has_guarantee(&teams[i])) return true;
    return false;
}

void amb_wdrr_prepare(struct amb_team *teams, uint32_t team_count, bool sized_by_gpus) {
    bool any_guaranteed = has_any_guarantee(teams, team_count);
    for (uint32_t i = 0; i < team_count; i++) {
        struct amb_team *team = &teams[i];
        double guarantee = sized_by_gpus ? team->guarantee.gpus : team->guarantee.cpus;
        double limit = sized_by_gpus ? team->limit.gpus : team->limit.cpus;
        team->weight = fmax(1, guarantee);
        team->opportunistic = any_guaranteed && !has_guarantee(team);
        team->bucket_capacity = limit > 0 ? BUCKET_FILL_S * limit : INFINITY;
        team->bucket_tokens = team->bucket_capacity;
        team->deficit = 0;
    }
}

void amb_wdrr_refill(struct amb_team *teams, uint32_t team_count, double seconds) {
    for (uint32_t i = 0; i < team_count; i++) {
        struct amb_team *team = &teams[i];
        if (isinf(team->bucket_capacity)) continue;
        team->bucket_tokens = fmin(team->bucket_capacity,
                                   team->bucket_tokens + seconds * team->bucket_capacity / BUCKET_FILL_S);
    }
}

bool amb_wdrr_is_within_limit(const struct amb_team *team, const struct amb_resources *need, double count) {
    if (team->limit.cpus > 0 && team->used.cpus + need->cpus * count > team->limit.cpus + USAGE_TOLERANCE)
        return false;
    if (team->limit.gpus > 0 && team->used.gpus + need->gpus * count > team->limit.gpus + USAGE_TOLERANCE)
        return false;
    return true;
}

bool amb_wdrr_is_within_guarantee(const struct amb_team *team, const struct amb_resources *need) {
    if (!has_guarantee(team)) return false;
    if (team->guarantee.cpus > 0 && team->used.cpus + need->cpus > team->guarantee.cpus + USAGE_TOLERANCE)
        return false;
    if (team->guarantee.gpus > 0 && team->used.gpus + need->gpus > team->guarantee.gpus + USAGE_TOLERANCE)
        return false;
    return true;
}

/* The outcome of a team's turn. */
struct turn_result {
    uint32_t admitted;
    bool accumulates_deficit; /* the next item is larger than the deficit counter; later turns add to it */
};

static bool can_afford(const struct amb_team *team, const struct amb_wdrr_item *item) {
    return team->bucket_tokens + ROUNDING_TOLERANCE >= item->size &&
           amb_wdrr_is_within_limit(team, &item->need, 1);
}

static void charge(struct amb_team *team, const struct amb_wdrr_item *item) {
    team->deficit -= item->size;
    team->bucket_tokens -= item->size;
}

static struct turn_result take_turn(struct amb_team *team, uint32_t team_index,
                                    const struct amb_wdrr_ops *ops) {
    struct turn_result result = {0, false};
    struct amb_wdrr_item item;
    if (!ops->next(ops->context, team_index, &item)) {
        if (ops->is_idle(ops->context, team_index)) team->deficit = 0; /* an idle team saves nothing up */
        return result;
    }
    /* Without the cap, a team could save up turns during a shortage and use them all at once afterwards. An
     * item that is larger than one turn is still admitted after enough turns. */
    team->deficit = fmin(team->deficit + team->weight, fmax(team->weight, item.size));
    do {
        if (team->deficit + ROUNDING_TOLERANCE < item.size) {
            result.accumulates_deficit = true;
            break;
        }
        if (can_afford(team, &item) && ops->admit(ops->context, team_index, &item) == AMB_WDRR_ADMITTED) {
            charge(team, &item);
            result.admitted++;
        } else {
            ops->skip(ops->context, team_index, &item);
        }
    } while (ops->next(ops->context, team_index, &item));
    return result;
}

uint32_t amb_wdrr_run(struct amb_team *teams, uint32_t team_count, uint32_t first_team,
                      const struct amb_wdrr_ops *ops) {
    uint32_t admitted = 0;
    bool may_admit_more = true;
    while (may_admit_more) {
        may_admit_more = false;
        for (uint32_t turn = 0; turn < team_count; turn++) {
            uint32_t team_index = (first_team + turn) % team_count;
            const struct turn_result result = take_turn(&teams[team_index], team_index, ops);
            admitted += result.admitted;
            if (result.admitted || result.accumulates_deficit) may_admit_more = true;
        }
    }
    return admitted;
}
