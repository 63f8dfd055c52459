#include "explorer.h"

#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

enum {
    TTL = 1200,
    CALL_TIMEOUT = 50,
    BACKOFF = 100,
    QUIESCE_STEP = 50,
    QUIESCE_FOR = 12 * TTL,
    STEPS_SHOWN = 64,
};

enum choice_kind {
    CHOOSE_DELIVER,
    CHOOSE_DELIVER_TWICE,
    CHOOSE_REFUSE,
    CHOOSE_GIVE_UP,
    CHOOSE_NEWS,
    CHOOSE_TICK,
    CHOOSE_ADVANCE,
    CHOOSE_EXPIRE,
    CHOOSE_KILL,
    CHOOSE_RESTART,
    CHOOSE_DRAIN,
    CHOOSE_PLACE,
    CHOOSE_WITHDRAW,
    CHOICE_KINDS,
};

struct choice {
    uint8_t kind, index;
};

/* A state of the exploration: the protocol model, and how many steps of each limited kind are left. */
struct state {
    struct explorer_limits left;
    struct protocol_model model;
};

/* A 128-bit hash of a whole state, which alone identifies the state: among a million states the chance of a
 * collision is less than one in 10^26. */
struct digest {
    uint64_t half[2];
};

struct visited {
    struct digest digest;
    struct visited *parent;
    struct choice choice;
    UT_hash_handle hh;
};

struct queued {
    struct visited *visited;
    struct queued *next;
    uint32_t depth;
    size_t length;
    uint64_t data[];
};

struct exploration {
    const struct explorer_scenario *scenario;
    struct amb_duty_settings settings;
    struct visited *visited;
    struct queued *first, *last;
    struct explorer_result result;
    uint32_t quiesce_every;
    uint64_t most;
};

/* ---- packed states: words with runs of zeros, which make up most of a state, left out ---- */

struct words {
    uint64_t *data;
    size_t length, capacity;
};

static void add_word(struct words *words, uint64_t word) {
    if (words->length == words->capacity) {
        words->capacity = words->capacity ? words->capacity * 2 : 1024;
        words->data = amb_realloc(words->data, words->capacity * sizeof *words->data);
    }
    words->data[words->length++] = word;
}

static size_t zero_run(const uint64_t *from, size_t left) {
    size_t run = 0;
    while (run < left && !from[run]) run++;
    return run;
}

/* Writes blocks of a head word and literal words. The head holds two counts: of the zeros before the literal
 * words (upper half), and of these words (lower half). */
static void pack(struct words *words, const void *bytes, size_t size) {
    const uint64_t *from = bytes;
    size_t left = size / sizeof *from;
    while (left) {
        size_t zeros = zero_run(from, left);
        size_t head = words->length, count = 0;
        add_word(words, 0);
        from += zeros;
        left -= zeros;
        while (left && (*from || (left > 1 && from[1]))) {
            add_word(words, *from++);
            left--;
            count++;
        }
        words->data[head] = (uint64_t)zeros << 32 | count;
    }
}

static const uint64_t *unpack(const uint64_t *data, void *bytes, size_t size) {
    uint64_t *to = bytes;
    uint64_t *end = to + size / sizeof *to;
    while (to < end) {
        size_t zeros = *data >> 32, count = *data & UINT32_MAX;
        data++;
        memset(to, 0, zeros * sizeof *to);
        to += zeros;
        memcpy(to, data, count * sizeof *to);
        to += count;
        data += count;
    }
    return data;
}

_Static_assert(offsetof(struct state, model) % sizeof(uint64_t) == 0, "states are packed by words");
_Static_assert(sizeof(struct model_member) % sizeof(uint64_t) == 0, "states are packed by words");
_Static_assert(sizeof(struct model_message) % sizeof(uint64_t) == 0, "states are packed by words");

static int compare_messages(const void *left, const void *right) {
    return memcmp(left, right, sizeof(struct model_message));
}

/* Messages may overtake each other, so their order in the array is no part of the state: they are sorted. */
static void pack_state(struct words *words, struct state *state) {
    struct protocol_model *model = &state->model;
    words->length = 0;
    for (uint32_t i = 0; i < model->nmembers; i++) model->members[i].core.intents.entries = NULL;
    qsort(model->messages, model->nmessages, sizeof *model->messages, compare_messages);
    pack(words, state, offsetof(struct state, model.members));
    pack(words, model->members, model->nmembers * sizeof *model->members);
    pack(words, model->messages, model->nmessages * sizeof *model->messages);
}

static void unpack_state(const uint64_t *data, struct state *state) {
    struct protocol_model *model = &state->model;
    data = unpack(data, state, offsetof(struct state, model.members));
    data = unpack(data, model->members, model->nmembers * sizeof *model->members);
    unpack(data, model->messages, model->nmessages * sizeof *model->messages);
}

static uint64_t mix(uint64_t hash, uint64_t word) {
    hash = (hash ^ word) * 0x9fb21c651e98df25ULL;
    return hash ^ (hash >> 35);
}

static struct digest digest_of(const struct words *words) {
    struct digest digest = {{0x243f6a8885a308d3ULL, 0x13198a2e03707344ULL}};
    for (size_t i = 0; i < words->length; i++) {
        digest.half[0] = mix(digest.half[0], words->data[i]);
        digest.half[1] = mix(digest.half[1] + 0x9e3779b97f4a7c15ULL, words->data[i] * 0xd6e8feb86659fd93ULL);
    }
    return digest;
}

/* ---- steps ---- */

static bool spend(uint8_t *left) {
    if (!*left) return false;
    (*left)--;
    return true;
}

static bool is_answer_or_commit(const struct model_message *message) {
    return message->kind == MODEL_ANSWER || message->kind == MODEL_TO_SERVICE;
}

static bool choose_message(struct state *state, struct choice choice) {
    struct protocol_model *model = &state->model;
    if (choice.index >= model->nmessages) return false;
    const struct model_message *message = &model->messages[choice.index];
    bool rental = message->kind == MODEL_TO_CLOUD && message->action.duty == AMB_DUTY_RENT;
    bool answers_call = message->kind == MODEL_ANSWER && message->answer.call;
    bool can_give_up = message->kind == MODEL_ANSWER
                           ? answers_call && message->answer.result != AMB_CALL_NO_ANSWER &&
                                 message->answer.answer != AMB_DUTY_CLOUD_NO_ANSWER
                           : message->kind != MODEL_TO_SEND && !message->given_up;
    switch (choice.kind) {
    case CHOOSE_DELIVER: model_deliver(model, choice.index, false, false); return true;
    case CHOOSE_DELIVER_TWICE:
        if (!is_answer_or_commit(message) || !spend(&state->left.doubles)) return false;
        model_deliver(model, choice.index, true, false);
        return true;
    case CHOOSE_REFUSE:
        if (!rental || !spend(&state->left.refusals)) return false;
        model_deliver(model, choice.index, false, true);
        return true;
    default:
        if (!can_give_up || !spend(&state->left.give_ups)) return false;
        model_give_up(model, choice.index);
        return true;
    }
}

static bool choose_member(const struct exploration *exploration, struct state *state, struct choice choice) {
    struct protocol_model *model = &state->model;
    uint32_t i = choice.index;
    if (i >= model->nmembers) return false;
    struct model_member *member = &model->members[i];
    if (choice.kind == CHOOSE_RESTART) {
        if (member->running || !spend(&state->left.restarts)) return false;
        model_start(model, i, &exploration->settings, i);
        return true;
    }
    if (!member->running) return false;
    switch (choice.kind) {
    case CHOOSE_NEWS: return model_news(model, i);
    case CHOOSE_TICK:
        model_tick(model, i);
        member->ticked_at = 0; /* a tick that changes nothing leads to the same state */
        return true;
    case CHOOSE_KILL:
        if (!spend(&state->left.kills)) return false;
        model_kill(model, i);
        return true;
    default:
        if (member->core.duties[exploration->scenario->duty].state != AMB_DUTY_HELD ||
            !spend(&state->left.drains))
            return false;
        model_step(
            model, i,
            (struct amb_duty_event){.type = AMB_DUTY_DRAIN_REQUESTED, .duty = exploration->scenario->duty});
        return true;
    }
}

/* Takes the step. Returns false if it is not possible in this state. */
static bool choose(const struct exploration *exploration, struct state *state, struct choice choice) {
    struct protocol_model *model = &state->model;
    switch (choice.kind) {
    case CHOOSE_DELIVER:
    case CHOOSE_DELIVER_TWICE:
    case CHOOSE_REFUSE:
    case CHOOSE_GIVE_UP: return choose_message(state, choice);
    case CHOOSE_ADVANCE:
        /* The state service ends due leases first: its lateness is far less than the quantum. */
        if (choice.index || model_next_expiry(model) <= model_service_clock(model) ||
            !spend(&state->left.advances))
            return false;
        model->now += exploration->scenario->quantum;
        model_check(model);
        return true;
    case CHOOSE_EXPIRE: return !choice.index && model_expire(model);
    case CHOOSE_PLACE:
        return choice.index < exploration->scenario->intents && state->left.placements &&
               model_place(model, choice.index) && spend(&state->left.placements);
    case CHOOSE_WITHDRAW:
        return choice.index < exploration->scenario->intents && state->left.withdrawals &&
               model_withdraw(model, choice.index) && spend(&state->left.withdrawals);
    default: return choose_member(exploration, state, choice);
    }
}

static uint32_t choices_of(const struct state *state, uint8_t kind) {
    switch (kind) {
    case CHOOSE_DELIVER:
    case CHOOSE_DELIVER_TWICE:
    case CHOOSE_REFUSE:
    case CHOOSE_GIVE_UP: return state->model.nmessages;
    case CHOOSE_ADVANCE:
    case CHOOSE_EXPIRE: return 1;
    case CHOOSE_PLACE:
    case CHOOSE_WITHDRAW: return MODEL_INTENTS;
    default: return state->model.nmembers;
    }
}

/* ---- the search ---- */

static const char *const choice_names[CHOICE_KINDS] = {
    "deliver", "deliver-twice", "refuse",  "give-up", "news",  "tick",    "advance",
    "expire",  "kill",          "restart", "drain",   "place", "withdraw"};

static void tell_path(struct explorer_result *result, const struct visited *at, struct choice last) {
    struct choice steps[STEPS_SHOWN] = {last};
    uint32_t count = 1;
    for (; at->parent && count < STEPS_SHOWN; at = at->parent) steps[count++] = at->choice;
    size_t length = 0;
    while (count-- && length < sizeof result->trace)
        length += (size_t)snprintf(result->trace + length, sizeof result->trace - length, " %s:%u",
                                   choice_names[steps[count].kind], steps[count].index);
}

static void enqueue(struct exploration *exploration, const struct words *words, struct visited *entry,
                    uint32_t depth) {
    struct queued *queued = amb_alloc(sizeof *queued + words->length * sizeof *words->data);
    queued->visited = entry;
    queued->depth = depth;
    queued->length = words->length;
    memcpy(queued->data, words->data, words->length * sizeof *words->data);
    if (exploration->last)
        exploration->last->next = queued;
    else
        exploration->first = queued;
    exploration->last = queued;
}

/* Adds a state. Returns false if it was visited before. */
static bool visit(struct exploration *exploration, struct words *words, struct state *state,
                  struct visited *parent, struct choice choice, uint32_t depth) {
    pack_state(words, state);
    struct digest digest = digest_of(words);
    struct visited *entry;
    HASH_FIND(hh, exploration->visited, &digest, sizeof digest, entry);
    if (entry) return false;
    entry = amb_alloc(sizeof *entry);
    entry->digest = digest;
    entry->parent = parent;
    entry->choice = choice;
    HASH_ADD(hh, exploration->visited, digest, sizeof digest, entry);
    exploration->result.states++;
    if (depth > exploration->result.depth) exploration->result.depth = depth;
    enqueue(exploration, words, entry, depth);
    return true;
}

static void found(struct exploration *exploration, const char *violation, const struct visited *at,
                  struct choice last) {
    if (exploration->result.violation) return;
    exploration->result.violation = violation;
    tell_path(&exploration->result, at, last);
}

static void expand(struct exploration *exploration, const struct queued *queued, struct state *state,
                   struct words *words) {
    struct state *next = amb_alloc(sizeof *next);
    bool fresh = false; /* `next` is still the queued state, because the last step was not possible */
    for (int kind = 0; kind < CHOICE_KINDS; kind++) {
        uint32_t count = choices_of(state, (uint8_t)kind);
        for (uint32_t index = 0; index < count && !exploration->result.violation; index++) {
            struct choice choice = {(uint8_t)kind, (uint8_t)index};
            if (!fresh) unpack_state(queued->data, next);
            fresh = !choose(exploration, next, choice);
            if (fresh) continue;
            exploration->result.steps++;
            if (next->model.violation)
                found(exploration, next->model.violation, queued->visited, choice);
            else
                visit(exploration, words, next, queued->visited, choice, queued->depth + 1);
        }
    }
    free(next);
}

/* Runs one of quiesce_every states without faults until it has quiesced, and checks the rules for that. */
static void check_quiescence(struct exploration *exploration, const struct queued *queued,
                             struct state *state) {
    if (!exploration->quiesce_every || queued->visited->digest.half[0] % exploration->quiesce_every) return;
    exploration->result.quiesced++;
    model_quiesce(&state->model, QUIESCE_STEP, QUIESCE_FOR);
    if (state->model.violation)
        found(exploration, state->model.violation, queued->visited, (struct choice){CHOOSE_ADVANCE, 0});
}

static struct amb_duty_settings small_settings(const struct explorer_scenario *scenario) {
    struct amb_duty_settings settings = amb_duty_settings_default(TTL, 3 * (amb_ms)TTL);
    for (int i = 0; i < AMB_DUTY_COUNT; i++) settings.enabled[i] = i == (int)scenario->duty;
    settings.safety_margin = 0; /* the allowance for drift alone must cover drift */
    settings.call_timeout = CALL_TIMEOUT;
    settings.backoff = BACKOFF;
    int32_t drift = scenario->service_drift_ppm > -scenario->member_drift_ppm ? scenario->service_drift_ppm
                                                                              : -scenario->member_drift_ppm;
    if (drift > (int32_t)settings.drift_ppm) settings.drift_ppm = (uint32_t)drift;
    return settings;
}

/* Initial state: the members have joined, and the duty has a holder. */
static void begin(struct exploration *exploration, struct state *state) {
    const struct explorer_scenario *scenario = exploration->scenario;
    struct protocol_model *model = &state->model;
    model_init(model, scenario->members);
    model->repeatable_random = true;
    model->instant_incarnations = scenario->instant_incarnations;
    model->service.drift_ppm = scenario->service_drift_ppm;
    for (uint32_t i = 0; i < scenario->members; i++) {
        model->members[i].drift_ppm = scenario->member_drift_ppm;
        model_start(model, i, &exploration->settings, i);
    }
    model_quiesce(model, QUIESCE_STEP, 3 * (amb_ms)TTL);
    model->mutation = scenario->mutation;
    for (uint32_t i = 0; i < scenario->members; i++) model->members[i].ticked_at = 0;
    for (uint32_t i = 0; i < scenario->intents; i++) model_create_intent(model, i, scenario->duty);
    state->left = scenario->limits;
}

static void clear(struct exploration *exploration) {
    struct visited *entry = exploration->visited;
    while (exploration->first) {
        struct queued *queued = exploration->first;
        exploration->first = queued->next;
        free(queued);
    }
    HASH_CLEAR(hh, exploration->visited); /* the entries stay, as a list */
    while (entry) {
        struct visited *next = entry->hh.next;
        free(entry);
        entry = next;
    }
}

struct explorer_result explorer_run(const struct explorer_scenario *scenario, uint64_t most,
                                    uint32_t quiesce_every) {
    struct exploration exploration = {.scenario = scenario, .quiesce_every = quiesce_every, .most = most};
    struct words words = {0};
    struct state *state = amb_alloc(sizeof *state);
    exploration.settings = small_settings(scenario);
    begin(&exploration, state);
    exploration.result.violation = state->model.violation;
    visit(&exploration, &words, state, NULL, (struct choice){0}, 0);
    while (exploration.first && !exploration.result.violation && exploration.result.states < most) {
        struct queued *queued = exploration.first;
        exploration.first = queued->next;
        if (!exploration.first) exploration.last = NULL;
        unpack_state(queued->data, state);
        expand(&exploration, queued, state, &words);
        if (!exploration.result.violation) {
            unpack_state(queued->data, state);
            check_quiescence(&exploration, queued, state);
        }
        free(queued);
    }
    exploration.result.complete = !exploration.first && !exploration.result.violation;
    clear(&exploration);
    free(words.data);
    free(state);
    return exploration.result;
}
