/* A node that does not lead, and one job that users submit, ask for and cancel there: the test plays the
 * key-value store and the users, in any order of events that the network allows. Link it beside
 * node_fixture.c, fake_http.c and json_cbor. */
#ifndef AMBERPIN_TESTS_USER_FIXTURE_H
#define AMBERPIN_TESTS_USER_FIXTURE_H

#include "fake_http.h"
#include "node_fixture.h"

enum { USERS = 8, FIXTURE_REVISION = 1000 };
enum {
    ACCEPTED_REVISION = FIXTURE_REVISION + 10,
    CHANGED_REVISION = FIXTURE_REVISION + 20
}; /* stamps of the job */

#define JOB_REF "wk-000412"
#define JOB_PATH "/v1/jobs/" JOB_REF
#define CHANGES_PATH "/follow" /* a read of all changes */
#define COMMIT_PATH "/commit"

/* A submission of the job. */
extern const char *const VALID_SUBMISSION;
/* What each user was answered last. */
extern struct fake_reply replies[USERS];

/* ---- the node ---- */

/* As cmocka wants them. */
int fixture_setup(void **state);
int fixture_teardown(void **state);
/* A fresh node in mid-test, for the next row of a table. */
void fixture_reset(void);

/* ---- users ---- */

void issue_request(int user, const char *method, const char *path, struct amb_buf *body);
void user_submit(int user, const char *text);
void poll_job(int user);
void user_cancel(int user);
/* Fails unless this user was answered so; stance NULL: whatever the state. */
void expect_reply(const char *what, int user, int status, const char *stance);
void expect_no_reply(const char *what, int user);

/* ---- the key-value store ---- */

/* What the key-value store answers to a read of all changes: nothing new, or one change of the job. */
struct amb_buf encode_changes(uint64_t stamp, const char *state);
/* The oldest call of this path that is not answered; fails if there is none. */
struct fake_call *open_call(const char *path);
/* Answers a read of all changes: nothing new (NULL), or that the job is in this state. */
void answer_fresh_read(uint64_t stamp, const char *state);
/* Answers the transaction that is open; status 0: its answer is lost. */
void answer_commit(int status, uint64_t epoch);
/* News that come on their own: through the watch that every node keeps open. */
void apply_watched_change(uint64_t stamp, const char *state);
/* Lets a timer run out. */
void fire_timer(struct amb_timer *timer);
/* The stamp in the only guard of the transaction that is open. */
uint64_t compared_revision(void);

#define TEST(name) cmocka_unit_test_setup_teardown(name, fixture_setup, fixture_teardown)

#endif
