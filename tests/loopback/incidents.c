/* Injects incidents into the controllers, one at a time, drawn from the seed: in the middle of an order, at a
 * step that the stand-ins observe, or while no order is under way. */
#include "proof.h"

#include "amberpin/http/http.h"

#include <stdio.h>
#include <string.h>

enum incident {
    INCIDENT_PAUSE,   /* SIGSTOP, mostly for longer than the lease */
    INCIDENT_KILL,    /* SIGKILL */
    INCIDENT_CUT,     /* the state service is unreachable for it; what it sent arrives later */
    INCIDENT_REFUSED, /* the state service refuses it alone */
    INCIDENT_OUTAGE,  /* the state service refuses all controllers */
    INCIDENT_PLANNED, /* it is asked to hand the duty over */
    INCIDENT_LOST,    /* the answer to the message is lost */
    INCIDENT_LATE,    /* the message is carried out later, without an answer */
    INCIDENT_DOUBLED, /* the message is carried out a second time, later */
    INCIDENTS,
};

static const char *const incident_text[INCIDENTS] = {"pause",   "kill", "cut",  "refused", "outage",
                                                     "planned", "lost", "late", "doubled"};
static const char *const step_text[PROOF_STEPS] = {"idle",  "recorded", "sent",   "arrived",
                                                   "acted", "settling", "settled"};

/* Percentage of each incident. */
static const unsigned share[INCIDENTS] = {30, 18, 10, 8, 4, 10, 6, 8, 6};

enum phase { PHASE_RESTING, PHASE_ARMED, PHASE_ACTIVE };

enum {
    FIRST_MS = 4000, /* until the controllers have started */
    REST_LEAST_MS = 100,
    REST_MOST_MS = 1200,
    ARMED_MOST_MS = 2500, /* afterwards a holder without an order under way is hit */
    OUTAGE_MOST_MS = 1500,
    FAULT_REFUSED = 0, /* index in world.faults */
    FAULT_OUTAGE = 1,
    FAULT_LATE = 2, /* has no effect of its own: the models accept that requests were sent before a change */
    FAULTS,
};

static struct {
    enum phase phase;
    enum incident incident;
    enum proof_step step;
    char duty[16]; /* the duty of the order that is hit */
    int node;
    amb_ms until; /* end of the phase */
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

static void draw_incident(void) {
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

/* Most lengths exceed the lease, some do not. */
static amb_ms draw_length(void) {
    return sim_random_between(PROOF_TTL_MS / 2, PROOF_TTL_MS * 5);
}

static amb_ms draw_lateness(void) {
    return sim_random_between(PROOF_TTL_MS / 2, PROOF_TTL_MS * 10);
}

/* The sender of the message is paused, dead or cut off by now. The message is carried out and answered,
 * carried out with its answer lost, or delayed until another controller may hold the duty. */
static struct proof_treatment treat_message_of_victim(void) {
    struct proof_treatment treatment = {0};
    switch (sim_random() % 3) {
    case 0: treatment.unanswered = true; break;
    case 1: treatment.delay = draw_lateness(); break;
    default: break;
    }
    return treatment;
}

static void handover_answered(void *arg, int status, const char *body, size_t len) {
    (void)arg, (void)status, (void)body, (void)len; /* the result shows in the duty's record */
}

/* Asks a controller for a handover, as an operator does. */
static void ask_handover(int node) {
    enum { TIMEOUT_MS = 2000 };
    char body[64];
    int len = snprintf(body, sizeof body, "{\"duty\":\"%s\"}", director.duty);
    amb_http_call(run.controllers[node].cluster, "POST", "/duties/handover", "application/json", body,
                  (size_t)len, TIMEOUT_MS, handover_answered, NULL);
}

/* Sometimes the incident hits the leader in place of the holder: orders to the cloud are delayed while
 * another leader takes over and places work. */
static bool hits_leader_instead(void) {
    if (!run.plan->duties || director.incident >= INCIDENT_PLANNED || director.step != PROOF_STEP_ARRIVED ||
        proof_leader() < 0 || sim_random() % 2)
        return false;
    run.cloud_held_until = world.now + sim_random_between(PROOF_TTL_MS * 4, PROOF_TTL_MS * 10);
    return true;
}

static struct proof_treatment inject(int node) {
    struct proof_treatment treatment = {0};
    amb_ms lasts = draw_length();
    if (hits_leader_instead()) node = proof_leader();
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
    case INCIDENT_LATE: treatment.delay = draw_lateness(); break;
    case INCIDENT_DOUBLED: treatment.doubled = true; break;
    case INCIDENTS: break;
    }
    if (director.incident < INCIDENT_PLANNED) treatment = treat_message_of_victim();
    if (world.now < run.cloud_held_until) treatment.delay = run.cloud_held_until - world.now;
    begin_phase(PHASE_ACTIVE, lasts);
    note(PROOF_INCIDENT);
    return treatment;
}

struct proof_treatment proof_incident_at(const struct proof_moment *moment, int node) {
    if (director.phase != PHASE_ARMED || director.step != moment->step || node < 0 ||
        run.controllers[node].paused || run.quiesced)
        return (struct proof_treatment){0};
    strcpy(director.duty, moment->duty);
    return inject(node);
}

static void undo_incident(void) {
    proof_controller_resume(director.node);
    proof_controller_start(director.node);
    note(PROOF_RECOVERED);
    begin_phase(PHASE_RESTING, sim_random_between(REST_LEAST_MS, REST_MOST_MS));
}

/* No order reached the step in time: a holder without an order under way is hit. */
static void inject_idle(void) {
    int node;
    director.step = PROOF_STEP_NONE;
    director.duty[0] = 0;
    if (director.incident >= INCIDENT_LOST) director.incident = INCIDENT_PAUSE;
    const char *duty = proof_holder(&node);
    if (duty && director.incident == INCIDENT_PLANNED)
        snprintf(director.duty, sizeof director.duty, "%s", duty);
    if (duty)
        inject(node);
    else
        begin_phase(PHASE_ARMED, ARMED_MOST_MS);
}

void proof_incidents_tick(void) {
    if (run.quiesced || run.plan->calm) return;
    if (!director.until) {
        world.fault_count = FAULTS;
        set_fault(FAULT_LATE, SIM_LATE_REQUESTS, 0);
        begin_phase(PHASE_RESTING, FIRST_MS);
    }
    if (world.now < director.until) return;
    switch (director.phase) {
    case PHASE_RESTING:
        draw_incident();
        begin_phase(PHASE_ARMED, ARMED_MOST_MS);
        break;
    case PHASE_ARMED: inject_idle(); break;
    case PHASE_ACTIVE: undo_incident(); break;
    }
}

void proof_incidents_end(void) {
    run.quiesced = true;
    run.cloud_held_until = 0;
    if (director.phase == PHASE_ACTIVE) undo_incident();
    world.faults[FAULT_REFUSED].lasts = world.faults[FAULT_OUTAGE].lasts = 0;
    for (int i = 0; i < run.plan->controllers; i++) run.controllers[i].cut_until = 0;
}
