/* A node with jobs that have dependencies. Scripts control the key-value store, the other nodes and the
 * users. A job is named by one letter. Steps are separated by blanks; "=" precedes the expected result:
 *
 *   +b:a=201q   a user submits job b, which depends on a; -a=200c cancels a; ?a=200q queries it
 *   200q 200r 200d 200c 0   results: status and state queued, running, done, cancelled; 0: no reply yet
 *   last=200d   the reply to the latest user request, if it was still missing
 *   @+b:a       another node accepts b: it is recorded, but this node has not read it; @-a cancels, @!a
 * completes a ~           the watch delivers all changes ^a          the heartbeat of another node carries a
 * cancellation notice for a out back    the key-value store starts to refuse all calls; stops refusing them
 *   hold release  transactions are left unanswered; are answered again
 *   lose        the response to the next transaction is lost
 *   gone        the next read of changes is answered 410 (compacted), so that all keys are listed again
 *   lead stop   this node becomes leader and restores the records; steps down
 *   !a          all tasks of a complete at the leader
 *   live=ab     the leader's active jobs
 *
 * Link it together with node_fixture.c, fake_clock.c, fake_http.c and json_cbor. */
#ifndef AMBERPIN_TESTS_PIPELINE_FIXTURE_H
#define AMBERPIN_TESTS_PIPELINE_FIXTURE_H

#include "node_fixture.h"

struct json_t;

enum { JOB_LETTERS = 26, TASKS_PER_JOB = 2 };

/* ---- the node ---- */

/* Test setup and teardown for cmocka. */
int fixture_setup(void **state);
int fixture_teardown(void **state);
/* Replaces the node by a new one within a test, for the next row of a table. */
void fixture_reset(void);
void start_leading(void);
void stop_leading(void);
/* Completes all tasks of the job at the leader. */
void finish_tasks(char letter);
/* The letters of the leader's active jobs. */
const char *active_jobs(void);

/* ---- the key-value store ---- */

struct job_value {
    uint64_t revision; /* 0: no such record */
    struct amb_buf value;
};

struct fake_service {
    uint64_t revision;
    bool unavailable, commits_held, changes_compacted,
        next_response_lost; /* the response to the next transaction is lost */
};

extern struct job_value job_values[JOB_LETTERS];
extern struct fake_service fake_service;

/* Answers one request to the key-value store; false: there is none that can be answered now. */
bool serve_one(void);

/* ---- users ---- */

/* A submission of the job, as JSON text. */
const char *format_submission(char letter, const char *awaits, const char *shape);
void submit_text(const char *text);
void submit_json(struct json_t *job); /* releases it */
/* The reply to the latest user request in the notation of scripts, and its status alone. */
const char *latest_answer(void);
int latest_status(void);

/* ---- scripts ---- */

struct pipeline_script {
    const char *name, *script;
};

void run_script(const char *what, const char *script);
/* Runs each script with a new node. */
void run_scripts(const struct pipeline_script *scripts, size_t count);

#define TEST(name) cmocka_unit_test_setup_teardown(name, fixture_setup, fixture_teardown)

#endif
