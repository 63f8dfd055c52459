/* Simulated time, random numbers and timers, in place of the library's clock and loop. */
#include "world.h"

uint64_t sim_random(void) {
    world.random ^= world.random << 13;
    world.random ^= world.random >> 7;
    world.random ^= world.random << 17;
    return world.random;
}

amb_ms sim_random_between(amb_ms min, amb_ms max) {
    return min + (amb_ms)(sim_random() % (uint64_t)(max - min + 1));
}

int sim_random_node(void) {
    return (int)(sim_random() % (uint64_t)world.size->nodes);
}

amb_ms amb_now(void) {
    return world.now;
}
int64_t amb_wall_ms(void) {
    return 1700000000000 + world.now;
}
uint64_t amb_nonce(void) {
    return sim_random() >> 1;
}

void amb_loop_init(void) {}
void amb_loop_run(void) {}
void amb_loop_stop(void) {}
int amb_loop_add(struct amb_fd_watch *watch, uint32_t events) {
    (void)watch, (void)events;
    return 0;
}
void amb_loop_mod(struct amb_fd_watch *watch, uint32_t events) {
    (void)watch, (void)events;
}
void amb_loop_del(struct amb_fd_watch *watch) {
    (void)watch;
}

static bool is_earlier(size_t left, size_t right) {
    amb_ms left_at = world.timers[left].timer->at, right_at = world.timers[right].timer->at;
    return left_at < right_at ||
           (left_at == right_at && world.timers[left].serial < world.timers[right].serial);
}

static void timers_swap(size_t left, size_t right) {
    struct sim_timer keep = world.timers[left];
    world.timers[left] = world.timers[right];
    world.timers[right] = keep;
    world.timers[left].timer->position = left + 1;
    world.timers[right].timer->position = right + 1;
}

/* Restores the heap at index: the earliest timer comes first, the children of i are at 2i + 1 and 2i + 2. */
static void timers_sift(size_t index) {
    for (; index && is_earlier(index, (index - 1) / 2); index = (index - 1) / 2)
        timers_swap(index, (index - 1) / 2);
    for (;;) {
        size_t child = 2 * index + 1;
        if (child + 1 < world.timer_count && is_earlier(child + 1, child)) child++;
        if (child >= world.timer_count || !is_earlier(child, index)) return;
        timers_swap(index, child);
        index = child;
    }
}

void amb_timer_stop(struct amb_timer *timer) {
    if (!timer->position) return;
    size_t i = timer->position - 1;
    timer->position = 0;
    if (i == --world.timer_count) return;
    world.timers[i] = world.timers[world.timer_count];
    world.timers[i].timer->position = i + 1;
    timers_sift(i);
}

void amb_timer_set(struct amb_timer *timer, amb_ms at, void (*fn)(void *), void *arg) {
    amb_timer_stop(timer);
    timer->at = at;
    timer->fn = fn;
    timer->arg = arg;
    world.timers[world.timer_count].timer = timer;
    world.timers[world.timer_count].owner = world.current;
    world.timers[world.timer_count].serial = world.timer_serial++;
    timer->position = ++world.timer_count;
    timers_sift(world.timer_count - 1);
}

void amb_timer_set_after(struct amb_timer *timer, amb_ms delay, void (*fn)(void *), void *arg) {
    amb_timer_set(timer, world.now + delay, fn, arg);
}

bool sim_run_timer(amb_ms until) {
    if (!world.timer_count || world.timers[0].timer->at >= until) return false;
    struct amb_timer *timer = world.timers[0].timer;
    sim_switch_to(world.timers[0].owner);
    if (timer->at > world.now) world.now = timer->at;
    if (sim_node_resumes_at(world.current)) {
        amb_timer_set(timer, sim_node_resumes_at(world.current), timer->fn, timer->arg);
        sim_switch_to(-1);
        return true;
    }
    amb_timer_stop(timer);
    timer->fn(timer->arg);
    sim_switch_to(-1);
    return true;
}

void sim_stop_timers(int owner) {
    for (size_t i = 0; i < world.timer_count;)
        if (world.timers[i].owner == owner)
            amb_timer_stop(world.timers[i].timer);
        else
            i++;
}
