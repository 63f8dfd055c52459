/* The benchmark's cases. A case prepares its input untimed, then runs once or many times. */
#ifndef AMBERPIN_BENCH_CASES_H
#define AMBERPIN_BENCH_CASES_H

#include "world.h"

struct bench_case {
    const char *name;
    const struct world_size *size; /* NULL: the case does not depend on the deployment's size */
    void *(*prepare)(const struct world_size *size);
    void (*run)(void *input);
    void (*finish)(void *input);
    bool fresh; /* a run changes its input: prepare again before each */
};

struct bench_cases {
    const struct bench_case *list;
    size_t count;
};

struct bench_cases bench_codec_cases(void);            /* CBOR messages */
struct bench_cases bench_http_cases(void);             /* the HTTP parser */
struct bench_cases bench_report_cases(void);           /* a machine's report, from its body to the answer */
struct bench_cases bench_scheduling_cycle_cases(void); /* a leader's round, with and without a plan */
struct bench_cases bench_heartbeat_cases(void);        /* messages between nodes */
struct bench_cases bench_submit_cases(void);           /* a submission, from its body to the answer */
struct bench_cases bench_watch_cases(void);            /* news of the state service, from the page's bytes */
struct bench_cases bench_load_cases(void);             /* start of a node, take-over of the lead */
struct bench_cases bench_tick_cases(void);             /* a leader's ticks */

#endif
