#include "amberpin/placement/slot_ranking.h"

#include <float.h>
#include <stdlib.h>
#include <string.h>

enum { INITIAL_CAPACITY = 64 };
static const double SCORE_INFEASIBLE = -DBL_MAX;

/* Scores of the slots of one zone. winners[1] is the place of the best, winners[i] the better of winners[2i]
 * and winners[2i + 1]; the leaves, one a place, are not stored. Of equals the earlier place wins. */
struct winner_tree {
    double *scores;
    uint32_t *winners;
    uint32_t capacity; /* a power of two */
};

struct ranking_key { /* all that a score depends on beside the slot; zones are chosen when it is asked for */
    struct amb_resources need;
    uint32_t type_mask;
    enum amb_priority priority;
    bool spot_allowed, long_running, deferrable, can_wait, opportunistic;
    bool include_releasing,
        with_preemption; /* room that is about to come counts; other work makes way, on these terms */
    struct amb_preemption_terms terms;
    struct amb_slot_annotation annotation;
    char image[AMB_NAME_SIZE];
};

struct amb_slot_ranking {
    struct ranking_key key;
    struct winner_tree zones[AMB_ZONES_MAX];
    uint32_t scored_slots, applied_changes;
    uint64_t last_queried;
};

/* ---- winner trees ---- */

static uint32_t get_winner(const struct winner_tree *tree, uint32_t position) {
    return position >= tree->capacity ? position - tree->capacity : tree->winners[position];
}

static void update_winner(struct winner_tree *tree, uint32_t position) {
    uint32_t left = get_winner(tree, 2 * position), right = get_winner(tree, 2 * position + 1);
    tree->winners[position] = tree->scores[right] > tree->scores[left] ? right : left;
}

static void tree_grow(struct winner_tree *tree) {
    uint32_t capacity = tree->capacity ? 2 * tree->capacity : INITIAL_CAPACITY;
    tree->scores = amb_realloc(tree->scores, capacity * sizeof *tree->scores);
    tree->winners = amb_realloc(tree->winners, capacity * sizeof *tree->winners);
    for (uint32_t i = tree->capacity; i < capacity; i++) tree->scores[i] = SCORE_INFEASIBLE;
    tree->capacity = capacity;
    for (uint32_t position = capacity - 1; position >= 1; position--) update_winner(tree, position);
}

static void tree_set(struct winner_tree *tree, uint32_t place, double score) {
    while (place >= tree->capacity) tree_grow(tree);
    if (tree->scores[place] == score) return;
    tree->scores[place] = score;
    for (uint32_t position = (tree->capacity + place) / 2; position >= 1; position /= 2)
        update_winner(tree, position);
}

/* ---- shapes ---- */

static bool is_same_annotation(const struct ranking_key *key, const struct amb_slot_annotation *annotation) {
    const struct amb_slot_annotation *cached = &key->annotation;
    if (cached->ignores_image != annotation->ignores_image) return false;
    if (annotation->ignores_image) return true;
    return cached->image_gb == annotation->image_gb && cached->within_s == annotation->within_s &&
           cached->slack_s == annotation->slack_s && !strcmp(key->image, annotation->image);
}

static bool is_same_request(const struct ranking_key *key, const struct amb_placement_request *request) {
    return key->need.gpus == request->need.gpus && key->need.cpus == request->need.cpus &&
           key->need.memory_gb == request->need.memory_gb && key->type_mask == request->type_mask &&
           key->priority == request->priority && key->spot_allowed == request->spot_allowed &&
           key->long_running == request->long_running && key->deferrable == request->deferrable &&
           key->can_wait == request->can_wait && key->opportunistic == request->opportunistic;
}

static bool is_same_claim(const struct amb_preemption_claim *left, const struct amb_preemption_claim *right) {
    return left->priority == right->priority && left->team == right->team &&
           left->within_guarantee == right->within_guarantee;
}

static bool is_same_terms(const struct amb_preemption_terms *left, const struct amb_preemption_terms *right) {
    return left->cost_kind == right->cost_kind && is_same_claim(&left->claim, &right->claim) &&
           left->image_only == right->image_only && left->placed_tasks == right->placed_tasks;
}

/* What is asked for: the wish, the marks, and which room counts. */
struct ranking_query {
    const struct amb_placement_request *request;
    const struct amb_slot_annotation *annotation;
    const struct amb_preemption_terms *terms; /* NULL: no work makes way */
    bool include_releasing;
};

static bool is_key_of(const struct ranking_key *key, const struct ranking_query *query) {
    if (!is_same_request(key, query->request) || key->include_releasing != query->include_releasing)
        return false;
    if (key->with_preemption != (query->terms != NULL)) return false;
    if (query->terms && !is_same_terms(&key->terms, query->terms)) return false;
    return is_same_annotation(key, query->annotation);
}

static void init_key(struct ranking_key *key, const struct ranking_query *query) {
    const struct amb_placement_request *request = query->request;
    *key = (struct ranking_key){.need = request->need,
                                .type_mask = request->type_mask,
                                .priority = request->priority,
                                .spot_allowed = request->spot_allowed,
                                .long_running = request->long_running,
                                .deferrable = request->deferrable,
                                .can_wait = request->can_wait,
                                .opportunistic = request->opportunistic,
                                .include_releasing = query->include_releasing,
                                .with_preemption = query->terms != NULL,
                                .annotation = *query->annotation};
    if (query->terms) key->terms = *query->terms;
    if (!query->annotation->ignores_image) strcpy(key->image, query->annotation->image);
    key->annotation.image = NULL; /* the name is kept, not who gave it */
}

/* ---- scores ---- */

static double compute_score(const struct ranking_query *query, const struct amb_slot_list *list,
                            uint32_t slot_index) {
    const struct amb_slot *slot = &list->slots[slot_index];
    double cost;
    if (query->terms)
        return list->compute_cost(list->context, slot_index, query->request, query->terms, &cost)
                   ? -cost
                   : SCORE_INFEASIBLE;
    if (!amb_placement_is_feasible(query->request, slot, query->include_releasing)) return SCORE_INFEASIBLE;
    list->annotate(list->context, slot_index);
    return amb_placement_score(query->request, slot, query->include_releasing);
}

static void update_slot_score(struct amb_slot_rankings *rankings, struct amb_slot_ranking *ranking,
                              const struct amb_slot_list *list, const struct ranking_query *query,
                              uint32_t slot_index) {
    int zone = list->slots[slot_index].zone;
    if (zone >= 0)
        tree_set(&ranking->zones[zone], rankings->place_in_zone[slot_index],
                 compute_score(query, list, slot_index));
}

/* The places of slots that are new. */
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
        if (zone->count == zone->capacity) {
            zone->capacity = zone->capacity ? 2 * zone->capacity : INITIAL_CAPACITY;
            zone->slots = amb_realloc(zone->slots, zone->capacity * sizeof *zone->slots);
        }
        rankings->place_in_zone[rankings->indexed_count] = zone->count;
        zone->slots[zone->count++] = rankings->indexed_count;
    }
}

/* A slot that changed several times is scored once, as it is now: gangs that find no room take and give back
 * the same few again and again. */
static void refresh_ranking(struct amb_slot_rankings *rankings, struct amb_slot_ranking *ranking,
                            const struct amb_slot_list *list, const struct ranking_query *query) {
    for (uint32_t k = ranking->applied_changes; k < rankings->change_count; k++) {
        uint32_t slot_index = rankings->changed_slots[k];
        if (rankings->latest_change[slot_index] == k && slot_index < ranking->scored_slots)
            update_slot_score(rankings, ranking, list, query, slot_index);
    }
    for (uint32_t i = ranking->scored_slots; i < list->count; i++)
        update_slot_score(rankings, ranking, list, query, i);
    ranking->applied_changes = rankings->change_count;
    ranking->scored_slots = list->count;
}

/* ---- the rankings that are kept ---- */

static void ranking_free(struct amb_slot_ranking *ranking) {
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) {
        free(ranking->zones[zone].scores);
        free(ranking->zones[zone].winners);
    }
    free(ranking);
}

static struct amb_slot_ranking **find_least_recently_used(struct amb_slot_rankings *rankings) {
    struct amb_slot_ranking **oldest = &rankings->cached[0];
    for (uint32_t i = 1; i < rankings->count; i++)
        if (rankings->cached[i]->last_queried < (*oldest)->last_queried) oldest = &rankings->cached[i];
    return oldest;
}

static struct amb_slot_ranking *get_ranking(struct amb_slot_rankings *rankings,
                                            const struct ranking_query *query) {
    for (uint32_t i = 0; i < rankings->count; i++)
        if (is_key_of(&rankings->cached[i]->key, query)) return rankings->cached[i];
    struct amb_slot_ranking **free_place = &rankings->cached[rankings->count];
    if (rankings->count < AMB_SLOT_RANKINGS_MAX) {
        rankings->count++;
    } else {
        free_place = find_least_recently_used(rankings);
        ranking_free(*free_place);
    }
    *free_place = amb_alloc(sizeof **free_place);
    init_key(&(*free_place)->key, query);
    return *free_place;
}

void amb_slot_rankings_note_change(struct amb_slot_rankings *rankings, uint32_t slot_index) {
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
    rankings->latest_change[slot_index] = rankings->change_count;
    rankings->changed_slots[rankings->change_count++] = slot_index;
}

void amb_slot_rankings_free(struct amb_slot_rankings *rankings) {
    for (uint32_t i = 0; i < rankings->count; i++) ranking_free(rankings->cached[i]);
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) free(rankings->zones[zone].slots);
    free(rankings->changed_slots);
    free(rankings->latest_change);
    free(rankings->place_in_zone);
    memset(rankings, 0, sizeof *rankings);
}

/* ---- the question ---- */

static int find_best(struct amb_slot_rankings *rankings, const struct amb_slot_list *list,
                     const struct ranking_query *query) {
    index_new_slots(rankings, list);
    struct amb_slot_ranking *ranking = get_ranking(rankings, query);
    ranking->last_queried = ++rankings->query_count;
    refresh_ranking(rankings, ranking, list, query);
    int best = -1;
    double best_score = SCORE_INFEASIBLE;
    for (int zone = 0; zone < AMB_ZONES_MAX; zone++) {
        const struct winner_tree *tree = &ranking->zones[zone];
        if (!tree->capacity || !amb_placement_is_zone_allowed(query->request, zone)) continue;
        uint32_t winner = tree->winners[1];
        double score = tree->scores[winner];
        if (score == SCORE_INFEASIBLE) continue;
        int slot_index = (int)rankings->zones[zone].slots[winner];
        if (score > best_score || (score == best_score && slot_index < best)) {
            best = slot_index;
            best_score = score;
        }
    }
    if (best >= 0) list->annotate(list->context, (uint32_t)best);
    return best;
}

int amb_slot_rankings_find_best(struct amb_slot_rankings *rankings, const struct amb_slot_list *list,
                                const struct amb_slot_annotation *annotation,
                                const struct amb_placement_request *request, bool include_releasing) {
    const struct ranking_query query = {
        .request = request, .annotation = annotation, .include_releasing = include_releasing};
    return find_best(rankings, list, &query);
}

int amb_slot_rankings_find_cheapest_preemption(struct amb_slot_rankings *rankings,
                                               const struct amb_slot_list *list,
                                               const struct amb_slot_annotation *annotation,
                                               const struct amb_placement_request *request,
                                               const struct amb_preemption_terms *terms) {
    const struct ranking_query query = {
        .request = request, .annotation = annotation, .terms = terms, .include_releasing = true};
    return find_best(rankings, list, &query);
}
