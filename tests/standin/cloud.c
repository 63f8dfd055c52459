/* The simulated cloud: rents and releases machines; its listings lag behind. */
#include "world.h"

#include <stdio.h>
#include <string.h>

static void boot(void *arg) {
    struct sim_machine *machine = arg;
    if (!machine->exists || machine->dead) return;
    machine->up = true;
    machine->incarnation = 1;
    machine->lease_from = world.now;
    sim_send_heartbeat(machine);
}

static int count_existing_machines(void) {
    int count = 0;
    for (int i = 0; i < world.machine_count; i++) count += world.machines[i].exists;
    return count;
}

void sim_machine_new(int zone, bool spot, amb_ms boot_delay) {
    struct sim_machine *machine = &world.machines[world.machine_count];
    memset(machine, 0, sizeof *machine);
    snprintf(machine->name, sizeof machine->name, "m-%06d", world.machine_count);
    machine->zone = zone;
    machine->spot = spot;
    machine->exists = true;
    machine->created_at = world.now;
    machine->node = world.machine_count % world.size->nodes;
    world.machine_count++;
    int count = count_existing_machines();
    if (count > world.result.peak_machines) world.result.peak_machines = count;
    amb_timer_set_after(&machine->heartbeat_timer, boot_delay, boot, machine);
}

static void remove_machine(struct sim_machine *machine) {
    if (!machine->exists) return;
    machine->exists = false;
    machine->task_count = 0;
    machine->removed_at = world.now;
    amb_timer_stop(&machine->heartbeat_timer);
}

static void list_machines(struct sim_call *call) {
    struct amb_buf buffer = {0}, list = {0};
    size_t count = 0;
    amb_ms lag = sim_random_between(0, sim_cloud_timing.list_lag * 2), listed_at = world.now - lag;
    for (int i = 0; i < world.machine_count; i++) {
        struct sim_machine *machine = &world.machines[i];
        if (machine->created_at > listed_at || (!machine->exists && machine->removed_at <= listed_at))
            continue;
        char text[AMB_NAME_SIZE];
        count++;
        amb_cbor_write_map(&list, 7);
        amb_cbor_write_string(&list, "ref"), amb_cbor_write_string(&list, machine->name);
        sim_machine_address(i, text);
        amb_cbor_write_string(&list, "address"), amb_cbor_write_string(&list, text);
        amb_cbor_write_string(&list, "hull"), amb_cbor_write_string(&list, "g8");
        amb_cbor_write_string(&list, "yard"), amb_cbor_write_string(&list, sim_zone_name(machine->zone));
        amb_cbor_write_string(&list, "driftwood"), amb_cbor_write_bool(&list, machine->spot);
        bool failed = machine->dead && listed_at - machine->died_at > 30000;
        amb_cbor_write_string(&list, "stance"), amb_cbor_write_string(&list, failed        ? "failed"
                                                                             : machine->up ? "running"
                                                                                           : "booting");
        amb_cbor_write_string(&list, "held_s"),
            amb_cbor_write_number(&list, (double)(listed_at - machine->created_at) / 1000);
    }
    amb_cbor_write_map(&buffer, 2);
    amb_cbor_write_string(&buffer, "rigs");
    amb_cbor_write_list(&buffer, count);
    amb_buf_append(&buffer, list.data, list.len);
    amb_buf_free(&list);
    amb_cbor_write_string(&buffer, "truncated");
    amb_cbor_write_bool(&buffer, false);
    sim_call_answer(call, 200, &buffer);
}

static void refuse(struct sim_call *call, const char *error) {
    struct amb_buf body = {0};
    amb_cbor_write_map(&body, 1);
    amb_cbor_write_string(&body, "error");
    amb_cbor_write_string(&body, error);
    sim_call_answer(call, 503, &body);
}

static amb_ms draw_boot_time(void) {
    if (sim_fault_active(SIM_QUICK_BOOTS, -1)) return sim_random_between(200, 2000);
    if (sim_fault_hits(SIM_FAILED_BOOTS)) return SIM_PERMANENT_MS;
    if (sim_fault_active(SIM_SLOW_BOOTS, -1))
        return sim_random_between(2 * sim_cloud_timing.boot, 6 * sim_cloud_timing.boot);
    return sim_random_between(sim_cloud_timing.boot / 2, sim_cloud_timing.boot * 3 / 2);
}

static void rent(struct sim_call *call) {
    const struct amb_cbor_item *body = amb_cbor_parse(call->body, call->len);
    char id[48] = "";
    uint64_t count = 0;
    bool spot = false;
    amb_cbor_copy_string(amb_cbor_map_get(body, "charter"), id, sizeof id);
    amb_cbor_get_uint(amb_cbor_map_get(body, "count"), &count);
    amb_cbor_get_bool(amb_cbor_map_get(body, "driftwood"), &spot);
    char zone_name[AMB_NAME_SIZE] = "";
    amb_cbor_copy_string(amb_cbor_map_get(body, "yard"), zone_name, sizeof zone_name);
    int zone = sim_zone_of_name(zone_name);
    int k = 0;
    while (k < world.cloud.rental_count && strcmp(world.cloud.rentals[k].name, id)) k++;
    int room = world.size->machines - count_existing_machines();
    if (room > SIM_MACHINES - world.machine_count) room = SIM_MACHINES - world.machine_count;
    if (k == world.cloud.rental_count) {
        if (sim_fault_active(SIM_NO_CAPACITY, -1) || room <= 0 || world.cloud.rental_count == SIM_RENTALS) {
            refuse(call, "no capacity");
            return;
        }
        if ((int)count > room) count = (uint64_t)room;
        strcpy(world.cloud.rentals[world.cloud.rental_count].name, id);
        world.cloud.rentals[world.cloud.rental_count].first = world.machine_count;
        world.cloud.rentals[world.cloud.rental_count++].count = (int)count;
        for (uint64_t i = 0; i < count; i++) sim_machine_new(zone, spot, draw_boot_time());
    }
    struct amb_buf buffer = {0};
    amb_cbor_write_map(&buffer, 1);
    amb_cbor_write_string(&buffer, "rigs");
    amb_cbor_write_list(&buffer, (size_t)world.cloud.rentals[k].count);
    for (int i = 0; i < world.cloud.rentals[k].count; i++)
        amb_cbor_write_string(&buffer, world.machines[world.cloud.rentals[k].first + i].name);
    sim_call_answer(call, 200, &buffer);
}

/* ---- single-holder duties ---- */

/* Delayed requests may have been sent before the duty mode changed. */
static bool may_requests_be_late(void) {
    return sim_fault_scheduled(SIM_LATE_REQUESTS) || sim_fault_scheduled(SIM_ZONE_PARTITION) ||
           sim_fault_scheduled(SIM_SLOW_LINKS) || sim_fault_scheduled(SIM_LOSE_RESPONSES);
}

/* Checks that a request to rent or return machines comes from the party that the duty mode allows, with a
 * fencing token that is not stale. A request that names no duty comes from the leader. */
static bool is_authorized(struct sim_call *call, const struct amb_cbor_item *body) {
    char text[16];
    enum amb_duty_name duty;
    uint64_t token = 0;
    bool by_duty = amb_cbor_copy_string(amb_cbor_map_get(body, "duty"), text, sizeof text);
    if (by_duty != sim_duties_in_use() && !may_requests_be_late())
        sim_report_violation("duty: %s by %s, n%d", call->path, by_duty ? text : "the leader", call->from);
    if (!by_duty) return true;
    if (!amb_duty_name_parse(text, &duty) || !amb_cbor_get_uint(amb_cbor_map_get(body, "baton"), &token)) {
        sim_report_violation("duty: %s of %s without a token", call->path, text);
        return false;
    }
    if (token < world.cloud.tokens[duty]) {
        world.result.stale_token_refusals++;
        return false;
    }
    world.cloud.tokens[duty] = token;
    if (strcmp(call->path, "/machines/release") != 0) world.result.duty_rent_calls++;
    return true;
}

static bool in_use(const struct sim_machine *machine) {
    if (!machine->exists || machine->dead) return false;
    for (uint32_t i = 0; i < machine->task_count; i++)
        if (machine->tasks[i].state != AMB_AGENT_TASK_EXITED) return true;
    return false;
}

/* True if a leader elected after the call was sent started a task: that leader must have known of the call.
 */
static bool in_use_by_later_leader(const struct sim_machine *machine, const struct sim_call *call) {
    if (!in_use(machine) || !call->returns_recorded) return false;
    for (uint32_t i = 0; i < machine->task_count; i++)
        if (machine->tasks[i].state != AMB_AGENT_TASK_EXITED &&
            machine->tasks[i].token > call->sent_at_revision)
            return true;
    return false;
}

static void release(const struct sim_call *call, const struct amb_cbor_item *body) {
    const struct amb_cbor_item *rigs = amb_cbor_map_get(body, "rigs");
    bool by_duty = amb_cbor_map_get(body, "duty") != NULL,
         planned = amb_cbor_equals(amb_cbor_map_get(body, "duty"), "return");
    char name[AMB_NAME_SIZE];
    for (size_t i = 0; i < amb_cbor_list_length(rigs); i++) {
        if (!amb_cbor_copy_string(amb_cbor_list_item(rigs, i), name, sizeof name)) continue;
        for (int k = 0; k < world.machine_count; k++) {
            struct sim_machine *machine = &world.machines[k];
            if (strcmp(machine->name, name) != 0) continue;
            if (planned && in_use(machine)) sim_report_violation("duty: %s is returned in use", name);
            if (in_use_by_later_leader(machine, call))
                sim_report_violation("late return: %s is returned in use by a later leader", name);
            world.result.duty_returned_machines += by_duty && machine->exists;
            remove_machine(machine);
        }
    }
}

void sim_serve_cloud(struct sim_call *call) {
    if (sim_fault_active(SIM_CLOUD_OUTAGE, -1)) {
        refuse(call, "trouble");
        return;
    }
    const struct amb_cbor_item *body = call->len ? amb_cbor_parse(call->body, call->len) : NULL;
    bool stale = !strcmp(call->method, "POST") && !is_authorized(call, body);
    if (stale) {
        sim_call_answer(call, 409, NULL);
    } else if (!strcmp(call->path, "/catalog")) {
        struct amb_buf buffer = {0};
        amb_cbor_write_map(&buffer, 1);
        amb_cbor_write_string(&buffer, "hulls");
        amb_cbor_write_list(&buffer, 1);
        amb_cbor_write_map(&buffer, 10);
        amb_cbor_write_string(&buffer, "name"), amb_cbor_write_string(&buffer, "g8");
        amb_cbor_write_string(&buffer, "vcpus"), amb_cbor_write_number(&buffer, 96);
        amb_cbor_write_string(&buffer, "accelerators"), amb_cbor_write_number(&buffer, 8);
        amb_cbor_write_string(&buffer, "ram_gb"), amb_cbor_write_number(&buffer, 576);
        amb_cbor_write_string(&buffer, "local_gb"), amb_cbor_write_number(&buffer, 200);
        amb_cbor_write_string(&buffer, "fetch_gb_per_s"), amb_cbor_write_number(&buffer, 5);
        amb_cbor_write_string(&buffer, "hourly"), amb_cbor_write_number(&buffer, 12);
        amb_cbor_write_string(&buffer, "market_price"), amb_cbor_write_number(&buffer, 4.5);
        amb_cbor_write_string(&buffer, "boot_s"),
            amb_cbor_write_number(&buffer, (double)sim_cloud_timing.boot / 1000);
        amb_cbor_write_string(&buffer, "yards"), amb_cbor_write_list(&buffer, (size_t)sim_zone_count());
        for (int zone = 0; zone < sim_zone_count(); zone++)
            amb_cbor_write_string(&buffer, sim_zone_name(zone));
        sim_call_answer(call, 200, &buffer);
    } else if (!strcmp(call->path, "/machines/release")) {
        world.result.late_return_calls += sim_leader_revision() > call->sent_at_revision;
        release(call, body);
        struct amb_buf buffer = {0};
        amb_cbor_write_map(&buffer, 0);
        sim_call_answer(call, 200, &buffer);
    } else if (!strcmp(call->method, "POST")) {
        rent(call);
    } else {
        list_machines(call);
    }
}
