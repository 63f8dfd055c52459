/* Failover: a new leader reads the records of earlier leaders from the state service before it acts, and a
 * former leader discards the state that only a leader keeps.
 *
 * Each tick continues the restore: first all jobs are read again, then the records page by page. */
#include "internal.h"

#include "amberpin/base/log.h"
#include "amberpin/cloud_duty/participation.h"
#include "amberpin/cloud_duty/scaling_intents.h"
#include "amberpin/cloud_duty/scaling_mode.h"
#include "amberpin/placement/wdrr.h"
#include "amberpin/scheduler/capacity_plan.h"

#include <stdio.h>
#include <string.h>

#define RECORDS_PREFIX "b/"
enum { KEY_SIZE = 256 };
/* Number of call timeouts after which an unanswered read is sent again. */
enum { RESEND_AFTER_TIMEOUTS = 4 };

/* ---- reading the records ---- */

static void request_next_page(struct amb_node *node);

static uint32_t count_active_jobs(const struct amb_node *node) {
    uint32_t count = 0;
    for (const struct amb_job *job = node->jobs.active; job; job = job->next_active) count++;
    return count;
}

static void finish_restore(struct amb_node *node) {
    struct amb_job *job, *next;
    /* Machines that are being released must be known before anything is placed, so the restore starts over.
     */
    if (!amb_duties_is_ready(node)) {
        node->controller.restore_synced = false;
        return;
    }
    amb_duties_restore(node);
    HASH_ITER(hh, node->jobs.all, job, next) {
        amb_capacity_plan_record_demand(node, job);
        if (job->state == AMB_JOB_QUEUED) amb_job_activate_if_room(node, job);
    }
    node->controller.restoring = false;
    node->controller.restored_at = amb_now();
    amb_info("controller: records restored, %u active jobs", count_active_jobs(node));
}

/* Offers the record to every module; each restores its own records and ignores the others. */
static void restore_record(struct amb_node *node, const struct amb_cbor_item *pair) {
    char key[KEY_SIZE];
    uint64_t revision;
    const struct amb_cbor_item *value = amb_cbor_map_get(pair, "value");
    if (!amb_cbor_copy_string(amb_cbor_map_get(pair, "path"), key, sizeof key)) return;
    if (!amb_cbor_get_uint(amb_cbor_map_get(pair, "stamp"), &revision)) return;
    amb_placement_log_restore(node, key, value, revision);
    amb_scale_out_restore(node, key, value);
    amb_scale_in_log_restore(node, key, value, revision);
    amb_zone_record_load(node, key, value, revision);
    snprintf(node->controller.restore_cursor, sizeof node->controller.restore_cursor, "%s", key);
}

/* Whether this node leads and has not read all records yet. */
static bool is_restoring(const struct amb_node *node) {
    return amb_election_has_leader_role(node) && node->controller.restoring;
}

static void apply_page(void *context, int status, const struct amb_cbor_item *body) {
    struct amb_node *node = context;
    if (!is_restoring(node) || node->controller.restore_term != node->election.term) return;
    node->controller.restore_in_flight = false;
    const struct amb_cbor_item *pairs = amb_cbor_map_get(body, "pairs");
    if (status != AMB_HTTP_OK || !pairs) return; /* the next tick retries */
    struct amb_cbor_cursor position = amb_cbor_list_begin(pairs);
    const struct amb_cbor_item *pair;
    while ((pair = amb_cbor_next(&position)) != NULL) restore_record(node, pair);
    bool is_truncated = false;
    amb_cbor_get_bool(amb_cbor_map_get(body, "truncated"), &is_truncated);
    if (is_truncated && amb_cbor_list_length(pairs))
        request_next_page(node);
    else
        finish_restore(node);
}

static void request_next_page(struct amb_node *node) {
    node->controller.restore_in_flight = true;
    node->controller.restore_sent_at = amb_now();
    amb_store_list(&node->store, RECORDS_PREFIX, node->controller.restore_cursor, apply_page, node);
}

static void on_jobs_synced(void *context, bool ok) {
    struct amb_node *node = context;
    node->controller.restore_in_flight = false;
    if (!is_restoring(node) || node->controller.restore_synced || !ok) return;
    node->controller.restore_synced = true;
    request_next_page(node);
}

void amb_controller_continue_restore(struct amb_node *node, amb_ms now) {
    struct amb_controller *controller = &node->controller;
    amb_ms resend_after = node->store.call_timeout * RESEND_AFTER_TIMEOUTS;
    if (controller->restore_in_flight && now - controller->restore_sent_at < resend_after) return;
    /* Wait for the catalogue: records refer to machine types by their numbers in it. */
    if (!node->cloud.catalog_known || !amb_duties_is_ready(node)) return;
    controller->restore_sent_at = now;
    controller->restore_in_flight = true;
    if (!controller->restore_synced)
        amb_watch_read_fresh(node, on_jobs_synced, node);
    else
        request_next_page(node);
}

/* ---- start and end of leadership ---- */

static void reset_teams(struct amb_settings *settings) {
    bool sized_by_gpus = amb_wdrr_is_sized_by_gpus(settings->teams, settings->team_count);
    amb_wdrr_prepare(settings->teams, settings->team_count, sized_by_gpus);
    for (uint32_t i = 0; i < settings->team_count; i++)
        memset(&settings->teams[i].used, 0, sizeof settings->teams[i].used);
}

void amb_controller_start_leading(struct amb_node *node) {
    struct amb_controller *controller = &node->controller;
    controller->leader_since = amb_now();
    controller->ready = false;
    controller->restoring = true;
    controller->restore_synced = false;
    controller->restore_in_flight = false;
    controller->restore_cursor[0] = 0;
    controller->restore_term = node->election.term;
    controller->restored_at = 0;
    controller->cycle_at = 0;
    controller->plan_at = 0;
    controller->peak_at = 0;
    amb_duties_reset(node);
    reset_teams(&node->settings);
}

/* Deactivates all jobs. Their last progress stays in the answers to users until the next leader reports newer
 * progress. */
static void deactivate_jobs(struct amb_node *node) {
    while (node->jobs.active) {
        struct amb_job *job = node->jobs.active;
        job->progress_done = job->done_count;
        job->progress_running = job->running_count;
        amb_job_deactivate(node, job);
    }
}

void amb_controller_stop_leading(struct amb_node *node, const char *cause) {
    struct amb_controller *controller = &node->controller;
    amb_info("controller: stops leading: %s", cause);
    controller->restoring = false;
    controller->ready = false;
    controller->restored_at = 0;
    amb_timer_stop(&controller->cycle_timer);
    deactivate_jobs(node);
    amb_cloud_reset(node);
    amb_duties_reset(node);
    amb_fleet_clear(node);
}
