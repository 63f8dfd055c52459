/* Runs random simulation scenarios of single-holder duties.
 *
 *   duty_simulate FIRST COUNT    the seeds FIRST to FIRST + COUNT - 1
 *
 * The scenarios of the first three seeds that fail are shrunk and printed. */
#include "simulation.h"

#include <stdio.h>
#include <stdlib.h>

int main(int argc, char **argv) {
    uint64_t first = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    uint64_t count = argc > 2 ? strtoull(argv[2], NULL, 10) : 100;
    struct simulation_result sum = {0};
    uint64_t failed = 0;
    for (uint64_t seed = first; seed < first + count; seed++) {
        struct simulation_scenario scenario = simulation_generate(seed);
        struct simulation_result result = simulation_run(&scenario);
        sum.handovers += result.handovers;
        sum.intents += result.intents;
        sum.fenced_calls += result.fenced_calls;
        sum.settled_done += result.settled_done;
        sum.settled_refused += result.settled_refused;
        sum.settled_void += result.settled_void;
        sum.vacancies += result.vacancies;
        sum.vacancy_sum += result.vacancy_sum;
        if (result.vacancy_most > sum.vacancy_most) sum.vacancy_most = result.vacancy_most;
        if (!result.violation) continue;
        failed++;
        printf("seed %llu fails at %lld ms: %s\n", (unsigned long long)seed, (long long)result.at,
               result.violation);
        if (failed > 3) continue;
        struct simulation_scenario shrunk = simulation_shrink(&scenario);
        simulation_print(&shrunk);
        printf("  %s\n", simulation_run(&shrunk).violation);
    }
    printf(
        "%llu scenarios, %llu failed; %llu handovers, %llu orders (%llu done, %llu refused, %llu void), %llu "
        "stale "
        "calls refused; %llu vacancies, %.0f ms on average, %lld ms at most\n",
        (unsigned long long)count, (unsigned long long)failed, (unsigned long long)sum.handovers,
        (unsigned long long)sum.intents, (unsigned long long)sum.settled_done,
        (unsigned long long)sum.settled_refused, (unsigned long long)sum.settled_void,
        (unsigned long long)sum.fenced_calls, (unsigned long long)sum.vacancies,
        sum.vacancies ? (double)sum.vacancy_sum / (double)sum.vacancies : 0.0, (long long)sum.vacancy_most);
    return failed ? 1 : 0;
}
