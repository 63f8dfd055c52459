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
    const struct simulation_day *day;
    struct world *world;
    struct amb_duty_settings settings;
    uint64_t random;
    bool evening;
    amb_ms losses_until, outage_until, next_order_at;
    amb_ms cut_until[WORLD_MEMBERS], restart_at[WORLD_MEMBERS];
    bool struck[SIMULATION_FAULTS];
    amb_ms vacant_since[AMB_DUTY_NAMES]; /* -1: it has a holder */
    struct simulation_result result;
};

/* ---- luck ---- */

static uint64_t draw(uint64_t *random) {
    uint64_t z = *random += 0x9e3779b97f4a7c15ULL;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

static uint32_t below(uint64_t *random, uint32_t limit) {
    return (uint32_t)(draw(random) % limit);
}

static bool chance(struct simulation *s, uint32_t per_thousand) {
    return below(&s->random, 1000) < per_thousand;
}

/* ---- days ---- */

static struct simulation_fault draw_fault(uint64_t *random, bool calm) {
    struct simulation_fault fault = {
        .kind = (enum simulation_fault_kind)below(random, calm ? SIMULATION_CUT : SIMULATION_FAULT_KINDS),
        .moment = (enum simulation_moment)below(random, SIMULATION_MOMENTS),
        .duty = (enum amb_duty_name)below(random, AMB_DUTY_NAMES),
        .at = BEGIN_FAULTS + below(random, DAY - BEGIN_FAULTS),
        .length = 200 + below(random, 3 * TTL)};
    if (calm && !below(random, 3)) fault.kind = SIMULATION_DRAIN;
    if (calm) fault.length = CALM_LENGTH;
    return fault;
}

struct simulation_day simulation_draw(uint64_t seed) {
    struct simulation_day day = {.seed = seed, .calm = seed % 4 == 0};
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

static bool paused(const struct simulation *s, uint32_t member) {
    return s->world->now < s->world->members[member].paused_until;
}

static bool cut_off(const struct simulation *s, uint32_t member) {
    return s->world->now < s->outage_until || s->world->now < s->cut_until[member];
}

static amb_ms draw_delay(struct simulation *s) {
    uint32_t kind = below(&s->random, 1000);
    bool troubled = s->world->now < s->losses_until;
    if (s->day->calm || s->evening) return 1 + below(&s->random, SHORT_DELAY);
    if (kind < (troubled ? 50U : 4U)) return 1 + below(&s->random, LONG_DELAY);
    if (kind < (troubled ? 200U : 20U)) return 1 + below(&s->random, MEDIUM_DELAY);
    return 1 + below(&s->random, SHORT_DELAY);
}

/* New messages get a time at which they arrive; some are lost, which their sender is told when it gives up.
 */
static void schedule_new(struct simulation *s) {
    struct world *world = s->world;
    for (uint32_t i = 0; i < world->nmessages; i++) {
        struct world_message *message = &world->messages[i];
        if (message->due) continue;
        bool lossy = !s->day->calm && !s->evening && message->kind != WORLD_TO_SEND &&
                     (message->kind != WORLD_ANSWER || message->answer.call);
        message->due = world->now + draw_delay(s);
        if (message->kind == WORLD_ANSWER && message->answer.result == AMB_CALL_LOST) continue;
        if (lossy && !message->given_up && chance(s, world->now < s->losses_until ? 200 : 10)) {
            world_give_up(world, i);
            world->messages[i].due = world->now + 1 + below(&s->random, LONG_DELAY);
        }
    }
}

static bool from_service(const struct world_message *message) {
    return message->kind == WORLD_ANSWER && message->answer.type != AMB_DUTY_CLOUD_ANSWERED;
}

/* What a cut does to a message that is due; false: nothing. */
static bool meets_cut(struct simulation *s, uint32_t index) {
    struct world *world = s->world;
    struct world_message *message = &world->messages[index];
    if (!cut_off(s, message->member)) return false;
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

static void deliver_due(struct simulation *s) {
    struct world *world = s->world;
    for (uint32_t i = 0; i < world->nmessages && !world->violation;) {
        struct world_message *message = &world->messages[i];
        bool waits = message->kind == WORLD_ANSWER || message->kind == WORLD_TO_SEND;
        if (!message->due || message->due > world->now || (waits && paused(s, message->member))) {
            i++;
            continue;
        }
        if (meets_cut(s, i)) continue;
        bool twice = !s->day->calm && !s->evening && chance(s, 20) &&
                     (message->kind == WORLD_ANSWER || message->kind == WORLD_TO_SERVICE);
        if (twice) message->due = world->now + 1 + below(&s->random, MEDIUM_DELAY);
        world_deliver(world, i, twice, chance(s, 250));
    }
    schedule_new(s);
}

/* ---- faults ---- */

static int holder_of(const struct simulation *s, enum amb_duty_name duty) {
    const struct amb_duty_record *record = &s->world->service.duties[duty];
    if (!record->present || record->state != AMB_DUTY_RECORD_HELD) return -1;
    int member = record->holder[2] - '0';
    return s->world->members[member].running ? member : -1;
}

static bool is_moment(const struct simulation *s, enum simulation_moment moment, uint32_t member) {
    for (uint32_t i = 0; i < s->world->nmessages; i++) {
        const struct world_message *message = &s->world->messages[i];
        const struct amb_duty_action *action = &message->action;
        if (message->member != member) continue;
        bool at_service = message->kind == WORLD_TO_SERVICE;
        switch (moment) {
        case SIMULATION_AT_ONCE: return true;
        case SIMULATION_AT_MARK:
            if (at_service && action->type == AMB_DUTY_COMMIT_ORDER &&
                action->order.state == AMB_DUTY_ORDER_SENT)
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

static void strike(struct simulation *s, const struct simulation_fault *fault, uint32_t member) {
    struct world *world = s->world;
    amb_ms end = world->now + fault->length;
    switch (fault->kind) {
    case SIMULATION_PAUSE: world->members[member].paused_until = end; break;
    case SIMULATION_KILL:
        world_kill(world, member);
        s->restart_at[member] = end;
        break;
    case SIMULATION_CUT: s->cut_until[member] = end; break;
    case SIMULATION_OUTAGE: s->outage_until = end; break;
    case SIMULATION_LOSSES: s->losses_until = end; break;
    default:
        world_step(
            world, member,
            (struct amb_duty_event){.type = AMB_DUTY_DRAIN_ASKED, .duty = fault->duty, .cause = "a test"});
    }
}

/* Somebody must be left to take over. */
static bool may_strike(const struct simulation *s, uint32_t member) {
    uint32_t well = 0;
    for (uint32_t i = 0; i < s->world->nmembers; i++)
        well += i != member && s->world->members[i].running && !paused(s, i);
    return well > 0 && s->world->members[member].running && !paused(s, member);
}

static void strike_due(struct simulation *s) {
    for (uint32_t i = 0; i < s->day->nfaults; i++) {
        const struct simulation_fault *fault = &s->day->faults[i];
        amb_ms late = s->world->now - fault->at;
        if (s->struck[i] || late < 0) continue;
        int member = holder_of(s, fault->duty);
        if (late > ARMED_FOR) s->struck[i] = true;
        if (s->struck[i] || member < 0 || !may_strike(s, (uint32_t)member) ||
            !is_moment(s, fault->moment, (uint32_t)member))
            continue;
        s->struck[i] = true;
        strike(s, fault, (uint32_t)member);
    }
}

/* ---- the leader ---- */

/* Has everybody heard that the order is gone, and is nothing of it on its way? */
static bool is_forgotten(const struct world *world, uint32_t place) {
    const struct amb_duty_order_record *order = &world->service.orders[place];
    if (order->present) return false;
    for (uint32_t i = 0; i < world->nmembers; i++)
        if (world->members[i].running && world->members[i].news < order->stamp) return false;
    for (uint32_t i = 0; i < world->nmessages; i++) {
        const struct world_message *message = &world->messages[i];
        const char *id = message->kind == WORLD_ANSWER ? message->answer.order.id : message->action.order.id;
        if (order->id[0] && !strncmp(id, order->id, strlen(order->id))) return false;
    }
    return true;
}

static void note_result(struct simulation *s, const struct amb_duty_order_record *order) {
    s->result.settled_done += order->result == AMB_DUTY_RESULT_DONE;
    s->result.settled_refused += order->result == AMB_DUTY_RESULT_REFUSED;
    s->result.settled_void += order->result == AMB_DUTY_RESULT_VOID;
}

static void lead(struct simulation *s) {
    struct world *world = s->world;
    if (world->now < s->next_order_at) return;
    s->next_order_at = world->now + 100 + below(&s->random, 400);
    uint32_t place = below(&s->random, WORLD_ORDERS);
    world_place(world, below(&s->random, WORLD_ORDERS));
    if (s->evening) return;
    if (chance(s, 100)) world_withdraw(world, below(&s->random, WORLD_ORDERS));
    if (!is_forgotten(world, place)) return;
    note_result(s, &world->service.orders[place]);
    if (world_order(world, place, (enum amb_duty_name)below(&s->random, AMB_DUTY_CLEANUP)))
        s->result.orders++;
}

/* ---- time ---- */

static void end_leases(struct simulation *s) {
    struct world *world = s->world;
    if (world->now < s->outage_until) return;
    /* Up to 100 ms late, never early. */
    while (world_next_expiry(world) <= world_service_clock(world) - (amb_ms)(s->day->seed % LATENESS))
        if (!world_expire(world)) return;
}

/* When an outage ends, every lease has its full time again. */
static void end_outage(struct simulation *s) {
    if (!s->outage_until || s->world->now < s->outage_until) return;
    s->outage_until = 0;
    for (int i = 0; i < WORLD_LEASES; i++) {
        struct world_lease *lease = &s->world->service.leases[i];
        if (lease->id) lease->ends = world_service_clock(s->world) + TTL;
    }
}

static void run_members(struct simulation *s) {
    struct world *world = s->world;
    for (uint32_t i = 0; i < world->nmembers && !world->violation; i++) {
        struct world_member *member = &world->members[i];
        if (!member->running && s->restart_at[i] && world->now >= s->restart_at[i]) {
            s->restart_at[i] = 0;
            world_start(world, i, &s->settings, draw(&s->random));
            member->drift_ppm = (int32_t)below(&s->random, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
        }
        if (!member->running || paused(s, i)) continue;
        if (world->now >= member->tick_due) {
            member->tick_due = world->now + s->settings.backoff / 4;
            world_tick(world, i);
        }
        if (cut_off(s, i) || !world_has_news(world, i)) continue;
        if (!member->news_due) member->news_due = world->now + draw_delay(s);
        if (world->now < member->news_due) continue;
        member->news_due = 0;
        while (!world->violation && world_news(world, i)) continue;
    }
    schedule_new(s);
}

static bool has_right_holder(const struct simulation *s, enum amb_duty_name duty) {
    int member = holder_of(s, duty);
    return member >= 0 && !paused(s, (uint32_t)member) &&
           amb_duty_may_call(&s->world->members[member].core, duty,
                             world_member_clock(s->world, (uint32_t)member));
}

static void watch_vacancies(struct simulation *s) {
    for (int d = 0; d < AMB_DUTY_NAMES; d++) {
        bool held = has_right_holder(s, (enum amb_duty_name)d);
        if (!held && s->vacant_since[d] < 0) s->vacant_since[d] = s->world->now;
        amb_ms span = s->vacant_since[d] < 0 ? 0 : s->world->now - s->vacant_since[d];
        if (s->day->calm && span > s->result.vacancy_bound && !s->world->violation)
            s->world->violation = "a duty was without a holder for longer than the settings allow";
        if (!held || s->vacant_since[d] < 0) continue;
        s->vacant_since[d] = -1;
        s->result.vacancies++;
        s->result.vacancy_sum += span;
        if (span > s->result.vacancy_most) s->result.vacancy_most = span;
    }
}

static void run(struct simulation *s, amb_ms until) {
    struct world *world = s->world;
    for (; world->now < until && !world->violation; world->now += STEP) {
        end_outage(s);
        end_leases(s);
        if (!s->evening) strike_due(s);
        /* After a pause it is not said what comes first, a tick or what has arrived. */
        bool ticks_first = chance(s, 500);
        if (ticks_first) run_members(s);
        deliver_due(s);
        if (!ticks_first) run_members(s);
        lead(s);
        watch_vacancies(s);
    }
}

static void heal(struct simulation *s) {
    s->evening = true;
    s->losses_until = 0;
    if (s->outage_until) s->outage_until = s->world->now;
    for (uint32_t i = 0; i < s->world->nmembers; i++) {
        s->cut_until[i] = 0;
        s->world->members[i].paused_until = 0;
        if (!s->world->members[i].running) s->restart_at[i] = s->world->now;
    }
}

static void begin(struct simulation *s, const struct simulation_day *day) {
    struct world *world = s->world;
    s->day = day;
    s->random = day->seed;
    s->settings = amb_duty_settings_default(TTL, LIST_SPAN);
    s->result.vacancy_bound = amb_duty_settings_vacancy_bound(&s->settings, day->members);
    world_init(world, day->members);
    world->fault = day->taken_out;
    world->service.drift_ppm = (int32_t)below(&s->random, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
    for (uint32_t i = 0; i < day->members; i++) {
        world->members[i].drift_ppm = (int32_t)below(&s->random, 2 * DRIFT_PPM + 1) - DRIFT_PPM;
        world_start(world, i, &s->settings, draw(&s->random));
    }
    for (int d = 0; d < AMB_DUTY_NAMES; d++) s->vacant_since[d] = -1;
}

struct simulation_result simulation_play(const struct simulation_day *day) {
    struct simulation s = {.world = amb_alloc(sizeof(struct world))};
    begin(&s, day);
    run(&s, DAY);
    heal(&s);
    run(&s, DAY + EVENING);
    if (!s.world->violation) world_check_quiet(s.world);
    for (uint32_t i = 0; i < WORLD_ORDERS; i++) note_result(&s, &s.world->service.orders[i]);
    s.result.violation = s.world->violation;
    s.result.at = s.world->now;
    s.result.handovers = s.world->claims > AMB_DUTY_NAMES ? s.world->claims - AMB_DUTY_NAMES : 0;
    s.result.stale_refused = s.world->stale_refused;
    free(s.world);
    return s.result;
}

/* ---- shrinking ---- */

struct simulation_day simulation_shrink(const struct simulation_day *day) {
    struct simulation_day least = *day;
    for (uint32_t size = least.nfaults / 2 + 1; size; size = size == 1 ? 0 : (size + 1) / 2) {
        for (uint32_t from = 0; from < least.nfaults;) {
            struct simulation_day fewer = least;
            uint32_t cut = least.nfaults - from < size ? least.nfaults - from : size;
            memmove(fewer.faults + from, fewer.faults + from + cut,
                    (least.nfaults - from - cut) * sizeof *fewer.faults);
            fewer.nfaults -= cut;
            if (simulation_play(&fewer).violation)
                least = fewer;
            else
                from += cut;
        }
    }
    return least;
}

void simulation_print(const struct simulation_day *day) {
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
