#include "simulation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    STEP = 5, /* ms */
    TTL = 3000,
    LIST_SPAN = 8000, /* longer than any message is in flight */
    FAULTS_END = 240000,
    FAULTS_BEGIN = 8000,
    QUIESCE_FOR = 60000, /* ms without faults at the end */
    DRIFT_PPM = 500,
    LATENESS = 100,
    SHORT_DELAY = 20,
    MEDIUM_DELAY = 1000,
    LONG_DELAY = 5000,
    ARMED_FOR = 10000, /* ms that a fault waits for its moment */
    CALM_GAP = 15000,
    CALM_LENGTH = 6000,
};

struct simulation {
    const struct simulation_scenario *scenario;
    struct protocol_model *model;
    struct amb_duty_settings settings;
    uint64_t random;
    bool quiescing;
    amb_ms losses_until, outage_until, next_order_at;
    amb_ms cut_until[MODEL_MEMBERS], restart_at[MODEL_MEMBERS];
    bool injected[SIMULATION_FAULTS];
    amb_ms vacant_since[AMB_DUTY_COUNT]; /* -1: the duty has a holder */
    struct simulation_result result;
};

/* ---- random numbers ---- */

static uint64_t draw(uint64_t *random) {
    uint64_t mixed = *random += 0x9e3779b97f4a7c15ULL;
    mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111ebULL;
    return mixed ^ (mixed >> 31);
}

static uint32_t below(uint64_t *random, uint32_t limit) {
    return (uint32_t)(draw(random) % limit);
}

static bool chance(struct simulation *simulation, uint32_t per_thousand) {
    return below(&simulation->random, 1000) < per_thousand;
}

/* ---- scenarios ---- */

static struct simulation_fault draw_fault(uint64_t *random, bool calm) {
    struct simulation_fault fault = {
        .kind = (enum simulation_fault_kind)below(random, calm ? SIMULATION_CUT : SIMULATION_FAULT_KINDS),
        .moment = (enum simulation_moment)below(random, SIMULATION_MOMENTS),
        .duty = (enum amb_duty_name)below(random, AMB_DUTY_COUNT),
        .at = FAULTS_BEGIN + below(random, FAULTS_END - FAULTS_BEGIN),
        .length = 200 + below(random, 3 * TTL)};
    if (calm && !below(random, 3)) fault.kind = SIMULATION_DRAIN;
    if (calm) fault.length = CALM_LENGTH;
    return fault;
}

struct simulation_scenario simulation_generate(uint64_t seed) {
    struct simulation_scenario scenario = {.seed = seed, .calm = seed % 4 == 0};
    uint64_t random = seed * 0x2545f4914f6cdd1dULL + 1;
    scenario.members = 3 + below(&random, 5);
    scenario.nfaults = scenario.calm ? (FAULTS_END - FAULTS_BEGIN) / CALM_GAP : SIMULATION_FAULTS;
    for (uint32_t i = 0; i < scenario.nfaults; i++) {
        scenario.faults[i] = draw_fault(&random, scenario.calm);
        if (!scenario.calm) continue;
        scenario.faults[i].at = FAULTS_BEGIN + (amb_ms)i * CALM_GAP;
        scenario.faults[i].moment = SIMULATION_AT_ONCE;
    }
    return scenario;
}

/* ---- messages ---- */

static bool paused(const struct simulation *simulation, uint32_t member) {
    return simulation->model->now < simulation->model->members[member].paused_until;
}

static bool cut_off(const struct simulation *simulation, uint32_t member) {
    return simulation->model->now < simulation->outage_until ||
           simulation->model->now < simulation->cut_until[member];
}

static amb_ms draw_delay(struct simulation *simulation) {
    uint32_t kind = below(&simulation->random, 1000);
    bool troubled = simulation->model->now < simulation->losses_until;
    if (simulation->scenario->calm || simulation->quiescing)
        return 1 + below(&simulation->random, SHORT_DELAY);
    if (kind < (troubled ? 50U : 4U)) return 1 + below(&simulation->random, LONG_DELAY);
    if (kind < (troubled ? 200U : 20U)) return 1 + below(&simulation->random, MEDIUM_DELAY);
    return 1 + below(&simulation->random, SHORT_DELAY);
}

/* Draws when new messages arrive. Some are lost: their sender times out. */
static void schedule_new(struct simulation *simulation) {
    struct protocol_model *model = simulation->model;
    for (uint32_t i = 0; i < model->nmessages; i++) {
        struct model_message *message = &model->messages[i];
        if (message->due) continue;
        bool lossy = !simulation->scenario->calm && !simulation->quiescing &&
                     message->kind != MODEL_TO_SEND &&
                     (message->kind != MODEL_ANSWER || message->answer.call);
        message->due = model->now + draw_delay(simulation);
        if (message->kind == MODEL_ANSWER && message->answer.result == AMB_CALL_NO_ANSWER) continue;
        if (lossy && !message->given_up &&
            chance(simulation, model->now < simulation->losses_until ? 200 : 10)) {
            model_give_up(model, i);
            model->messages[i].due = model->now + 1 + below(&simulation->random, LONG_DELAY);
        }
    }
}

static bool from_service(const struct model_message *message) {
    return message->kind == MODEL_ANSWER && message->answer.type != AMB_DUTY_CLOUD_ANSWERED;
}

/* Applies a cut or an outage to a message that is due. Returns false if the message can be delivered. */
static bool meets_cut(struct simulation *simulation, uint32_t index) {
    struct protocol_model *model = simulation->model;
    struct model_message *message = &model->messages[index];
    if (!cut_off(simulation, message->member)) return false;
    if (message->kind == MODEL_TO_SERVICE) {
        if (!message->given_up) model_give_up(model, index);
        model_drop(model, index);
        return true;
    }
    if (!from_service(message)) return false;
    if (!message->answer.call) {
        model_drop(model, index);
        return true;
    }
    model_give_up(model, index);
    return false;
}

static void deliver_due(struct simulation *simulation) {
    struct protocol_model *model = simulation->model;
    for (uint32_t i = 0; i < model->nmessages && !model->violation;) {
        struct model_message *message = &model->messages[i];
        bool waits = message->kind == MODEL_ANSWER || message->kind == MODEL_TO_SEND;
        if (!message->due || message->due > model->now || (waits && paused(simulation, message->member))) {
            i++;
            continue;
        }
        if (meets_cut(simulation, i)) continue;
        bool twice = !simulation->scenario->calm && !simulation->quiescing && chance(simulation, 20) &&
                     (message->kind == MODEL_ANSWER || message->kind == MODEL_TO_SERVICE);
        if (twice) message->due = model->now + 1 + below(&simulation->random, MEDIUM_DELAY);
        model_deliver(model, i, twice, chance(simulation, 250));
    }
    schedule_new(simulation);
}

/* ---- faults ---- */

static int holder_of(const struct simulation *simulation, enum amb_duty_name duty) {
    const struct amb_duty_record *record = &simulation->model->service.duties[duty];
    if (!record->present || record->state != AMB_DUTY_RECORD_HELD) return -1;
    int member = record->holder[2] - '0';
    return simulation->model->members[member].running ? member : -1;
}

static bool is_moment(const struct simulation *simulation, enum simulation_moment moment, uint32_t member) {
    for (uint32_t i = 0; i < simulation->model->nmessages; i++) {
        const struct model_message *message = &simulation->model->messages[i];
        const struct amb_duty_action *action = &message->action;
        if (message->member != member) continue;
        bool at_service = message->kind == MODEL_TO_SERVICE;
        switch (moment) {
        case SIMULATION_AT_ONCE: return true;
        case SIMULATION_AT_MARK:
            if (at_service && action->type == AMB_DUTY_COMMIT_INTENT &&
                action->intent.state == AMB_DUTY_INTENT_SENT)
                return true;
            break;
        case SIMULATION_AT_SEND:
            if (message->kind == MODEL_TO_SEND) return true;
            break;
        case SIMULATION_AT_CALL:
            if (message->kind == MODEL_TO_CLOUD) return true;
            break;
        case SIMULATION_AT_SETTLE:
            if (message->kind == MODEL_ANSWER && message->answer.type == AMB_DUTY_CLOUD_ANSWERED) return true;
            break;
        default:
            if (at_service && action->type == AMB_DUTY_COMMIT_RECORD) return true;
        }
    }
    return moment == SIMULATION_AT_ONCE;
}

static void inject(struct simulation *simulation, const struct simulation_fault *fault, uint32_t member) {
    struct protocol_model *model = simulation->model;
    amb_ms end = model->now + fault->length;
    switch (fault->kind) {
    case SIMULATION_PAUSE: model->members[member].paused_until = end; break;
    case SIMULATION_KILL:
        model_kill(model, member);
        simulation->restart_at[member] = end;
        break;
    case SIMULATION_CUT: simulation->cut_until[member] = end; break;
    case SIMULATION_OUTAGE: simulation->outage_until = end; break;
    case SIMULATION_LOSSES: simulation->losses_until = end; break;
    default:
        model_step(model, member,
                   (struct amb_duty_event){
                       .type = AMB_DUTY_DRAIN_REQUESTED, .duty = fault->duty, .cause = "a test"});
    }
}

/* At least one other member must be able to take over. */
static bool may_inject(const struct simulation *simulation, uint32_t member) {
    uint32_t well = 0;
    for (uint32_t i = 0; i < simulation->model->nmembers; i++)
        well += i != member && simulation->model->members[i].running && !paused(simulation, i);
    return well > 0 && simulation->model->members[member].running && !paused(simulation, member);
}

static void inject_due(struct simulation *simulation) {
    for (uint32_t i = 0; i < simulation->scenario->nfaults; i++) {
        const struct simulation_fault *fault = &simulation->scenario->faults[i];
        amb_ms late = simulation->model->now - fault->at;
        if (simulation->injected[i] || late < 0) continue;
        int member = holder_of(simulation, fault->duty);
        if (late > ARMED_FOR) simulation->injected[i] = true;
        if (simulation->injected[i] || member < 0 || !may_inject(simulation, (uint32_t)member) ||
            !is_moment(simulation, fault->moment, (uint32_t)member))
            continue;
        simulation->injected[i] = true;
        inject(simulation, fault, (uint32_t)member);
    }
}

/* ---- the leader ---- */

/* Has every running member heard that the intent was removed, and does no message in flight name it? */
static bool is_forgotten(const struct protocol_model *model, uint32_t place) {
    const struct amb_duty_intent_record *intent = &model->service.intents[place];
    if (intent->present) return false;
    for (uint32_t i = 0; i < model->nmembers; i++)
        if (model->members[i].running && model->members[i].news < intent->revision) return false;
    for (uint32_t i = 0; i < model->nmessages; i++) {
        const struct model_message *message = &model->messages[i];
        const char *id =
            message->kind == MODEL_ANSWER ? message->answer.intent.id : message->action.intent.id;
        if (intent->id[0] && !strncmp(id, intent->id, strlen(intent->id))) return false;
    }
    return true;
}

static void note_result(struct simulation *simulation, const struct amb_duty_intent_record *intent) {
    simulation->result.settled_done += intent->result == AMB_DUTY_RESULT_DONE;
    simulation->result.settled_refused += intent->result == AMB_DUTY_RESULT_NO_CAPACITY;
    simulation->result.settled_void += intent->result == AMB_DUTY_RESULT_VOID;
}

static void run_leader(struct simulation *simulation) {
    struct protocol_model *model = simulation->model;
    if (model->now < simulation->next_order_at) return;
    simulation->next_order_at = model->now + 100 + below(&simulation->random, 400);
    uint32_t place = below(&simulation->random, MODEL_INTENTS);
    model_place(model, below(&simulation->random, MODEL_INTENTS));
    if (simulation->quiescing) return;
    if (chance(simulation, 100)) model_withdraw(model, below(&simulation->random, MODEL_INTENTS));
    if (!is_forgotten(model, place)) return;
    note_result(simulation, &model->service.intents[place]);
    if (model_create_intent(model, place, (enum amb_duty_name)below(&simulation->random, AMB_DUTY_CLEANUP)))
        simulation->result.intents++;
}

/* ---- time ---- */

static void end_leases(struct simulation *simulation) {
    struct protocol_model *model = simulation->model;
    if (model->now < simulation->outage_until) return;
    /* Up to 100 ms late, never early. */
    while (model_next_expiry(model) <=
           model_service_clock(model) - (amb_ms)(simulation->scenario->seed % LATENESS))
        if (!model_expire(model)) return;
}

/* At the end of an outage every lease gets its full length again. */
static void end_outage(struct simulation *simulation) {
    if (!simulation->outage_until || simulation->model->now < simulation->outage_until) return;
    simulation->outage_until = 0;
    for (int i = 0; i < MODEL_LEASES; i++) {
        struct model_lease *lease = &simulation->model->service.leases[i];
        if (lease->id) lease->ends = model_service_clock(simulation->model) + TTL;
    }
}

static void run_members(struct simulation *simulation) {
    struct protocol_model *model = simulation->model;
    for (uint32_t i = 0; i < model->nmembers && !model->violation; i++) {
        struct model_member *member = &model->members[i];
        if (!member->running && simulation->restart_at[i] && model->now >= simulation->restart_at[i]) {
            simulation->restart_at[i] = 0;
            model_start(model, i, &simulation->settings, draw(&simulation->random));
            member->drift_ppm = (int32_t)below(&simulation->random, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
        }
        if (!member->running || paused(simulation, i)) continue;
        if (model->now >= member->tick_due) {
            member->tick_due = model->now + simulation->settings.backoff / 4;
            model_tick(model, i);
        }
        if (cut_off(simulation, i) || !model_has_news(model, i)) continue;
        if (!member->news_due) member->news_due = model->now + draw_delay(simulation);
        if (model->now < member->news_due) continue;
        member->news_due = 0;
        while (!model->violation && model_news(model, i)) continue;
    }
    schedule_new(simulation);
}

static bool has_right_holder(const struct simulation *simulation, enum amb_duty_name duty) {
    int member = holder_of(simulation, duty);
    return member >= 0 && !paused(simulation, (uint32_t)member) &&
           amb_duty_may_call(&simulation->model->members[member].core, duty,
                             model_member_clock(simulation->model, (uint32_t)member));
}

static void check_vacancies(struct simulation *simulation) {
    for (int duty = 0; duty < AMB_DUTY_COUNT; duty++) {
        bool held = has_right_holder(simulation, (enum amb_duty_name)duty);
        if (!held && simulation->vacant_since[duty] < 0)
            simulation->vacant_since[duty] = simulation->model->now;
        amb_ms span =
            simulation->vacant_since[duty] < 0 ? 0 : simulation->model->now - simulation->vacant_since[duty];
        if (simulation->scenario->calm && span > simulation->result.vacancy_bound &&
            !simulation->model->violation)
            simulation->model->violation = "a duty was without a holder for longer than the settings allow";
        if (!held || simulation->vacant_since[duty] < 0) continue;
        simulation->vacant_since[duty] = -1;
        simulation->result.vacancies++;
        simulation->result.vacancy_sum += span;
        if (span > simulation->result.vacancy_most) simulation->result.vacancy_most = span;
    }
}

static void run(struct simulation *simulation, amb_ms until) {
    struct protocol_model *model = simulation->model;
    for (; model->now < until && !model->violation; model->now += STEP) {
        end_outage(simulation);
        end_leases(simulation);
        if (!simulation->quiescing) inject_due(simulation);
        /* After a pause, a tick and the messages that have arrived come in either order. */
        bool ticks_first = chance(simulation, 500);
        if (ticks_first) run_members(simulation);
        deliver_due(simulation);
        if (!ticks_first) run_members(simulation);
        run_leader(simulation);
        check_vacancies(simulation);
    }
}

static void end_faults(struct simulation *simulation) {
    simulation->quiescing = true;
    simulation->losses_until = 0;
    if (simulation->outage_until) simulation->outage_until = simulation->model->now;
    for (uint32_t i = 0; i < simulation->model->nmembers; i++) {
        simulation->cut_until[i] = 0;
        simulation->model->members[i].paused_until = 0;
        if (!simulation->model->members[i].running) simulation->restart_at[i] = simulation->model->now;
    }
}

static void begin(struct simulation *simulation, const struct simulation_scenario *scenario) {
    struct protocol_model *model = simulation->model;
    simulation->scenario = scenario;
    simulation->random = scenario->seed;
    simulation->settings = amb_duty_settings_default(TTL, LIST_SPAN);
    simulation->result.vacancy_bound =
        amb_duty_settings_vacancy_bound(&simulation->settings, scenario->members);
    model_init(model, scenario->members);
    model->mutation = scenario->mutation;
    model->service.drift_ppm = (int32_t)below(&simulation->random, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
    for (uint32_t i = 0; i < scenario->members; i++) {
        model->members[i].drift_ppm = (int32_t)below(&simulation->random, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
        model_start(model, i, &simulation->settings, draw(&simulation->random));
    }
    for (int duty = 0; duty < AMB_DUTY_COUNT; duty++) simulation->vacant_since[duty] = -1;
}

struct simulation_result simulation_run(const struct simulation_scenario *scenario) {
    struct simulation simulation = {.model = amb_alloc(sizeof(struct protocol_model))};
    begin(&simulation, scenario);
    run(&simulation, FAULTS_END);
    end_faults(&simulation);
    run(&simulation, FAULTS_END + QUIESCE_FOR);
    if (!simulation.model->violation) model_check_quiesced(simulation.model);
    for (uint32_t i = 0; i < MODEL_INTENTS; i++)
        note_result(&simulation, &simulation.model->service.intents[i]);
    simulation.result.violation = simulation.model->violation;
    simulation.result.at = simulation.model->now;
    simulation.result.handovers =
        simulation.model->claims > AMB_DUTY_COUNT ? simulation.model->claims - AMB_DUTY_COUNT : 0;
    simulation.result.fenced_calls = simulation.model->fenced_calls;
    free(simulation.model);
    return simulation.result;
}

/* ---- shrinking ---- */

struct simulation_scenario simulation_shrink(const struct simulation_scenario *scenario) {
    struct simulation_scenario shrunk = *scenario;
    for (uint32_t size = shrunk.nfaults / 2 + 1; size; size = size == 1 ? 0 : (size + 1) / 2) {
        for (uint32_t from = 0; from < shrunk.nfaults;) {
            struct simulation_scenario fewer = shrunk;
            uint32_t cut = shrunk.nfaults - from < size ? shrunk.nfaults - from : size;
            memmove(fewer.faults + from, fewer.faults + from + cut,
                    (shrunk.nfaults - from - cut) * sizeof *fewer.faults);
            fewer.nfaults -= cut;
            if (simulation_run(&fewer).violation)
                shrunk = fewer;
            else
                from += cut;
        }
    }
    return shrunk;
}

void simulation_print(const struct simulation_scenario *scenario) {
    static const char *const kinds[] = {"pause", "kill", "cut", "drain", "outage", "losses"};
    static const char *const moments[] = {"at once",   "at a mark",   "at a send",
                                          "at a call", "at a settle", "at a claim"};
    printf("seed %llu: %u members%s\n", (unsigned long long)scenario->seed, scenario->members,
           scenario->calm ? ", calm" : "");
    for (uint32_t i = 0; i < scenario->nfaults; i++) {
        const struct simulation_fault *fault = &scenario->faults[i];
        printf("  %lld ms: %s of the holder of %s, %s, for %lld ms\n", (long long)fault->at,
               kinds[fault->kind], amb_duty_name_text(fault->duty), moments[fault->moment],
               (long long)fault->length);
    }
}
