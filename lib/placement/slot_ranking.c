/* Rankings of slots, cached by key. A query first updates its ranking from the log of changed slots. */
#include "amberpin/placement/slot_ranking.h"

#include "ranking_key.h"
#include "winner_tree.h"

#include <stdlib.h>
#include <string.h>

enum { INITIAL_CAPACITY = 64 };

struct amb_slot_ranking {
    struct amb_ranking_key key;
    struct amb_winner_tree zones[AMB_ZONES_MAX];
    uint32_t scored_slots;    /* number of slots at the latest query, which scored them all */
    uint32_t applied_changes; /* how many entries of the log of changes have been applied */
    uint64_t last_queried;    /* number of the latest query */
};

/* ---- slots and their changes ---- */

static void append_zone_slot(struct amb_zone_slots *zone, uint32_t slot_index) {
    if (zone->count == zone->capacity) {
        zone->capacity = zone->capacity ? 2 * zone->capacity : INITIAL_CAPACITY;
        zone->slots = amb_realloc(zone->slots, zone->capacity * sizeof *zone->slots);
    }
    zone->slots[zone->count++] = slot_index;
}

/* Assigns each new slot its index within its zone. */
static void index_new_slots(struct amb_slot_rankings *rankings, const struct amb_slot_list *list) {
    if (rankings->place_capacity < list->count) {
        rankings->place_capacity = list->count + list->count / 2;
        rankings->place_in_zone =
            amb_realloc(rankings->place_in_zone, rankings->place_capacity * sizeof *rankings->place_in_zone);
    }
    for (; rankings->indexed_count < list->count; rankings->indexed_count++) {
        int zone_index = list->slots[rankings->indexed_count].zone;
        if (zone_index < 0) continue;
        struct amb_zone_slots *zone = &rankings->zones[zone_index];
        rankings->place_in_zone[rankings->indexed_count] = zone->count;
        append_zone_slot(zone, rankings->indexed_count);
    }
}

static void reserve_change(struct amb_slot_rankings *rankings, uint32_t slot_index) {
    if (rankings->change_count == rankings->change_capacity) {
        rankings->change_capacity =
            rankings->change_capacity ? 2 * rankings->change_capacity : INITIAL_CAPACITY;
        rankings->changed_slots =
            amb_realloc(rankings->changed_slots, rankings->change_capacity * sizeof *rankings->changed_slots);
    }
    if (slot_index >= rankings->latest_change_capacity) {
        rankings->latest_change_capacity = slot_index + slot_index / 2 + INITIAL_CAPACITY;
        rankings->latest_change = amb_realloc(rankings->latest_change, rankings->latest_change_capacity *
                                                                           sizeof *rankings->latest_change);
    }
}

void amb_slot_rankings_mark_changed(struct amb_slot_rankings *rankings, uint32_t slot_index) {
    reserve_change(rankings, slot_index);
    rankings->latest_change[slot_index] = rankings->change_count;
    rankings->changed_slots[rankings->change_count++] = slot_index;
}

/* ---- scores ---- */

static inline double compute_score(const struct amb_ranking_query *query, const struct amb_slot_list *list,
                                   uint32_t slot_index) {
    const struct amb_slot *slot = &list->slots[slot_index];
    if (query->terms) {
        double cost;
        bool is_possible = list->compute_cost(list->context, slot_index, query->request, query->terms, &cost);
        return is_possible ? -cost : AMB_SCORE_INFEASIBLE;
    }
    if (!amb_placement_is_feasible(query->request, slot, query->include_releasing))
        return AMB_SCORE_INFEASIBLE;
    list->annotate(list->context, slot_index);
    return amb_placement_score(query->request, slot, query->include_releasing);
}

static inline void update_slot_score(struct amb_slot_rankings *rankings, struct amb_slot_ranking *ranking,
                                     const struct amb_slot_list *list, const struct amb_ranking_query *query,
                                     uint32_t slot_index) {
    int zone = list->slots[slot_index].zone;
    if (zone < 0) return;
    double score = compute_score(query, list, slot_index);
    amb_winner_tree_set(&ranking->zones[zone], rankings->place_in_zone[slot_index], score);
}

/* A slot that changed several times is scored once, in its present state, because attempts to place a gang
 * that does not fit take and return the same few slots repeatedly. */
static void refresh_ranking(struct amb_slot_rankings *rankings, struct amb_slot_ranking *ranking,
                            const struct amb_slot_list *list, const struct amb_ranking_query *query) {
    for (uint32_t change = ranking->applied_changes; change < rankings->change_count; change++) {
        uint32_t slot_index = rankings->changed_slots[change];
        if (rankings->latest_change[slot_index] == change && slot_index < ranking->scored_slots)
            update_slot_score(rankings, ranking, list, query, slot_index);
    }
    for (uint32_t i = ranking->scored_slots; i < list->count; i++)
        update_slot_score(rankings, ranking, list, query, i);
    ranking->applied_changes = rankings->change_count;
    ranking->scored_slots = list->count;
}

/* ---- the cache ---- */

static void ranking_free(struct amb_slot_ranking *ranking) {
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) amb_winner_tree_free(&ranking->zones[zone]);
    free(ranking);
}

static struct amb_slot_ranking **find_least_recently_used(struct amb_slot_rankings *rankings) {
    struct amb_slot_ranking **oldest = &rankings->cached[0];
    for (uint32_t i = 1; i < rankings->count; i++)
        if (rankings->cached[i]->last_queried < (*oldest)->last_queried) oldest = &rankings->cached[i];
    return oldest;
}

/* Returns an unused cache entry. A full cache evicts the least recently used ranking. */
static struct amb_slot_ranking **make_cache_entry(struct amb_slot_rankings *rankings) {
    if (rankings->count < AMB_SLOT_RANKINGS_MAX) return &rankings->cached[rankings->count++];
    struct amb_slot_ranking **entry = find_least_recently_used(rankings);
    ranking_free(*entry);
    return entry;
}

static struct amb_slot_ranking *get_ranking(struct amb_slot_rankings *rankings,
                                            const struct amb_ranking_query *query) {
    for (uint32_t i = 0; i < rankings->count; i++)
        if (amb_ranking_key_matches(&rankings->cached[i]->key, query)) return rankings->cached[i];
    struct amb_slot_ranking **entry = make_cache_entry(rankings);
    *entry = amb_alloc(sizeof **entry);
    amb_ranking_key_init(&(*entry)->key, query);
    return *entry;
}

void amb_slot_rankings_free(struct amb_slot_rankings *rankings) {
    for (uint32_t i = 0; i < rankings->count; i++) ranking_free(rankings->cached[i]);
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) free(rankings->zones[zone].slots);
    free(rankings->changed_slots);
    free(rankings->latest_change);
    free(rankings->place_in_zone);
    memset(rankings, 0, sizeof *rankings);
}

/* ---- queries ---- */

static int find_best(struct amb_slot_rankings *rankings, const struct amb_slot_list *list,
                     const struct amb_ranking_query *query) {
    index_new_slots(rankings, list);
    struct amb_slot_ranking *ranking = get_ranking(rankings, query);
    ranking->last_queried = ++rankings->query_count;
    refresh_ranking(rankings, ranking, list, query);
    int best = -1;
    double best_score = AMB_SCORE_INFEASIBLE;
    for (int zone = 0; zone < AMB_ZONES_MAX; zone++) {
        const struct amb_winner winner = amb_winner_tree_get_winner(&ranking->zones[zone]);
        if (winner.score == AMB_SCORE_INFEASIBLE) continue;
        if (!amb_placement_is_zone_allowed(query->request, zone)) continue;
        int slot_index = (int)rankings->zones[zone].slots[winner.leaf];
        if (winner.score > best_score || (winner.score == best_score && slot_index < best)) {
            best = slot_index;
            best_score = winner.score;
        }
    }
    if (best >= 0) list->annotate(list->context, (uint32_t)best);
    return best;
}

int amb_slot_rankings_find_best(struct amb_slot_rankings *rankings, const struct amb_slot_list *list,
                                const struct amb_slot_annotation *annotation,
                                const struct amb_placement_request *request, bool include_releasing) {
    const struct amb_ranking_query query = {
        .request = request, .annotation = annotation, .include_releasing = include_releasing};
    return find_best(rankings, list, &query);
}

int amb_slot_rankings_find_cheapest_preemption(struct amb_slot_rankings *rankings,
                                               const struct amb_slot_list *list,
                                               const struct amb_slot_annotation *annotation,
                                               const struct amb_placement_request *request,
                                               const struct amb_preemption_terms *terms) {
    const struct amb_ranking_query query = {
        .request = request, .annotation = annotation, .terms = terms, .include_releasing = true};
    return find_best(rankings, list, &query);
}
