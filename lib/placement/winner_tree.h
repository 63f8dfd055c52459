/* A winner tree (tournament tree): maintains the largest of many scores. Changing a score takes logarithmic
 * time. */
#ifndef AMBERPIN_PLACEMENT_WINNER_TREE_H
#define AMBERPIN_PLACEMENT_WINNER_TREE_H

#include <float.h>
#include <stdbool.h>
#include <stdint.h>

/* The score of a candidate that must not win. */
#define AMB_SCORE_INFEASIBLE (-DBL_MAX)

/* winners[1] is the leaf with the largest score, winners[i] the better of winners[2i] and winners[2i + 1].
 * The level of the leaves is not stored. Zero-initialised: an empty tree. */
struct amb_winner_tree {
    double *scores;    /* of each leaf; owned */
    uint32_t *winners; /* leaf indices; owned */
    uint32_t capacity; /* number of leaves; 0 or a power of two */
};

struct amb_winner {
    uint32_t leaf;
    double score; /* AMB_SCORE_INFEASIBLE: there is no winner */
};

void amb_winner_tree_set(struct amb_winner_tree *tree, uint32_t leaf, double score);
/* Of equal scores, the one with the smallest leaf index wins. */
static inline struct amb_winner amb_winner_tree_get_winner(const struct amb_winner_tree *tree) {
    if (!tree->capacity) return (struct amb_winner){0, AMB_SCORE_INFEASIBLE};
    uint32_t leaf = tree->winners[1];
    return (struct amb_winner){leaf, tree->scores[leaf]};
}

/* Frees the memory that the tree owns, but not the struct itself. */
void amb_winner_tree_free(struct amb_winner_tree *tree);

#endif
