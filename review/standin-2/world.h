/* The surroundings of a small deployment on loopback: state service, cloud, workers, load balancer, controllers. */
#ifndef REVIEW_WORLD_H
#define REVIEW_WORLD_H

#include "core.h"

enum { NODES_MAX = 3, NAME = 64, MACHINES_MAX = 32, TASKS_MAX = 4096, USERS_MAX = 64 };

/* ---- record ---- */
extern ms_t started_at;
void note(const char *format, ...) __attribute__((format(printf, 1, 2))); /* a line of record.txt */
ms_t since_start(void);

/* ---- settings of the deployment ---- */
struct deployment {
    int nodes;
    double memory_mb;
    double report_s, lease_s, cancel_s;
    double rps, write_rps;
    int value_kb, txn_ops;
    const char *zones[2];
    int machines;         /* up at the start */
    int cloud_machines;   /* that the cloud has to give in all; 0: MACHINES_MAX */
    struct { const char *name; double cpus, gpus, memory_gb; } hull; /* without a name: taff-box */
    int teams;
    struct { const char *name; double gpus, gpus_max; } team[8];
};
extern struct deployment deployment;

/* ---- controllers ---- */
void world_open(const char *program, const char *directory); /* stand-ins, settings files */
void controller_start(int node);
void controller_kill(int node);
void controller_stop(int node);     /* stands still, its clocks run on */
void controller_continue(int node);
void controllers_end(void);
bool controllers_alive(void); /* false: one has ended by itself */
int leader_node(void);        /* by the leader key in the state service's news; -1: none */
extern int front_port[NODES_MAX];

/* ---- troubles ---- */
enum state_mode { STATE_SERVES, STATE_REFUSES, STATE_HELD };
void state_set(int node, enum state_mode mode);       /* for the requests of one controller */
void state_outage(bool on);                           /* for all */
void peers_set(int from, int to, enum proxy_mode mode);
void follow_slow(int node, ms_t delay, ms_t for_ms);  /* answers to /follow leave that much later */
extern void (*on_commit_done)(int node, const struct val *transaction); /* called when carried out */

/* ---- workers ---- */
struct task { bool used, exited; char leg[NAME + 8]; uint64_t attempt; const char *stance, *cause; ms_t ready_at, end_at; };
extern void (*on_run)(int machine, const char *leg, uint64_t attempt);     /* a run order was carried out */
extern void (*on_task_start)(int machine, const char *leg);                /* it has its image */
extern double (*run_seconds)(const char *leg);                             /* 0: until it is stopped */
struct machine_view { const char *name; int tasks; bool up; }; /* tasks that have not exited */
struct machine_view machine_view(int machine);
extern ms_t last_report_at[MACHINES_MAX]; /* when it was sent */
extern int lease_ends;                      /* of all workers */
extern void (*on_lease_end)(int machine, int killed);

/* ---- jobs and users ---- */
struct job_form { char ref[NAME]; const char *berth, *crew, *shape, *rank; int legs; double vcpus, accelerators, ram_gb; };
void submit_body(struct buf *b, const struct job_form *form);
int pick_node(void);                 /* the load balancer's choice for a new connection; -1: none */
struct user { struct client *client; int node; };
void user_call(struct user *u, const char *method, const char *path, const struct buf *body, ms_t timeout, done_fn done, void *arg);

#endif
