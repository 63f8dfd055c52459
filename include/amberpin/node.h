/* One controller node: every module's state, each touched by its own module only (others read). */
#ifndef AMBERPIN_NODE_H
#define AMBERPIN_NODE_H

#include "amberpin/absence.h"
#include "amberpin/change_feed.h"
#include "amberpin/election.h"
#include "amberpin/formats.h"
#include "amberpin/http.h"
#include "amberpin/jobs.h"
#include "amberpin/options.h"
#include "amberpin/settings.h"
#include "amberpin/store.h"
#include "amberpin/tasks.h"

struct amb_node;

/* ---- deputy: keeps a cut-off zone's workers alive for a leader that can't be reached ---- */

enum amb_deputy_state {
    AMB_DEPUTY_OFF,
    AMB_DEPUTY_ASKING, /* lease asked for, or the key being written */
    AMB_DEPUTY_ACTIVE, /* answers reports of its own zone with the leader's token, and starts nothing */
};

struct amb_deputy {
    enum amb_deputy_state state;
    uint64_t lease, term;
    amb_ms since, renewed_at, renew_sent_at;
    bool renewing;
    /* As the leader sees others: when a deputy of a zone was last known of. */
    struct {
        char member[AMB_NAME];
        int zone;
        uint64_t stamp;
        bool present, seen;
    } known[AMB_PEERS + 1];
    uint32_t nknown;
    amb_ms zone_at[AMB_ZONES];
};

void amb_deputy_tick(struct amb_node *n, amb_ms now);
void amb_deputy_listing(struct amb_node *n, bool over);
void amb_deputy_key(struct amb_node *n, const char *member, const cbor_item_t *value, uint64_t stamp);
bool amb_deputy_answers(const struct amb_node *n, const struct amb_report *r);
/* May somebody else be answering machines of this zone under our token? */
bool amb_deputy_in_zone(const struct amb_node *n, int zone);

/* ---- record: the durable form of placements and results ---- */

void amb_record_dirty(struct amb_node *n, struct amb_task *t, bool urgent);
void amb_record_pump(struct amb_node *n); /* writes what is due */
void amb_record_load(struct amb_node *n, const char *key, const cbor_item_t *value, uint64_t stamp);
uint32_t amb_record_tasks_per_block(const struct amb_settings *s);
void amb_record_encode(struct amb_node *n, const struct amb_block *k, struct amb_buf *out);

/* ---- fleet: machines, reports, orders ---- */

enum amb_sight { /* what the leader hears of a zone's machines */
                 AMB_ZONE_HEARD,
                 AMB_ZONE_DIM,  /* a good part of them is silent */
                 AMB_ZONE_DARK, /* nearly all are, and not all zones' */
};

struct amb_fleet {
    struct amb_machine *all;
    struct amb_gone {
        char name[AMB_NAME];
        UT_hash_handle hh;
    } * gone; /* names are never used again: late copies of their reports mean nothing */
    uint64_t marks;
    enum amb_sight sight[AMB_ZONES];
    amb_ms last_report_at; /* when a worker last reported to this node, whatever it was told */
};

bool amb_fleet_dark(const struct amb_node *n, int zone);
/* Have nearly all machines shown our token, so that there is little left to learn? */
bool amb_fleet_learned(const struct amb_node *n);
bool amb_fleet_request(struct amb_node *n, struct amb_http_req *req);
/* What the leader makes of a report; orders are appended. False: the report shows a higher term. */
bool amb_fleet_report(struct amb_node *n, const struct amb_report *r, amb_ms now, struct amb_order *orders,
                      size_t cap, size_t *count);
struct amb_machine *amb_machine_get(struct amb_node *n, const char *name, bool create);
/* The zone, when it was not known yet; the tasks that are on record there count in it from now on. */
void amb_machine_learn_zone(struct amb_machine *m, int zone);
void amb_machine_state(struct amb_machine *m, enum amb_machine_state to, const char *cause);
void amb_machine_gone(struct amb_node *n, struct amb_machine *m, enum amb_absence proof);
void amb_fleet_tick(struct amb_node *n, amb_ms now);
void amb_fleet_clear(struct amb_node *n);
void amb_fleet_tell(struct amb_task *t); /* it may start now: its machine's answer need not wait any longer */
bool amb_machine_usable(const struct amb_node *n, const struct amb_machine *m, amb_ms now);
bool amb_machine_has_image(const struct amb_machine *m, const char *image);
void amb_machine_use_image(struct amb_node *n, struct amb_machine *m, const char *image, double gb);

/* ---- rental: the cloud ---- */

struct amb_charter {
    char id[48];
    int type, zone;
    bool spot, answered;
    uint32_t count;
    enum { AMB_CHARTER_RECORDING, AMB_CHARTER_ASKING, AMB_CHARTER_DONE, AMB_CHARTER_REMOVING } state;
    amb_ms retry_at, done_at;
    bool busy;
    struct amb_charter *next;
    struct amb_node *node;
};

struct amb_refusal { /* capacity that was not there */
    amb_ms until;
    uint32_t times;
};

struct amb_rental {
    struct amb_budget calls;
    bool catalog_known, listing, releasing;
    amb_ms catalog_at, list_at, held_until, list_began, release_retry_at;
    struct amb_timer timer;
    struct amb_charter *charters;
    uint64_t counter;
    uint64_t list_pass;
    bool listed; /* the cloud has listed its machines to the end since this node leads */
    char list_after[AMB_NAME];
    struct amb_refusal refused[AMB_TYPES][AMB_ZONES][2];
    char release_names[100][AMB_NAME];
    uint32_t nrelease;
};

void amb_rental_init(struct amb_node *n);
void amb_rental_tick(struct amb_node *n, amb_ms now);
void amb_rental_load(struct amb_node *n, const char *key, const cbor_item_t *value);
void amb_rental_want(struct amb_node *n, int type, int zone, bool spot, uint32_t count);
uint32_t amb_rental_calls(struct amb_node *n, amb_ms now); /* how many wants can be asked for by now */
void amb_rental_release(struct amb_node *n, struct amb_machine *m, const char *cause);
void amb_rental_clear(struct amb_node *n);
bool amb_rental_refused(const struct amb_node *n, int type, int zone, bool spot, amb_ms now);

/* ---- peer: node to node ---- */

struct json_t;

struct amb_peer_message { /* of a peer, as it was read: the next one is mostly the same */
    char *text;
    size_t len;
    struct json_t *parsed;
};

struct amb_peer_facts { /* what a node says of itself in every message, beside cancellations */
    uint64_t term;
    bool loaded, leading, store_ok, reports_arrive;
};

struct amb_peer_saying { /* a message of this node, kept as long as it would say the same */
    struct amb_peer_facts facts;
    uint64_t cancellations;    /* count of them when it was made */
    int64_t made_at, stale_at; /* time of day; one of the cancellations that it lists is too old then */
    char *text;
};

struct amb_peer {
    char member[AMB_NAME], addr[AMB_NAME];
    amb_ms heard_at, confirmed_at; /* any word; word that it does not lead and knows no higher term */
    uint64_t quiet_term;           /* the last term of ours that it has heeded, and since when */
    amb_ms quiet_at;
    uint64_t term;
    enum amb_format format; /* its last word */
    bool leading, store_ok, reports_arrive, busy;
    amb_ms sent_at;
    struct amb_peer_message heartbeat, answer; /* its last of each */
    struct amb_node *node;
};

struct amb_peers {
    struct json_t *images; /* by machine, as the leader last said: what its cache is thought to hold */
    /* With the cancellations of late; and with none, for a leader that knows of all. */
    struct amb_peer_saying recent, nothing_newer;
    uint64_t newest_cancel_stamp, newest_cancel_count; /* of all known when there were so many */
    uint32_t heartbeats;
    uint32_t count;
    struct amb_peer list[AMB_PEERS];
    struct amb_timer timer;
};

enum { AMB_HEARTBEAT_MAX = 1024 * 1024 }; /* bytes of a message between nodes */

void amb_peer_init(struct amb_node *n);
void amb_peer_forget(struct amb_node *n); /* the messages that are kept */
char *amb_peer_say(struct amb_node *n);   /* what a node tells the others twice a report; to be freed */
/* To a heartbeat, as a tree; request() answers with this as text, kept while it stays the same. */
struct json_t *amb_peer_answer(struct amb_node *n, const struct json_t *question); /* to be released */
/* What another node says of itself; sent_at: when we asked, 0 when it spoke first. */
void amb_peer_heard(struct amb_node *n, struct amb_peer *p, const struct json_t *said, amb_ms sent_at);
/* Do workers come to another node, or can no other node be reached at all? */
bool amb_peer_better_placed(const struct amb_node *n, amb_ms now);
amb_ms amb_peer_confirmed(const struct amb_node *n,
                          amb_ms now); /* since when all peers last confirmed our lead */
/* Since when no other node can have answered a machine under an older term than ours; 0: one still might. */
amb_ms amb_peer_quiet(const struct amb_node *n);
void amb_peer_recall_images(struct amb_node *n, struct amb_machine *m); /* for a machine new to this node */
bool amb_peer_store_ok(const struct amb_node *n, amb_ms now);

/* ---- controller: wires them; the leader's round ---- */

enum { AMB_DEMAND_IMAGES = 6 };

struct amb_demand { /* what a class of jobs has asked for lately */
    char class_name[AMB_NAME];
    struct amb_spec last;
    double rate;  /* tasks a second, decayed */
    double size2; /* mean square of a job's tasks */
    uint32_t nimages;
    char images[AMB_DEMAND_IMAGES][AMB_NAME]; /* those asked for, latest first */
    amb_ms at;
};

enum { AMB_DEMANDS = 32 };

struct amb_controller {
    bool loading, ready, load_synced, load_busy;
    amb_ms load_at, round_at;
    amb_ms leading_since, loaded_at;
    char load_after[256];
    uint64_t load_term;
    bool round_wanted;
    uint32_t turn; /* whose turn comes first */
    double beat_s; /* what the leader's turns are measured in (amb_settings_beat) */
    struct amb_timer timer, round_timer;
    uint32_t ndemands;
    struct amb_demand demands[AMB_DEMANDS];
    amb_ms plan_at;
    struct amb_res peak; /* what jobs took and waited for lately, fading */
    amb_ms peak_at;
};

void amb_controller_lead(struct amb_node *n);
void amb_controller_stop(struct amb_node *n, const char *cause);
void amb_controller_wake(struct amb_node *n); /* something changed that a round should look at */

struct amb_node {
    struct amb_settings set;
    struct amb_options opt;
    struct amb_catalog catalog;
    struct amb_store store;
    struct amb_election election;
    struct amb_timer election_timer;
    struct amb_deputy deputy;
    struct amb_jobs jobs;
    struct amb_fleet fleet;
    struct amb_rental rental;
    struct amb_peers peers;
    struct amb_formats formats;
    struct amb_controller ctl;
    struct amb_server *front, *side;
};

int amb_node_start(struct amb_node *n, char *err, size_t cap);
void amb_reply_cbor(struct amb_http_req *req, int status, struct amb_buf *body,
                    int retry_after_s); /* frees body */

#endif
