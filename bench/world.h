/* Controllers for the benchmark with the state of deployments of several sizes: there is no network and no
 * other process, and the clock does not advance. */
#ifndef AMBERPIN_BENCH_WORLD_H
#define AMBERPIN_BENCH_WORLD_H

#include "amberpin/node/node.h"

struct world_size {
    const char *name;
    uint32_t nodes, machines;
    uint32_t running_jobs, waiting_jobs, finished_jobs;
    uint32_t cancelled_jobs; /* within the last minute */
    uint32_t tasks_per_job;
    uint32_t images;
    double heartbeat_s, lease_s, cancel_s;
};

enum { WORLD_SIZES = 7 };
extern const struct world_size world_sizes[WORLD_SIZES]; /* small, grown, fleet, 1,000 to 8,000 machines */

enum { WORLD_TERM = 41 };

/* Returns a controller that has only its settings and the catalog of machine types. */
struct amb_node *world_node(const struct world_size *size, uint32_t member);

/* Returns a leader that knows all jobs, has read all records, and has received one heartbeat from every
 * machine. */
struct amb_node *world_leader(const struct world_size *size);

void world_make_leader(struct amb_node *node);
void world_free(struct amb_node *node);

/* Records of the state service as the CBOR pages that `GET /store` answers: of all jobs, or of all
 * placements. */
struct world_pages {
    struct amb_buf *pages;
    size_t count;
};
struct world_pages world_job_pages(const struct world_size *size);
struct world_pages world_placement_pages(const struct world_size *size);
void world_pages_free(struct world_pages *pages);
void world_apply_jobs(struct amb_node *node, const struct world_pages *pages);
void world_apply_placements(struct amb_node *node, const struct world_pages *pages);

/* Appends the heartbeat of a machine's agent. `seq_at` receives the offset in the body of the eight-byte
 * sequence number; it may be NULL. */
void world_put_heartbeat(struct amb_buf *body, const struct world_size *size, uint32_t machine, uint64_t seq,
                         size_t *seq_at);
void world_spec(struct amb_job_spec *spec, const struct world_size *size, uint32_t job);

/* The server that the controller opened last, and the status of its last answer: world.c replaces the
 * network. */
struct world_server {
    amb_http_handler handler;
    void *arg;
};
struct world_server world_last_server(void);
int world_last_status(void);
struct world_call { /* the last request that the controller sent; only the case can answer it */
    amb_http_done done;
    void *arg;
};
struct world_call world_last_call(void);
struct amb_http_req *world_request(const char *method, const char *path, const void *body, size_t len);

#endif
