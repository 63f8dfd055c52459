#include "amberpin/agent/liveness.h"

#include "amberpin/base/log.h"
#include "amberpin/fleet/agent_commands.h"
#include "amberpin/fleet/deferred_responses.h"
#include "amberpin/fleet/machine_probe.h"
#include "amberpin/node/events.h"
#include "amberpin/node/node.h"

/* Of what a cancellation allows: a machine whose cancelled tasks are not proven gone by then is returned. */
static const double CANCEL_RELEASE_SHARE = 0.6;

/* ---- what is lost ---- */

static void unbind_lost_tasks(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof) {
    const char *cause = amb_absence_name(proof);
    while (machine->tasks) {
        struct amb_task *task = machine->tasks;
        struct amb_job *job = task->job;
        task->interrupted = true;
        amb_info("task %s/%u on %s: lost: %s", job->ref, task->index, machine->name, cause);
        amb_task_unbind(node, task, cause);
        if (job->spec->kind == AMB_JOB_KIND_GANG && job->bound_count)
            amb_gang_tear_down(node, job, "a task is lost");
    }
}

void amb_machine_confirm_gone(struct amb_node *node, struct amb_machine *machine, enum amb_absence proof) {
    amb_info("machine %s: gone: %s", machine->name, amb_absence_name(proof));
    unbind_lost_tasks(node, machine, proof);
    amb_deferred_response_finish(node, machine);
    amb_machine_remove(node, machine);
    amb_node_request_cycle(node);
}

/* ---- the end of a machine's lease ---- */

static void ignore_result(void *context, bool ok) {
    (void)context, (void)ok;
}

/* When a deputy that may answer this machine was last known; of any zone's if the machine's is unknown. */
static amb_ms lease_proxy_known_at(const struct amb_node *node, const struct amb_machine *machine) {
    if (machine->zone_index >= 0) return node->lease_proxy.zone_covered_at[machine->zone_index];
    amb_ms latest = 0;
    for (uint32_t zone = 0; zone < AMB_ZONES_MAX; zone++)
        if (node->lease_proxy.zone_covered_at[zone] > latest)
            latest = node->lease_proxy.zone_covered_at[zone];
    return latest;
}

/* Asks for the read of the state service that the proof still lacks. */
static enum amb_absence absence_by_lease(struct amb_node *node, const struct amb_machine *machine,
                                         amb_ms now) {
    const struct amb_lease_evidence evidence = {
        .now = now,
        .lease_span = amb_absence_lease_span(node->settings.agent_lease_s, node->settings.heartbeat_s),
        .last_response_at = machine->last_response_at,
        .follows_own_term = machine->token_acknowledged,
        .fenced_at = machine->token_acknowledged ? 0 : amb_election_peers_fenced_at(node),
        .lease_proxy_known_at = lease_proxy_known_at(node, machine),
        .last_read_sent_at = node->watch.last_read_sent_at,
    };
    enum amb_absence absence = amb_absence_by_lease(&evidence);
    if (absence == AMB_ABSENCE_READ_NEEDED && !node->watch.queued_syncs && !node->watch.sync_in_flight)
        amb_watch_read_fresh(node, ignore_result, NULL);
    return absence;
}

/* A leader was elected seconds before a zone was cut off: none of the zone's machines had shown its token,
 * and their tasks were not started elsewhere until the machines were returned, 99 s later. So machines that
 * have not shown it are looked at too. */
static void check_lease(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    bool unresponsive_with_tasks = machine->state == AMB_MACHINE_SILENT && machine->tasks;
    if (machine->state != AMB_MACHINE_UP && machine->state != AMB_MACHINE_UNPROVEN &&
        !unresponsive_with_tasks)
        return;
    enum amb_absence proof = absence_by_lease(node, machine, now);
    if (!amb_absence_is_proven(proof)) return;
    amb_machine_set_state(machine, AMB_MACHINE_SILENT, amb_absence_name(proof));
    unbind_lost_tasks(node, machine, proof);
}

/* ---- machines that are returned because we can't use them ---- */

/* When it is the network the machines come back: a new one takes longer to boot and to fetch its images than
 * most cuts last. Not all are back at once. (Machines were returned 0.1 to 0.4 s after a cut had ended, since
 * the first that reported again made their zone a reached one.) */
static double release_delay_factor(const struct amb_node *node, const struct amb_machine *machine,
                                   amb_ms now) {
    bool is_reachable = amb_zone_get_reachability(node, machine->zone_index) == AMB_ZONE_REACHABLE;
    return !is_reachable || amb_zone_is_recovering(node, machine->zone_index, now) ? 3 : 1;
}

static amb_ms later(amb_ms first, amb_ms second) {
    return first > second ? first : second;
}

/* How long an unproven machine is waited for. */
static double unverified_timeout_s(const struct amb_node *node, const struct amb_machine *machine) {
    return node->settings.agent_lease_s * (machine->task_count ? 1.5 : 3);
}

/* What it does not show has a reason that is not its own: a deputy answers it, or its zone has just come
 * back, so that silence and a missing token are of before. (Machines were returned 0.1 s after their first
 * report, and others because their zone had been away for as long as it takes to give them up.) */
static bool is_excused(const struct amb_node *node, const struct amb_machine *machine) {
    return amb_lease_proxy_is_active_in_zone(node, machine->zone_index) ||
           amb_zone_is_returning(node, machine->zone_index);
}

static void check_unresponsive(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    if (machine->state != AMB_MACHINE_SILENT || is_excused(node, machine)) return;
    amb_ms since = machine->token_acknowledged ? machine->last_response_at : node->controller.leader_since;
    if (now - since > amb_seconds_to_ms(node->settings.agent_lease_s * node->options.silent_release_share *
                                        release_delay_factor(node, machine, now)))
        amb_cloud_release(node, machine, "silent for too long");
}

static void check_unverified(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    amb_ms recent_ms = amb_seconds_to_ms(node->settings.heartbeat_s * 2);
    if (machine->state != AMB_MACHINE_UNPROVEN || now - machine->last_heartbeat_at <= recent_ms ||
        now - node->controller.leader_since <= recent_ms)
        return;
    amb_machine_probe(node, machine, now);
    amb_ms unverified_ms = now - later(machine->exists_since, node->controller.leader_since);
    bool excused = is_excused(node, machine);
    /* Its silence proves nothing while it may hold another leader's token. */
    if (!excused &&
        unverified_ms > amb_seconds_to_ms(unverified_timeout_s(node, machine) *
                                          release_delay_factor(node, machine, now)) &&
        amb_election_may_act(node))
        amb_cloud_release(node, machine, "it can't be reached");
}

/* Its reports come, but our answers don't reach it: it would show our token in its next report but one. Its
 * lease ends, and with it all it runs; but each answer of ours might have renewed it, so that nothing is
 * ever proven. (Jobs waited for such machines for as long as the trouble lasted.) */
static bool ignores_replies(const struct amb_node *node, const struct amb_machine *machine, amb_ms now) {
    if (machine->state != AMB_MACHINE_UNPROVEN ||
        now - machine->last_heartbeat_at > amb_seconds_to_ms(node->settings.heartbeat_s * 2))
        return false;
    amb_ms since = later(machine->state_since, node->controller.restored_at);
    return now - since > amb_seconds_to_ms(unverified_timeout_s(node, machine));
}

/* ---- tasks told to stop ---- */

static void check_stopping_tasks(struct amb_node *node, struct amb_machine *machine) {
    for (struct amb_task *task = machine->tasks, *next; task; task = next) {
        next = task->next_on_machine;
        struct amb_job *job = task->job;
        uint32_t ntasks_before = machine->task_count;
        if (task->stop_requested && task->state == AMB_TASK_BOUND && !task->start_sent && !task->inherited) {
            amb_task_unbind(node, task, "no order went out");
        } else if (job->state == AMB_JOB_CANCELLED && machine->state != AMB_MACHINE_RELEASING &&
                   amb_wall_ms() - job->cancelled_wall_ms >
                       amb_seconds_to_ms(node->settings.cancel_s * CANCEL_RELEASE_SHARE)) {
            amb_cloud_release(node, machine, "a cancelled task can't be proven gone in time");
        }
        if (machine->task_count != ntasks_before) next = machine->tasks;
    }
}

/* ---- the module's turn ---- */

static void tick_machine(struct amb_node *node, struct amb_machine *machine, amb_ms now) {
    if (machine->stops_due) amb_machine_send_stops(node, machine);
    if (machine->failed_by_cloud && machine->tasks) unbind_lost_tasks(node, machine, AMB_ABSENCE_FAILED);
    check_lease(node, machine, now);
    check_unresponsive(node, machine, now);
    check_unverified(node, machine, now);
    if (!is_excused(node, machine) && ignores_replies(node, machine, now) && amb_election_may_act(node))
        amb_cloud_release(node, machine, "it reports, but does not take our token");
    /* A machine of ours that reports to another node only. */
    if (machine->state == AMB_MACHINE_UP &&
        now - machine->last_heartbeat_at > amb_seconds_to_ms(node->settings.heartbeat_s * 4))
        amb_machine_probe(node, machine, now);
    check_stopping_tasks(node, machine);
}

void amb_fleet_tick(struct amb_node *node, amb_ms now) {
    struct amb_machine *machine, *next;
    if (!node->controller.restored_at) return;
    amb_zones_tick(node, now);
    HASH_ITER(hh, node->fleet.machines, machine, next) tick_machine(node, machine, now);
}

/* Machines on record or listed, that should be at work. */
bool amb_fleet_is_acknowledged(const struct amb_node *node) {
    uint32_t known = 0, acknowledged = 0;
    for (const struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next) {
        if (machine->state == AMB_MACHINE_BOOTING || machine->state == AMB_MACHINE_RELEASING ||
            machine->failed_by_cloud)
            continue;
        known++;
        acknowledged += machine->token_acknowledged;
    }
    return acknowledged * 10 >= known * 9;
}

void amb_fleet_clear(struct amb_node *node) {
    for (struct amb_machine *machine = node->fleet.machines; machine; machine = machine->hh.next)
        amb_deferred_response_finish(node, machine);
    amb_machines_clear(node);
    amb_zones_clear(node);
}
