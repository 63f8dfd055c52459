/* Weighted deficit round robin: weights, buckets, limits and guarantees of teams, and their turns. */
#include "amberpin/placement/wdrr.h"

#include <math.h>

/* A full bucket holds so many times the team's limit, and is refilled in as many seconds. */
static const double BUCKET_LIMITS = 60;
/* Deficits and buckets are sums of fractions. */
static const double ROUNDING = 1e-9;
/* So are the resources that a team uses. */
static const double USAGE_ROUNDING = 1e-6;

/* All known deployments guarantee GPUs and no cores. In cores every team would weigh one and a CPU-heavy
 * task would cost more turns than a GPU-heavy one, so size and weight are counted in the resource
 * that the guarantees name (see docs/design.md). */
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
        team->bucket_capacity = limit > 0 ? BUCKET_LIMITS * limit : INFINITY;
        team->bucket_tokens = team->bucket_capacity;
        team->deficit = 0;
    }
}

void amb_wdrr_refill(struct amb_team *teams, uint32_t team_count, double seconds) {
    for (uint32_t i = 0; i < team_count; i++) {
        struct amb_team *team = &teams[i];
        if (isinf(team->bucket_capacity)) continue;
        team->bucket_tokens = fmin(team->bucket_capacity,
                                   team->bucket_tokens + seconds * team->bucket_capacity / BUCKET_LIMITS);
    }
}

bool amb_wdrr_is_within_limit(const struct amb_team *team, const struct amb_resources *need, double count) {
    if (team->limit.cpus > 0 && team->used.cpus + need->cpus * count > team->limit.cpus + USAGE_ROUNDING)
        return false;
    if (team->limit.gpus > 0 && team->used.gpus + need->gpus * count > team->limit.gpus + USAGE_ROUNDING)
        return false;
    return true;
}

bool amb_wdrr_is_within_guarantee(const struct amb_team *team, const struct amb_resources *need) {
    if (!has_guarantee(team)) return false;
    if (team->guarantee.cpus > 0 && team->used.cpus + need->cpus > team->guarantee.cpus + USAGE_ROUNDING)
        return false;
    if (team->guarantee.gpus > 0 && team->used.gpus + need->gpus > team->guarantee.gpus + USAGE_ROUNDING)
        return false;
    return true;
}

/* What a team's turn came to. */
struct turn_result {
    uint32_t admitted;
    bool saves_up; /* for an item that is larger than its deficit */
};

static bool can_afford(const struct amb_team *team, const struct amb_wdrr_item *item) {
    return team->bucket_tokens + ROUNDING >= item->size && amb_wdrr_is_within_limit(team, &item->need, 1);
}

static void debit(struct amb_team *team, const struct amb_wdrr_item *item) {
    team->deficit -= item->size;
    team->bucket_tokens -= item->size;
}

static struct turn_result take_turn(struct amb_team *team, uint32_t team_index,
                                    const struct amb_wdrr_ops *ops) {
    struct turn_result result = {0, false};
    struct amb_wdrr_item item;
    if (!ops->next(ops->context, team_index, &item)) {
        if (ops->is_idle(ops->context, team_index)) team->deficit = 0; /* idle turns pass on */
        return result;
    }
    /* The cap keeps a shortage from piling up turns that would be taken all at once later; an item larger
     * than a turn still comes up after enough of them. */
    team->deficit = fmin(team->deficit + team->weight, fmax(team->weight, item.size));
    do {
        if (team->deficit + ROUNDING < item.size) {
            result.saves_up = true;
            break;
        }
        if (can_afford(team, &item) && ops->admit(ops->context, team_index, &item) == AMB_WDRR_ADMITTED) {
            debit(team, &item);
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
            if (result.admitted || result.saves_up) may_admit_more = true;
        }
    }
    return admitted;
}
