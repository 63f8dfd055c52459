#include "simulation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
    STEP = 5, /* ms */
    TTL = 3000,
    LIST_SPAN = 8000, /* longer than any message is on its way */
    DAY = 240000,
    BEGIN_FAULTS = 8000,
    EVENING = 60000, /* without faults, until all is quiet */
    DRIFT_PPM = 500,
    LATENESS = 100,
    SHORT_DELAY = 20,
    MEDIUM_DELAY = 1000,
    LONG_DELAY = 5000,
    ARMED_FOR = 10000, /* how long a fault waits for its moment */
    CALM_GAP = 15000,
    CALM_LENGTH = 6000,
};

struct simulation {
    const struct simulation_scenario *day;
    struct world *world;
    struct amb_duty_settings settings;
    uint64_t random;
    bool evening;
    amb_ms losses_until, outage_until, next_order_at;
    amb_ms cut_until[WORLD_MEMBERS], restart_at[WORLD_MEMBERS];
    bool struck[SIMULATION_FAULTS];
    amb_ms vacant_since[AMB_DUTY_COUNT]; /* -1: it has a holder */
    struct simulation_result result;
};

/* ---- luck ---- */

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

/* ---- days ---- */

static struct simulation_fault draw_fault(uint64_t *random, bool calm) {
    struct simulation_fault fault = {
        .kind = (enum simulation_fault_kind)below(random, calm ? SIMULATION_CUT : SIMULATION_FAULT_KINDS),
        .moment = (enum simulation_moment)below(random, SIMULATION_MOMENTS),
        .duty = (enum amb_duty_name)below(random, AMB_DUTY_COUNT),
        .at = BEGIN_FAULTS + below(random, DAY - BEGIN_FAULTS),
        .length = 200 + below(random, 3 * TTL)};
    if (calm && !below(random, 3)) fault.kind = SIMULATION_DRAIN;
    if (calm) fault.length = CALM_LENGTH;
    return fault;
}

struct simulation_scenario simulation_generate(uint64_t seed) {
    struct simulation_scenario day = {.seed = seed, .calm = seed % 4 == 0};
    uint64_t random = seed * 0x2545f4914f6cdd1dULL + 1;
    day.members = 3 + below(&random, 5);
    day.nfaults = day.calm ? (DAY - BEGIN_FAULTS) / CALM_GAP : SIMULATION_FAULTS;
    for (uint32_t i = 0; i < day.nfaults; i++) {
        day.faults[i] = draw_fault(&random, day.calm);
        if (!day.calm) continue;
        day.faults[i].at = BEGIN_FAULTS + (amb_ms)i * CALM_GAP;
        day.faults[i].moment = SIMULATION_AT_ONCE;
    }
    return day;
}

/* ---- messages ---- */

static bool paused(const struct simulation *simulation, uint32_t member) {
    return simulation->world->now < simulation->world->members[member].paused_until;
}

static bool cut_off(const struct simulation *simulation, uint32_t member) {
    return simulation->world->now < simulation->outage_until ||
           simulation->world->now < simulation->cut_until[member];
}

static amb_ms draw_delay(struct simulation *simulation) {
    uint32_t kind = below(&simulation->random, 1000);
    bool troubled = simulation->world->now < simulation->losses_until;
    if (simulation->day->calm || simulation->evening) return 1 + below(&simulation->random, SHORT_DELAY);
    if (kind < (troubled ? 50U : 4U)) return 1 + below(&simulation->random, LONG_DELAY);
    if (kind < (troubled ? 200U : 20U)) return 1 + below(&simulation->random, MEDIUM_DELAY);
    return 1 + below(&simulation->random, SHORT_DELAY);
}

/* New messages get a time at which they arrive; some are lost, which their sender is told when it gives up.
 */
static void schedule_new(struct simulation *simulation) {
    struct world *world = simulation->world;
    for (uint32_t i = 0; i < world->nmessages; i++) {
        struct world_message *message = &world->messages[i];
        if (message->due) continue;
        bool lossy = !simulation->day->calm && !simulation->evening && message->kind != WORLD_TO_SEND &&
                     (message->kind != WORLD_ANSWER || message->answer.call);
        message->due = world->now + draw_delay(simulation);
        if (message->kind == WORLD_ANSWER && message->answer.result == AMB_CALL_NO_ANSWER) continue;
        if (lossy && !message->given_up &&
            chance(simulation, world->now < simulation->losses_until ? 200 : 10)) {
            world_give_up(world, i);
            world->messages[i].due = world->now + 1 + below(&simulation->random, LONG_DELAY);
        }
    }
}

static bool from_service(const struct world_message *message) {
    return message->kind == WORLD_ANSWER && message->answer.type != AMB_DUTY_CLOUD_ANSWERED;
}

/* What a cut does to a message that is due; false: nothing. */
static bool meets_cut(struct simulation *simulation, uint32_t index) {
    struct world *world = simulation->world;
    struct world_message *message = &world->messages[index];
    if (!cut_off(simulation, message->member)) return false;
    if (message->kind == WORLD_TO_SERVICE) {
        if (!message->given_up) world_give_up(world, index);
        world_drop(world, index);
        return true;
    }
    if (!from_service(message)) return false;
    if (!message->answer.call) {
        world_drop(world, index);
        return true;
    }
    world_give_up(world, index);
    return false;
}

static void deliver_due(struct simulation *simulation) {
    struct world *world = simulation->world;
    for (uint32_t i = 0; i < world->nmessages && !world->violation;) {
        struct world_message *message = &world->messages[i];
        bool waits = message->kind == WORLD_ANSWER || message->kind == WORLD_TO_SEND;
        if (!message->due || message->due > world->now || (waits && paused(simulation, message->member))) {
            i++;
            continue;
        }
        if (meets_cut(simulation, i)) continue;
        bool twice = !simulation->day->calm && !simulation->evening && chance(simulation, 20) &&
                     (message->kind == WORLD_ANSWER || message->kind == WORLD_TO_SERVICE);
        if (twice) message->due = world->now + 1 + below(&simulation->random, MEDIUM_DELAY);
        world_deliver(world, i, twice, chance(simulation, 250));
    }
    schedule_new(simulation);
}

/* ---- faults ---- */

static int holder_of(const struct simulation *simulation, enum amb_duty_name duty) {
    const struct amb_duty_record *record = &simulation->world->service.duties[duty];
    if (!record->present || record->state != AMB_DUTY_RECORD_HELD) return -1;
    int member = record->holder[2] - '0';
    return simulation->world->members[member].running ? member : -1;
}

static bool is_moment(const struct simulation *simulation, enum simulation_moment moment, uint32_t member) {
    for (uint32_t i = 0; i < simulation->world->nmessages; i++) {
        const struct world_message *message = &simulation->world->messages[i];
        const struct amb_duty_action *action = &message->action;
        if (message->member != member) continue;
        bool at_service = message->kind == WORLD_TO_SERVICE;
        switch (moment) {
        case SIMULATION_AT_ONCE: return true;
        case SIMULATION_AT_MARK:
            if (at_service && action->type == AMB_DUTY_COMMIT_INTENT &&
                action->intent.state == AMB_DUTY_INTENT_SENT)
                return true;
            break;
        case SIMULATION_AT_SEND:
            if (message->kind == WORLD_TO_SEND) return true;
            break;
        case SIMULATION_AT_CALL:
            if (message->kind == WORLD_TO_CLOUD) return true;
            break;
        case SIMULATION_AT_SETTLE:
            if (message->kind == WORLD_ANSWER && message->answer.type == AMB_DUTY_CLOUD_ANSWERED) return true;
            break;
        default:
            if (at_service && action->type == AMB_DUTY_COMMIT_RECORD) return true;
        }
    }
    return moment == SIMULATION_AT_ONCE;
}

static void strike(struct simulation *simulation, const struct simulation_fault *fault, uint32_t member) {
    struct world *world = simulation->world;
    amb_ms end = world->now + fault->length;
    switch (fault->kind) {
    case SIMULATION_PAUSE: world->members[member].paused_until = end; break;
    case SIMULATION_KILL:
        world_kill(world, member);
        simulation->restart_at[member] = end;
        break;
    case SIMULATION_CUT: simulation->cut_until[member] = end; break;
    case SIMULATION_OUTAGE: simulation->outage_until = end; break;
    case SIMULATION_LOSSES: simulation->losses_until = end; break;
    default:
        world_step(world, member,
                   (struct amb_duty_event){
                       .type = AMB_DUTY_DRAIN_REQUESTED, .duty = fault->duty, .cause = "a test"});
    }
}

/* Somebody must be left to take over. */
static bool may_strike(const struct simulation *simulation, uint32_t member) {
    uint32_t well = 0;
    for (uint32_t i = 0; i < simulation->world->nmembers; i++)
        well += i != member && simulation->world->members[i].running && !paused(simulation, i);
    return well > 0 && simulation->world->members[member].running && !paused(simulation, member);
}

static void strike_due(struct simulation *simulation) {
    for (uint32_t i = 0; i < simulation->day->nfaults; i++) {
        const struct simulation_fault *fault = &simulation->day->faults[i];
        amb_ms late = simulation->world->now - fault->at;
        if (simulation->struck[i] || late < 0) continue;
        int member = holder_of(simulation, fault->duty);
        if (late > ARMED_FOR) simulation->struck[i] = true;
        if (simulation->struck[i] || member < 0 || !may_strike(simulation, (uint32_t)member) ||
            !is_moment(simulation, fault->moment, (uint32_t)member))
            continue;
        simulation->struck[i] = true;
        strike(simulation, fault, (uint32_t)member);
    }
}

/* ---- the leader ---- */

/* Has everybody heard that the order is gone, and is nothing of it on its way? */
static bool is_forgotten(const struct world *world, uint32_t place) {
    const struct amb_duty_intent_record *intent = &world->service.intents[place];
    if (intent->present) return false;
    for (uint32_t i = 0; i < world->nmembers; i++)
        if (world->members[i].running && world->members[i].news < intent->revision) return false;
    for (uint32_t i = 0; i < world->nmessages; i++) {
        const struct world_message *message = &world->messages[i];
        const char *id =
            message->kind == WORLD_ANSWER ? message->answer.intent.id : message->action.intent.id;
        if (intent->id[0] && !strncmp(id, intent->id, strlen(intent->id))) return false;
    }
    return true;
}

static void note_result(struct simulation *simulation, const struct amb_duty_intent_record *intent) {
    simulation->result.settled_done += intent->result == AMB_DUTY_RESULT_DONE;
    simulation->result.settled_refused += intent->result == AMB_DUTY_RESULT_NO_CAPACITY;
    simulation->result.settled_void += intent->result == AMB_DUTY_RESULT_VOID;
}

static void lead(struct simulation *simulation) {
    struct world *world = simulation->world;
    if (world->now < simulation->next_order_at) return;
    simulation->next_order_at = world->now + 100 + below(&simulation->random, 400);
    uint32_t place = below(&simulation->random, WORLD_INTENTS);
    world_place(world, below(&simulation->random, WORLD_INTENTS));
    if (simulation->evening) return;
    if (chance(simulation, 100)) world_withdraw(world, below(&simulation->random, WORLD_INTENTS));
    if (!is_forgotten(world, place)) return;
    note_result(simulation, &world->service.intents[place]);
    if (world_create_intent(world, place, (enum amb_duty_name)below(&simulation->random, AMB_DUTY_CLEANUP)))
        simulation->result.intents++;
}

/* ---- time ---- */

static void end_leases(struct simulation *simulation) {
    struct world *world = simulation->world;
    if (world->now < simulation->outage_until) return;
    /* Up to 100 ms late, never early. */
    while (world_next_expiry(world) <=
           world_service_clock(world) - (amb_ms)(simulation->day->seed % LATENESS))
        if (!world_expire(world)) return;
}

/* When an outage ends, every lease has its full time again. */
static void end_outage(struct simulation *simulation) {
    if (!simulation->outage_until || simulation->world->now < simulation->outage_until) return;
    simulation->outage_until = 0;
    for (int i = 0; i < WORLD_LEASES; i++) {
        struct world_lease *lease = &simulation->world->service.leases[i];
        if (lease->id) lease->ends = world_service_clock(simulation->world) + TTL;
    }
}

static void run_members(struct simulation *simulation) {
    struct world *world = simulation->world;
    for (uint32_t i = 0; i < world->nmembers && !world->violation; i++) {
        struct world_member *member = &world->members[i];
        if (!member->running && simulation->restart_at[i] && world->now >= simulation->restart_at[i]) {
            simulation->restart_at[i] = 0;
            world_start(world, i, &simulation->settings, draw(&simulation->random));
            member->drift_ppm = (int32_t)below(&simulation->random, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
        }
        if (!member->running || paused(simulation, i)) continue;
        if (world->now >= member->tick_due) {
            member->tick_due = world->now + simulation->settings.backoff / 4;
            world_tick(world, i);
        }
        if (cut_off(simulation, i) || !world_has_news(world, i)) continue;
        if (!member->news_due) member->news_due = world->now + draw_delay(simulation);
        if (world->now < member->news_due) continue;
        member->news_due = 0;
        while (!world->violation && world_news(world, i)) continue;
    }
    schedule_new(simulation);
}

static bool has_right_holder(const struct simulation *simulation, enum amb_duty_name duty) {
    int member = holder_of(simulation, duty);
    return member >= 0 && !paused(simulation, (uint32_t)member) &&
           amb_duty_may_call(&simulation->world->members[member].core, duty,
                             world_member_clock(simulation->world, (uint32_t)member));
}

static void watch_vacancies(struct simulation *simulation) {
    for (int duty = 0; duty < AMB_DUTY_COUNT; duty++) {
        bool held = has_right_holder(simulation, (enum amb_duty_name)duty);
        if (!held && simulation->vacant_since[duty] < 0)
            simulation->vacant_since[duty] = simulation->world->now;
        amb_ms span =
            simulation->vacant_since[duty] < 0 ? 0 : simulation->world->now - simulation->vacant_since[duty];
        if (simulation->day->calm && span > simulation->result.vacancy_bound && !simulation->world->violation)
            simulation->world->violation = "a duty was without a holder for longer than the settings allow";
        if (!held || simulation->vacant_since[duty] < 0) continue;
        simulation->vacant_since[duty] = -1;
        simulation->result.vacancies++;
        simulation->result.vacancy_sum += span;
        if (span > simulation->result.vacancy_most) simulation->result.vacancy_most = span;
    }
}

static void run(struct simulation *simulation, amb_ms until) {
    struct world *world = simulation->world;
    for (; world->now < until && !world->violation; world->now += STEP) {
        end_outage(simulation);
        end_leases(simulation);
        if (!simulation->evening) strike_due(simulation);
        /* After a pause it is not said what comes first, a tick or what has arrived. */
        bool ticks_first = chance(simulation, 500);
        if (ticks_first) run_members(simulation);
        deliver_due(simulation);
        if (!ticks_first) run_members(simulation);
        lead(simulation);
        watch_vacancies(simulation);
    }
}

static void heal(struct simulation *simulation) {
    simulation->evening = true;
    simulation->losses_until = 0;
    if (simulation->outage_until) simulation->outage_until = simulation->world->now;
    for (uint32_t i = 0; i < simulation->world->nmembers; i++) {
        simulation->cut_until[i] = 0;
        simulation->world->members[i].paused_until = 0;
        if (!simulation->world->members[i].running) simulation->restart_at[i] = simulation->world->now;
    }
}

static void begin(struct simulation *simulation, const struct simulation_scenario *day) {
    struct world *world = simulation->world;
    simulation->day = day;
    simulation->random = day->seed;
    simulation->settings = amb_duty_settings_default(TTL, LIST_SPAN);
    simulation->result.vacancy_bound = amb_duty_settings_vacancy_bound(&simulation->settings, day->members);
    world_init(world, day->members);
    world->fault = day->mutation;
    world->service.drift_ppm = (int32_t)below(&simulation->random, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
    for (uint32_t i = 0; i < day->members; i++) {
        world->members[i].drift_ppm = (int32_t)below(&simulation->random, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
        world_start(world, i, &simulation->settings, draw(&simulation->random));
    }
    for (int duty = 0; duty < AMB_DUTY_COUNT; duty++) simulation->vacant_since[duty] = -1;
}

struct simulation_result simulation_run(const struct simulation_scenario *day) {
    struct simulation simulation = {.world = amb_alloc(sizeof(struct world))};
    begin(&simulation, day);
    run(&simulation, DAY);
    heal(&simulation);
    run(&simulation, DAY + EVENING);
    if (!simulation.world->violation) world_check_quiet(simulation.world);
    for (uint32_t i = 0; i < WORLD_INTENTS; i++)
        note_result(&simulation, &simulation.world->service.intents[i]);
    simulation.result.violation = simulation.world->violation;
    simulation.result.at = simulation.world->now;
    simulation.result.handovers =
        simulation.world->claims > AMB_DUTY_COUNT ? simulation.world->claims - AMB_DUTY_COUNT : 0;
    simulation.result.fenced_calls = simulation.world->fenced_calls;
    free(simulation.world);
    return simulation.result;
}

/* ---- shrinking ---- */

struct simulation_scenario simulation_shrink(const struct simulation_scenario *day) {
    struct simulation_scenario least = *day;
    for (uint32_t size = least.nfaults / 2 + 1; size; size = size == 1 ? 0 : (size + 1) / 2) {
        for (uint32_t from = 0; from < least.nfaults;) {
            struct simulation_scenario fewer = least;
            uint32_t cut = least.nfaults - from < size ? least.nfaults - from : size;
            memmove(fewer.faults + from, fewer.faults + from + cut,
                    (least.nfaults - from - cut) * sizeof *fewer.faults);
            fewer.nfaults -= cut;
            if (simulation_run(&fewer).violation)
                least = fewer;
            else
                from += cut;
        }
    }
    return least;
}

void simulation_print(const struct simulation_scenario *day) {
    static const char *const kinds[] = {"pause", "kill", "cut", "drain", "outage", "losses"};
    static const char *const moments[] = {"at once",   "at a mark",   "at a send",
                                          "at a call", "at a settle", "at a claim"};
    printf("seed %llu: %u members%s\n", (unsigned long long)day->seed, day->members,
           day->calm ? ", calm" : "");
    for (uint32_t i = 0; i < day->nfaults; i++) {
        const struct simulation_fault *fault = &day->faults[i];
        printf("  %lld ms: %s of the holder of %s, %s, for %lld ms\n", (long long)fault->at,
               kinds[fault->kind], amb_duty_name_text(fault->duty), moments[fault->moment],
               (long long)fault->length);
    }
}
