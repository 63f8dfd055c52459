#include "amberpin/placement/slot_ranking.h"

#include <float.h>
#include <stdlib.h>
#include <string.h>

enum { FIRST_CAPACITY = 64 };
static const double CAN_NOT = -DBL_MAX;

/* Scores of the slots of one zone. winners[1] is the place of the best, winners[i] the better of winners[2i]
 * and winners[2i + 1]; the leaves, one a place, are not stored. Of equals the earlier place wins. */
struct winner_tree {
    double *scores;
    uint32_t *winners;
    uint32_t capacity; /* a power of two */
};

struct shape { /* all that a score depends on beside the slot; zones are chosen when it is asked for */
    struct amb_resources need;
    uint32_t type_mask;
    enum amb_priority priority;
    bool spot, lasting, patient, can_wait, opportunistic;
    bool soon, room_is_made; /* room that is about to come counts; other work makes way, on these terms */
    struct amb_slot_terms terms;
    struct amb_slot_marking marking;
    char image[AMB_NAME_SIZE];
};

struct amb_slot_ranking {
    struct shape shape;
    struct winner_tree zones[AMB_ZONES_MAX];
    uint32_t slots_seen, changes_seen;
    uint64_t last_asked;
};

/* ---- winner trees ---- */

static uint32_t winner_at(const struct winner_tree *tree, uint32_t node) {
    return node >= tree->capacity ? node - tree->capacity : tree->winners[node];
}

static void decide(struct winner_tree *tree, uint32_t node) {
    uint32_t left = winner_at(tree, 2 * node), right = winner_at(tree, 2 * node + 1);
    tree->winners[node] = tree->scores[right] > tree->scores[left] ? right : left;
}

static void tree_grow(struct winner_tree *tree) {
    uint32_t capacity = tree->capacity ? 2 * tree->capacity : FIRST_CAPACITY;
    tree->scores = amb_grow(tree->scores, capacity * sizeof *tree->scores);
    tree->winners = amb_grow(tree->winners, capacity * sizeof *tree->winners);
    for (uint32_t i = tree->capacity; i < capacity; i++) tree->scores[i] = CAN_NOT;
    tree->capacity = capacity;
    for (uint32_t node = capacity - 1; node >= 1; node--) decide(tree, node);
}

static void tree_set(struct winner_tree *tree, uint32_t place, double score) {
    while (place >= tree->capacity) tree_grow(tree);
    if (tree->scores[place] == score) return;
    tree->scores[place] = score;
    for (uint32_t node = (tree->capacity + place) / 2; node >= 1; node /= 2) decide(tree, node);
}

/* ---- shapes ---- */

static bool same_marking(const struct shape *shape, const struct amb_slot_marking *marking) {
    const struct amb_slot_marking *kept = &shape->marking;
    if (kept->any_room_will_do != marking->any_room_will_do) return false;
    if (marking->any_room_will_do) return true;
    return kept->image_gb == marking->image_gb && kept->within_s == marking->within_s &&
           kept->slack_s == marking->slack_s && !strcmp(shape->image, marking->image);
}

static bool same_wish(const struct shape *shape, const struct amb_wish *request) {
    return shape->need.gpus == request->need.gpus && shape->need.cpus == request->need.cpus &&
           shape->need.memory_gb == request->need.memory_gb && shape->type_mask == request->type_mask &&
           shape->priority == request->priority && shape->spot == request->spot &&
           shape->lasting == request->lasting && shape->patient == request->patient &&
           shape->can_wait == request->can_wait && shape->opportunistic == request->opportunistic;
}

static bool same_terms(const struct amb_slot_terms *a, const struct amb_slot_terms *b) {
    return a->cost == b->cost && a->priority == b->priority && a->team == b->team &&
           a->guaranteed == b->guaranteed && a->image_only == b->image_only &&
           a->placed_tasks == b->placed_tasks;
}

/* What is asked for: the wish, the marks, and which room counts. */
struct question {
    const struct amb_wish *wish;
    const struct amb_slot_marking *marking;
    const struct amb_slot_terms *terms; /* NULL: no work makes way */
    bool soon;
};

static bool same_shape(const struct shape *shape, const struct question *question) {
    if (!same_wish(shape, question->wish) || shape->soon != question->soon) return false;
    if (shape->room_is_made != (question->terms != NULL)) return false;
    if (question->terms && !same_terms(&shape->terms, question->terms)) return false;
    return same_marking(shape, question->marking);
}

static void set_shape(struct shape *shape, const struct question *question) {
    const struct amb_wish *request = question->wish;
    *shape = (struct shape){.need = request->need,
                            .type_mask = request->type_mask,
                            .priority = request->priority,
                            .spot = request->spot,
                            .lasting = request->lasting,
                            .patient = request->patient,
                            .can_wait = request->can_wait,
                            .opportunistic = request->opportunistic,
                            .soon = question->soon,
                            .room_is_made = question->terms != NULL,
                            .marking = *question->marking};
    if (question->terms) shape->terms = *question->terms;
    if (!question->marking->any_room_will_do) strcpy(shape->image, question->marking->image);
    shape->marking.image = NULL; /* the name is kept, not who gave it */
}

/* ---- scores ---- */

static double score_of(const struct question *question, const struct amb_slot_list *list, uint32_t i) {
    const struct amb_slot *slot = &list->slots[i];
    double cost;
    if (question->terms)
        return list->cost(list->context, i, question->wish, question->terms, &cost) ? -cost : CAN_NOT;
    if (!amb_place_fits(question->wish, slot, question->soon)) return CAN_NOT;
    list->mark(list->context, i);
    return amb_place_score(question->wish, slot, question->soon);
}

static void score_slot(struct amb_slot_rankings *rankings, struct amb_slot_ranking *ranking,
                       const struct amb_slot_list *list, const struct question *question, uint32_t i) {
    int zone = list->slots[i].zone;
    if (zone >= 0) tree_set(&ranking->zones[zone], rankings->place[i], score_of(question, list, i));
}

/* The places of slots that are new. */
static void place_slots(struct amb_slot_rankings *rankings, const struct amb_slot_list *list) {
    if (rankings->place_room < list->count) {
        rankings->place_room = list->count + list->count / 2;
        rankings->place = amb_grow(rankings->place, rankings->place_room * sizeof *rankings->place);
    }
    for (; rankings->placed < list->count; rankings->placed++) {
        int at = list->slots[rankings->placed].zone;
        if (at < 0) continue;
        struct amb_zone_slots *zone = &rankings->zones[at];
        if (zone->count == zone->room) {
            zone->room = zone->room ? 2 * zone->room : FIRST_CAPACITY;
            zone->slots = amb_grow(zone->slots, zone->room * sizeof *zone->slots);
        }
        rankings->place[rankings->placed] = zone->count;
        zone->slots[zone->count++] = rankings->placed;
    }
}

/* A slot that changed several times is scored once, as it is now: gangs that find no room take and give back
 * the same few again and again. */
static void bring_up_to_date(struct amb_slot_rankings *rankings, struct amb_slot_ranking *ranking,
                             const struct amb_slot_list *list, const struct question *question) {
    for (uint32_t k = ranking->changes_seen; k < rankings->changes; k++) {
        uint32_t slot = rankings->changed[k];
        if (rankings->latest_change[slot] == k && slot < ranking->slots_seen)
            score_slot(rankings, ranking, list, question, slot);
    }
    for (uint32_t i = ranking->slots_seen; i < list->count; i++)
        score_slot(rankings, ranking, list, question, i);
    ranking->changes_seen = rankings->changes;
    ranking->slots_seen = list->count;
}

/* ---- the rankings that are kept ---- */

static void ranking_free(struct amb_slot_ranking *ranking) {
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) {
        free(ranking->zones[zone].scores);
        free(ranking->zones[zone].winners);
    }
    free(ranking);
}

static struct amb_slot_ranking **longest_unused(struct amb_slot_rankings *rankings) {
    struct amb_slot_ranking **oldest = &rankings->kept[0];
    for (uint32_t i = 1; i < rankings->count; i++)
        if (rankings->kept[i]->last_asked < (*oldest)->last_asked) oldest = &rankings->kept[i];
    return oldest;
}

static struct amb_slot_ranking *ranking_of(struct amb_slot_rankings *rankings,
                                           const struct question *question) {
    for (uint32_t i = 0; i < rankings->count; i++)
        if (same_shape(&rankings->kept[i]->shape, question)) return rankings->kept[i];
    struct amb_slot_ranking **free_place = &rankings->kept[rankings->count];
    if (rankings->count < AMB_SLOT_RANKINGS) {
        rankings->count++;
    } else {
        free_place = longest_unused(rankings);
        ranking_free(*free_place);
    }
    *free_place = amb_alloc(sizeof **free_place);
    set_shape(&(*free_place)->shape, question);
    return *free_place;
}

void amb_slot_rankings_changed(struct amb_slot_rankings *rankings, uint32_t slot) {
    if (rankings->changes == rankings->room) {
        rankings->room = rankings->room ? 2 * rankings->room : FIRST_CAPACITY;
        rankings->changed = amb_grow(rankings->changed, rankings->room * sizeof *rankings->changed);
    }
    if (slot >= rankings->latest_room) {
        rankings->latest_room = slot + slot / 2 + FIRST_CAPACITY;
        rankings->latest_change =
            amb_grow(rankings->latest_change, rankings->latest_room * sizeof *rankings->latest_change);
    }
    rankings->latest_change[slot] = rankings->changes;
    rankings->changed[rankings->changes++] = slot;
}

void amb_slot_rankings_free(struct amb_slot_rankings *rankings) {
    for (uint32_t i = 0; i < rankings->count; i++) ranking_free(rankings->kept[i]);
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++) free(rankings->zones[zone].slots);
    free(rankings->changed);
    free(rankings->latest_change);
    free(rankings->place);
    memset(rankings, 0, sizeof *rankings);
}

/* ---- the question ---- */

static int answer(struct amb_slot_rankings *rankings, const struct amb_slot_list *list,
                  const struct question *question) {
    place_slots(rankings, list);
    struct amb_slot_ranking *ranking = ranking_of(rankings, question);
    ranking->last_asked = ++rankings->questions;
    bring_up_to_date(rankings, ranking, list, question);
    int best = -1;
    double best_score = CAN_NOT;
    for (int zone = 0; zone < AMB_ZONES_MAX; zone++) {
        const struct winner_tree *tree = &ranking->zones[zone];
        if (!tree->capacity || !amb_place_zone_allowed(question->wish, zone)) continue;
        uint32_t winner = tree->winners[1];
        double score = tree->scores[winner];
        if (score == CAN_NOT) continue;
        int slot = (int)rankings->zones[zone].slots[winner];
        if (score > best_score || (score == best_score && slot < best)) {
            best = slot;
            best_score = score;
        }
    }
    if (best >= 0) list->mark(list->context, (uint32_t)best);
    return best;
}

int amb_slot_rankings_pick(struct amb_slot_rankings *rankings, const struct amb_slot_list *list,
                           const struct amb_slot_marking *marking, const struct amb_wish *request,
                           bool soon) {
    const struct question question = {.wish = request, .marking = marking, .soon = soon};
    return answer(rankings, list, &question);
}

int amb_slot_rankings_cheapest(struct amb_slot_rankings *rankings, const struct amb_slot_list *list,
                               const struct amb_slot_marking *marking, const struct amb_wish *request,
                               const struct amb_slot_terms *terms) {
    const struct question question = {.wish = request, .marking = marking, .terms = terms, .soon = true};
    return answer(rankings, list, &question);
}
