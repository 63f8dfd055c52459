/* Dispatches the events of the node's modules to the modules that handle them. */
#include "internal.h"

#include "amberpin/agent/machine_loss.h"
#include "amberpin/cloud_duty/participation.h"
#include "amberpin/cloud_duty/scaling_intents.h"
#include "amberpin/scheduler/capacity_plan.h"

static void dispatch_machine_added(struct amb_node *node, struct amb_machine *machine) {
    amb_duties_note_machine(node, machine);
    amb_scale_in_log_note_machine(node, machine);
    amb_image_locations_restore(node, machine);
}

static void dispatch_event(struct amb_node *node, const struct amb_event *event) {
    switch (event->type) {
    case AMB_EVENT_LEADERSHIP_GAINED: amb_controller_start_leading(node); break;
    case AMB_EVENT_LEADERSHIP_LOST: amb_controller_stop_leading(node, event->cause); break;
    case AMB_EVENT_JOB_READY: amb_capacity_plan_record_demand(node, event->job); break;
    case AMB_EVENT_JOB_HAS_DEPENDENCIES: amb_pipeline_add_job(node, event->job); break;
    case AMB_EVENT_JOB_FINAL: amb_pipeline_remove_final(node, event->job); break;
    case AMB_EVENT_PLACEMENT_DURABLE: amb_deferred_response_trigger(event->task); break;
    case AMB_EVENT_MACHINE_ADDED: dispatch_machine_added(node, event->machine); break;
    case AMB_EVENT_MACHINE_REMOVED: amb_machine_confirm_gone(node, event->machine, event->proof); break;
    case AMB_EVENT_DUTY_KEY_CHANGED:
        amb_duties_apply_change(node, event->change.key, event->change.value, event->change.revision);
        break;
    case AMB_EVENT_STORE_LISTED: amb_duties_note_listed(node); break;
    case AMB_EVENT_CYCLE_REQUESTED: amb_controller_request_cycle(node); break;
    }
}

void amb_controller_attach(struct amb_node *node) {
    node->on_event = dispatch_event;
}
