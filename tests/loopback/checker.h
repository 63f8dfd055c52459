/* Checks a run by the stand-ins' event log alone, without the controllers' own view. */
#ifndef AMBERPIN_TESTS_LOOPBACK_CHECKER_H
#define AMBERPIN_TESTS_LOOPBACK_CHECKER_H

#include "event_log.h"

enum proof_violation_type {
    PROOF_RENTED_TWICE,      /* a request took effect twice, or one machine came from two requests */
    PROOF_TOKEN_FELL,        /* a duty's token did not rise when its record named a holder again */
    PROOF_STALE_ORDER,       /* an order under an old token, or a withdrawn one, took effect */
    PROOF_UNRECORDED,        /* an order took effect before it was recorded as sent */
    PROOF_RETURNED_IN_USE,   /* a machine with tasks was returned and had not been given up */
    PROOF_PLACED_LEAVING,    /* a task started on a machine after its mark */
    PROOF_RETURNED_UNMARKED, /* a machine was returned that no order had marked */
    PROOF_ORPHAN,            /* at the end a machine is charged that nobody uses or returns */
    PROOF_VIOLATION_TYPES,
};

struct proof_violation {
    enum proof_violation_type type;
    size_t event; /* index in the log */
};

struct proof_verdict {
    uint32_t handovers; /* changes of a duty's holder; the first holder does not count */
    uint32_t again;     /* claims by the same holder again */
    uint32_t rents, returns, repeats, stale_refused;
    uint32_t late; /* orders that took effect after their holder was replaced, and did no harm */
    uint32_t starts, incidents;
    uint32_t violations;
    struct proof_violation first[16]; /* the first of them */
};

/* Which rules apply to a run. */
struct proof_terms {
    bool recorded;       /* orders have records (duties on); otherwise the leader calls the cloud directly */
    bool tokens_checked; /* the cloud checks tokens and refuses orders under old ones */
};

void proof_check(const struct proof_log *log, struct proof_terms terms, struct proof_verdict *verdict);

const char *proof_violation_text(enum proof_violation_type type);

#endif
