/* A node with jobs that await others: the test plays the key-value store, the other nodes and the users by
 * scripts. A job is called by one letter. Steps are parted by blanks; after "=" comes the answer that is due:
 *
 *   +b:a=201q   a user submits job b, which awaits a; -a=200c cancels a; ?a=200q asks for it
 *   200q 200r 200d 200c 0   answers: queued, running, done, cancelled; none yet
 *   last=200d   the latest user's answer, which had not come yet
 *   @+b:a       another node accepts it: it is on record, and not heard of here yet; @-a cancels, @!a ends it
 *   ~           the watch brings all news
 *   ^a          another node's heartbeat tells that a is cancelled
 *   out back    the key-value store refuses all calls, and no more
 *   hold release  transactions are not answered yet
 *   lose        the answer to the next transaction is lost
 *   gone        the next read of changes is too old (410): all keys are listed again
 *   lead stop   this node takes the lead and reads the records; or loses it
 *   !a          the leader has seen all tasks of a end
 *   live=ab     the jobs in the leader's care
 *
 * Link it beside node_fixture.c, fake_clock.c, fake_http.c and json_cbor. */
#ifndef AMBERPIN_TESTS_PIPELINE_FIXTURE_H
#define AMBERPIN_TESTS_PIPELINE_FIXTURE_H

#include "node_fixture.h"

struct json_t;

enum { JOB_LETTERS = 26, TASKS_PER_JOB = 2 };

/* ---- the node ---- */

/* As cmocka wants them. */
int fixture_setup(void **state);
int fixture_teardown(void **state);
/* A fresh node in mid-test, for the next row of a table. */
void fixture_reset(void);
void start_leading(void);
void stop_leading(void);
/* The leader has seen all tasks of the job end. */
void finish_tasks(char letter);
/* The letters of the jobs in the leader's care. */
const char *active_jobs(void);

/* ---- the key-value store ---- */

struct job_value {
    uint64_t revision; /* 0: not there */
    struct amb_buf value;
};

struct fake_service {
    uint64_t revision;
    bool unavailable, commits_held, changes_compacted,
        next_response_lost; /* loses: the next answer to a transaction */
};

extern struct job_value job_values[JOB_LETTERS];
extern struct fake_service fake_service;

/* Answers one request to the key-value store; false: there is none that it answers now. */
bool serve_one(void);

/* ---- users ---- */

/* A submission of the job, as JSON. */
const char *format_submission(char letter, const char *awaits, const char *shape);
void submit_text(const char *text);
void submit_json(struct json_t *job); /* releases it */
/* The latest user's answer as scripts write it, and its status alone. */
const char *latest_answer(void);
int latest_status(void);

/* ---- scripts ---- */

struct pipeline_script {
    const char *name, *script;
};

void run_script(const char *what, const char *script);
/* Each with a fresh node. */
void run_scripts(const struct pipeline_script *scenes, size_t count);

#define TEST(name) cmocka_unit_test_setup_teardown(name, fixture_setup, fixture_teardown)

#endif
