/* Nodes for the benchmark, put together by hand at the sizes of the simulated deployments: no network, no
 * other process, and a clock that stands still. */
#ifndef AMBERPIN_BENCH_WORLD_H
#define AMBERPIN_BENCH_WORLD_H

#include "amberpin/node/node.h"

struct world_size {
    const char *name;
    uint32_t nodes, machines;
    uint32_t running_jobs, waiting_jobs, finished_jobs;
    uint32_t cancelled_jobs; /* of the last minute */
    uint32_t tasks_per_job;
    uint32_t images;
    double report_s, lease_s, cancel_s;
};

enum { WORLD_SIZES = 7 };
extern const struct world_size world_sizes[WORLD_SIZES]; /* small, grown, fleet, 1,000 to 8,000 machines */

enum { WORLD_TERM = 41 };

/* A node with its settings and the cloud's catalogue, and nothing else. */
struct amb_node *world_node(const struct world_size *size, uint32_t member);

/* A leader that knows all jobs, has read all records, and was reported to once by every machine. */
struct amb_node *world_leader(const struct world_size *size);

void world_make_leader(struct amb_node *node);
void world_free(struct amb_node *node);

/* The state service's records, a list of CBOR pages as `GET /store` gives them: all jobs, all placements. */
struct world_pages {
    struct amb_buf *pages;
    size_t count;
};
struct world_pages world_job_pages(const struct world_size *size);
struct world_pages world_placement_pages(const struct world_size *size);
void world_pages_free(struct world_pages *pages);
void world_apply_jobs(struct amb_node *node, const struct world_pages *pages);
void world_apply_placements(struct amb_node *node, const struct world_pages *pages);

/* A machine's report. `seq_at` is the place of its eight-byte sequence number within the body. */
void world_put_report(struct amb_buf *body, const struct world_size *size, uint32_t machine, uint64_t seq,
                      size_t *seq_at);
void world_spec(struct amb_job_spec *spec, const struct world_size *size, uint32_t job);

/* What a node under test has opened and answered last (the network's place is taken by world.c). */
struct world_server {
    amb_http_handler handler;
    void *arg;
};
struct world_server world_last_server(void);
int world_last_status(void);
struct world_call { /* the last request that a node has sent; nobody answers it but the case */
    amb_http_done done;
    void *arg;
};
struct world_call world_last_call(void);
struct amb_http_req *world_request(const char *method, const char *path, const void *body, size_t len);

#endif
