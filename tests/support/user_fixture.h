/* A follower, and one job that users submit, query and cancel at it. The test acts as the key-value store and
 * as the users, in any order of events that the network allows. Link it together with node_fixture.c,
 * fake_http.c and json_cbor. */
#ifndef AMBERPIN_TESTS_USER_FIXTURE_H
#define AMBERPIN_TESTS_USER_FIXTURE_H

#include "fake_http.h"
#include "node_fixture.h"

enum { USERS = 8, FIXTURE_REVISION = 1000 };
enum {
    ACCEPTED_REVISION = FIXTURE_REVISION + 10,
    CHANGED_REVISION = FIXTURE_REVISION + 20
}; /* revisions of the job's record */

#define JOB_REF "wk-000412"
#define JOB_PATH "/v1/jobs/" JOB_REF
#define CHANGES_PATH "/follow" /* a read of all changes */
#define COMMIT_PATH "/commit"

/* A submission of the job. */
extern const char *const VALID_SUBMISSION;
/* The latest reply to each user. */
extern struct fake_reply replies[USERS];

/* ---- the node ---- */

/* Test setup and teardown for cmocka. */
int fixture_setup(void **state);
int fixture_teardown(void **state);
/* Replaces the node by a new one within a test, for the next row of a table. */
void fixture_reset(void);

/* ---- users ---- */

void issue_request(int user, const char *method, const char *path, struct amb_buf *body);
void user_submit(int user, const char *text);
void poll_job(int user);
void user_cancel(int user);
/* Fails the test unless this user got this reply; stance NULL: any state. */
void expect_reply(const char *what, int user, int status, const char *stance);
void expect_no_reply(const char *what, int user);

/* ---- the key-value store ---- */

/* The answer of the key-value store to a read of all changes: no change (state NULL), or one change of the
 * job. */
struct amb_buf encode_changes(uint64_t revision, const char *state);
/* The oldest unanswered call of this path; fails the test if there is none. */
struct fake_call *open_call(const char *path);
/* Answers a read of all changes: no change (state NULL), or a change of the job to this state. */
void answer_fresh_read(uint64_t revision, const char *state);
/* Answers the open transaction; status 0: its response is lost. */
void answer_commit(int status, uint64_t store_revision);
/* Delivers a change of the job through the watch that every node keeps open. */
void apply_watched_change(uint64_t revision, const char *state);
/* Fires a timer. */
void fire_timer(struct amb_timer *timer);
/* The revision in the only guard of the open transaction. */
uint64_t compared_revision(void);

#define TEST(name) cmocka_unit_test_setup_teardown(name, fixture_setup, fixture_teardown)

#endif
