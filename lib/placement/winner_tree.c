/* The winner tree is stored as an implicit binary tree in two arrays. */
#include "winner_tree.h"

#include "amberpin/base/util.h"

#include <stdlib.h>

enum { INITIAL_CAPACITY = 64 };

static uint32_t winner_at(const struct amb_winner_tree *tree, uint32_t position) {
    return position >= tree->capacity ? position - tree->capacity : tree->winners[position];
}

static void update_winner(struct amb_winner_tree *tree, uint32_t position) {
    uint32_t left = winner_at(tree, 2 * position);
    uint32_t right = winner_at(tree, 2 * position + 1);
    tree->winners[position] = tree->scores[right] > tree->scores[left] ? right : left;
}

static void grow(struct amb_winner_tree *tree) {
    uint32_t capacity = tree->capacity ? 2 * tree->capacity : INITIAL_CAPACITY;
    tree->scores = amb_realloc(tree->scores, capacity * sizeof *tree->scores);
    tree->winners = amb_realloc(tree->winners, capacity * sizeof *tree->winners);
    for (uint32_t leaf = tree->capacity; leaf < capacity; leaf++) tree->scores[leaf] = AMB_SCORE_INFEASIBLE;
    tree->capacity = capacity;
    for (uint32_t position = capacity - 1; position >= 1; position--) update_winner(tree, position);
}

void amb_winner_tree_set(struct amb_winner_tree *tree, uint32_t leaf, double score) {
    while (leaf >= tree->capacity) grow(tree);
    if (tree->scores[leaf] == score) return;
    tree->scores[leaf] = score;
    for (uint32_t position = (tree->capacity + leaf) / 2; position >= 1; position /= 2)
        update_winner(tree, position);
}

void amb_winner_tree_free(struct amb_winner_tree *tree) {
    free(tree->scores);
    free(tree->winners);
}
