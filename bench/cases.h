/* The cases of the benchmark. A case prepares its input, which is not timed, then runs once or many times. */
#ifndef AMBERPIN_BENCH_CASES_H
#define AMBERPIN_BENCH_CASES_H

#include "world.h"

struct bench_case {
    const char *name;
    const struct world_size *size; /* NULL: the case does not depend on the deployment's size */
    void *(*prepare)(const struct world_size *size);
    void (*run)(void *input);
    void (*finish)(void *input);
    bool fresh; /* a run uses up its input: prepare() is called before each run */
};

struct bench_cases {
    const struct bench_case *list;
    size_t count;
};

struct bench_cases bench_codec_cases(void);  /* CBOR messages */
struct bench_cases bench_http_cases(void);   /* the HTTP parser */
struct bench_cases bench_report_cases(void); /* an agent's heartbeat, from its body to the answer */
struct bench_cases
bench_scheduling_cycle_cases(void); /* a leader's scheduling cycle, with and without a capacity plan */
struct bench_cases bench_heartbeat_cases(void);  /* heartbeats between controllers */
struct bench_cases bench_start_read_cases(void); /* the fresh read for which starts wait */
struct bench_cases bench_submit_cases(void);     /* a submission, from its body to the answer */
struct bench_cases bench_watch_cases(void); /* changes read from the state service, from the page's bytes */
struct bench_cases bench_load_cases(void);  /* start of a controller, failover */
struct bench_cases bench_tick_cases(void);  /* a leader's ticks */
struct bench_cases bench_pipeline_cases(void); /* jobs that await many others */

#endif
