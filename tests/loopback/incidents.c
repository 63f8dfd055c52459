/* Does to the controllers, one at a time, what the seed says: in the middle of an order, which is told by
 * what the stand-ins see, or while nothing is under way. */
#include "proof.h"

#include "amberpin/http/http.h"

#include <stdio.h>
#include <string.h>

enum incident {
    INCIDENT_PAUSE,   /* SIGSTOP, mostly past the lease */
    INCIDENT_KILL,    /* SIGKILL */
    INCIDENT_CUT,     /* the state service is out of its reach, what it sent arrives later */
    INCIDENT_REFUSED, /* the state service refuses it alone */
    INCIDENT_OUTAGE,  /* the state service refuses everybody */
    INCIDENT_PLANNED, /* it is asked to hand the duty over */
    INCIDENT_LOST,    /* the answer to this message is lost */
    INCIDENT_LATE,    /* this message is carried out later, without an answer */
    INCIDENT_DOUBLED, /* this message is carried out again later */
    INCIDENTS,
};

static const char *const incident_text[INCIDENTS] = {"pause",   "kill", "cut",  "refused", "outage",
                                                     "planned", "lost", "late", "doubled"};
static const char *const step_text[PROOF_STEPS] = {"idle",  "recorded", "sent",   "arrived",
                                                   "acted", "settling", "settled"};

/* How many of a hundred. */
static const unsigned share[INCIDENTS] = {30, 18, 10, 8, 4, 10, 6, 8, 6};

enum phase { PHASE_RESTING, PHASE_ARMED, PHASE_STRUCK };

enum {
    FIRST_MS = 4000, /* the controllers start */
    REST_LEAST_MS = 100,
    REST_MOST_MS = 1200,
    ARMED_MOST_MS = 2500, /* then it strikes a holder that does nothing */
    OUTAGE_MOST_MS = 1500,
    FAULT_REFUSED = 0, /* places in world.faults */
    FAULT_OUTAGE = 1,
    FAULT_LATE = 2, /* never strikes: it tells the models that requests may be from before a change */
    FAULTS,
};

static struct {
    enum phase phase;
    enum incident incident;
    enum proof_step step;
    char duty[16]; /* whose order it strikes */
    int node;
    amb_ms until; /* the phase lasts */
} director;

static void begin_phase(enum phase phase, amb_ms lasts) {
    director.phase = phase;
    director.until = world.now + lasts;
}

static const char *incident_name(void) {
    return director.incident < INCIDENTS ? incident_text[director.incident] : "none";
}

static void note(enum proof_event_type type) {
    struct proof_event event = {.type = type, .node = director.node};
    snprintf(event.name, sizeof event.name, "%s", incident_name());
    snprintf(event.state, sizeof event.state, "%s", step_text[director.step]);
    strcpy(event.duty, director.duty);
    proof_note(&event);
}

static enum incident incident_named(const char *name) {
    enum incident incident = 0;
    while (incident < INCIDENTS && strcmp(incident_text[incident], name) != 0) incident++;
    return incident;
}

bool proof_incident_known(const char *name) {
    return incident_named(name) < INCIDENTS;
}

static void draw(void) {
    unsigned lot = (unsigned)(sim_random() % 100);
    director.incident = INCIDENT_PAUSE;
    while (director.incident < INCIDENT_DOUBLED && lot >= share[director.incident])
        lot -= share[director.incident++];
    if (run.plan->only) director.incident = incident_named(run.plan->only);
    if (!run.plan->duties && director.incident == INCIDENT_PLANNED) director.incident = INCIDENT_PAUSE;
    director.step = (enum proof_step)sim_random_between(PROOF_STEP_RECORDED, PROOF_STEPS - 1);
}

static void set_fault(int place, enum sim_fault_kind kind, amb_ms lasts) {
    world.faults[place] = (struct sim_fault){kind, world.now, lasts, director.node};
}

/* Most last longer than a lease, some less. */
static amb_ms how_long(void) {
    return sim_random_between(PROOF_TTL_MS / 2, PROOF_TTL_MS * 5);
}

static amb_ms how_late(void) {
    return sim_random_between(PROOF_TTL_MS / 2, PROOF_TTL_MS * 10);
}

/* Whoever sent it is paused, dead or cut off by now: it is carried out and answered, carried out with its
 * answer lost, or is on its way still and arrives when another holds the duty. */
static struct proof_treatment message_of_the_struck(void) {
    struct proof_treatment treatment = {0};
    switch (sim_random() % 3) {
    case 0: treatment.unanswered = true; break;
    case 1: treatment.delay = how_late(); break;
    default: break;
    }
    return treatment;
}

static void handover_answered(void *arg, int status, const char *body, size_t len) {
    (void)arg, (void)status, (void)body, (void)len; /* the duty's record tells */
}

/* As an operator does, of any controller. */
static void ask_handover(int node) {
    enum { TIMEOUT_MS = 2000 };
    char body[64];
    int len = snprintf(body, sizeof body, "{\"duty\":\"%s\"}", director.duty);
    amb_http_call(run.controllers[node].cluster, "POST", "/duties/handover", "application/json", body,
                  (size_t)len, TIMEOUT_MS, handover_answered, NULL);
}

/* Instead of the holder, at times: while an order is on its way, and all others are held back too, another
 * leader takes over and places. */
static bool strikes_leader(void) {
    if (!run.plan->duties || director.incident >= INCIDENT_PLANNED || director.step != PROOF_STEP_ARRIVED ||
        proof_leader() < 0 || sim_random() % 2)
        return false;
    run.cloud_held_until = world.now + sim_random_between(PROOF_TTL_MS * 4, PROOF_TTL_MS * 10);
    return true;
}

static struct proof_treatment strike(int node) {
    struct proof_treatment treatment = {0};
    amb_ms lasts = how_long();
    if (strikes_leader()) node = proof_leader();
    director.node = node;
    switch (director.incident) {
    case INCIDENT_PAUSE: proof_controller_pause(node); break;
    case INCIDENT_KILL: proof_controller_kill(node); break;
    case INCIDENT_CUT: run.controllers[node].cut_until = world.now + lasts; break;
    case INCIDENT_REFUSED: set_fault(FAULT_REFUSED, SIM_STORE_REFUSES_NODE, lasts); break;
    case INCIDENT_OUTAGE:
        lasts = sim_random_between(PROOF_TTL_MS, OUTAGE_MOST_MS);
        set_fault(FAULT_OUTAGE, SIM_STORE_OUTAGE, lasts);
        break;
    case INCIDENT_PLANNED: ask_handover(node); break;
    case INCIDENT_LOST: treatment.unanswered = true; break;
    case INCIDENT_LATE: treatment.delay = how_late(); break;
    case INCIDENT_DOUBLED: treatment.doubled = true; break;
    case INCIDENTS: break;
    }
    if (director.incident < INCIDENT_PLANNED) treatment = message_of_the_struck();
    if (world.now < run.cloud_held_until) treatment.delay = run.cloud_held_until - world.now;
    begin_phase(PHASE_STRUCK, lasts);
    note(PROOF_INCIDENT);
    return treatment;
}

struct proof_treatment proof_incident_at(const struct proof_moment *moment, int node) {
    if (director.phase != PHASE_ARMED || director.step != moment->step || node < 0 ||
        run.controllers[node].paused || run.quiet)
        return (struct proof_treatment){0};
    strcpy(director.duty, moment->duty);
    return strike(node);
}

static void undo(void) {
    proof_controller_wake(director.node);
    proof_controller_start(director.node);
    note(PROOF_RECOVERED);
    begin_phase(PHASE_RESTING, sim_random_between(REST_LEAST_MS, REST_MOST_MS));
}

/* No order came along: it strikes a holder at rest. */
static void strike_idle(void) {
    int node;
    director.step = PROOF_STEP_NONE;
    director.duty[0] = 0;
    if (director.incident >= INCIDENT_LOST) director.incident = INCIDENT_PAUSE;
    const char *duty = proof_holder(&node);
    if (duty && director.incident == INCIDENT_PLANNED)
        snprintf(director.duty, sizeof director.duty, "%s", duty);
    if (duty)
        strike(node);
    else
        begin_phase(PHASE_ARMED, ARMED_MOST_MS);
}

void proof_incidents_tick(void) {
    if (run.quiet || run.plan->calm) return;
    if (!director.until) {
        world.fault_count = FAULTS;
        set_fault(FAULT_LATE, SIM_LATE_REQUESTS, 0);
        begin_phase(PHASE_RESTING, FIRST_MS);
    }
    if (world.now < director.until) return;
    switch (director.phase) {
    case PHASE_RESTING:
        draw();
        begin_phase(PHASE_ARMED, ARMED_MOST_MS);
        break;
    case PHASE_ARMED: strike_idle(); break;
    case PHASE_STRUCK: undo(); break;
    }
}

void proof_incidents_end(void) {
    run.quiet = true;
    run.cloud_held_until = 0;
    if (director.phase == PHASE_STRUCK) undo();
    world.faults[FAULT_REFUSED].lasts = world.faults[FAULT_OUTAGE].lasts = 0;
    for (int i = 0; i < run.plan->controllers; i++) run.controllers[i].cut_until = 0;
}
