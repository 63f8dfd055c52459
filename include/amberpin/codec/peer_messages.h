/* Messages between controllers, as JSON. Every field name of these messages is spelled in
 * lib/codec/peer_messages.c and nowhere else.
 *
 * A message is a fixed part, which is decoded into a struct at once, and lists of rows (cancellations,
 * progress of jobs, images by machine). Rows are decoded one at a time while the caller iterates over them,
 * because a leader's heartbeat may have thousands. Readers ignore fields that they don't know, and skip rows
 * that are malformed. */
#ifndef AMBERPIN_CODEC_PEER_MESSAGES_H
#define AMBERPIN_CODEC_PEER_MESSAGES_H

#include "amberpin/model/model.h"

struct json_t;

/* A message that was parsed, or that is being built. Reference counted. */
struct amb_peer_message;

/* ---- errors ---- */

enum amb_peer_message_fault {
    AMB_PEER_MESSAGE_OK,
    AMB_PEER_MESSAGE_NOT_JSON,
    AMB_PEER_MESSAGE_FIELD_MISSING,
    AMB_PEER_MESSAGE_FIELD_TYPE,
    AMB_PEER_MESSAGE_FIELD_RANGE,
};

/* Why a message can't be used. */
struct amb_peer_message_error {
    enum amb_peer_message_fault fault;
    const char *field; /* a constant; NULL: the message as a whole */
};

const char *amb_peer_message_fault_name(enum amb_peer_message_fault fault);

/* ---- contents ---- */

/* What a controller says of itself in every message. */
struct amb_peer_status {
    uint64_t term; /* its own if it leads, else the highest that it knows */
    bool is_leader;
    bool has_read_store;            /* the whole key-value store, since the process started */
    bool store_reachable;           /* its own requests to the key-value store are answered */
    bool receives_agent_heartbeats; /* lately */
    bool limits_lowered;            /* it has seen that the store's limits are lowered */
    int64_t format;                 /* the latest that it reads; 0: not named, as by the first version */
    int64_t duties_record_version;  /* of the records of single-holder duties; 0: it does not use them */
};

/* The other scalar fields of a message. */
struct amb_peer_message_header {
    uint64_t known_revision; /* the sender knows all changes of the store up to here; 0: not named */
    double token_loan;       /* write tokens that the leader takes from each controller's users' share, or
                              * gives back; 0: none */
};

struct amb_peer_cancellation {
    const char *ref; /* the job's; borrowed from the message */
    int64_t cancelled_wall_ms;
    uint64_t revision; /* of the cancellation in the store; 0, in notices only: not written yet */
};

struct amb_peer_job_progress {
    const char *ref; /* the job's; borrowed from the message */
    uint32_t done, running;
};

struct amb_peer_image {
    char name[AMB_NAME_SIZE];
    double size_gb;
};

/* All images that a machine holds. */
struct amb_peer_machine_images {
    char machine[AMB_NAME_SIZE];
    uint32_t count;
    struct amb_peer_image images[AMB_IMAGES_MAX];
};

/* ---- life of a message ---- */

/* Parses a message, which the caller then owns (amb_peer_message_release). On an error *message is NULL. */
struct amb_peer_message_error amb_peer_message_parse(const char *text, size_t len,
                                                     struct amb_peer_message **message);
/* A new message with this status and an empty list of cancellations, owned by the caller. */
struct amb_peer_message *amb_peer_message_new(const char *sender, const struct amb_peer_status *status);
/* One more owner; returns the message. */
struct amb_peer_message *amb_peer_message_retain(struct amb_peer_message *message);
/* One owner less; the last one frees the message. NULL: does nothing. */
void amb_peer_message_release(struct amb_peer_message *message);

/* ---- encoding ---- */

void amb_peer_message_add_cancellation(struct amb_peer_message *message,
                                       const struct amb_peer_cancellation *cancellation);
void amb_peer_message_set_known_revision(struct amb_peer_message *message, uint64_t revision);
/* Adds the part that only leaders send, with empty lists of images and of progress. */
void amb_peer_message_add_leader_part(struct amb_peer_message *message, double token_loan);
/* To the leader's part; a machine is named once. */
void amb_peer_message_add_machine_images(struct amb_peer_message *message,
                                         const struct amb_peer_machine_images *images);
void amb_peer_message_add_progress(struct amb_peer_message *message,
                                   const struct amb_peer_job_progress *progress);
/* The message as compact JSON, to be freed. */
char *amb_peer_message_to_text(const struct amb_peer_message *message);

/* ---- decoding ---- */

/* Who sent the message; borrowed from it. On an error *sender is NULL. */
struct amb_peer_message_error amb_peer_message_sender(const struct amb_peer_message *message,
                                                      const char **sender);
/* Never fails: what is missing or malformed is 0. */
struct amb_peer_message_header amb_peer_message_header(const struct amb_peer_message *message);
/* Decodes what the sender says of itself. On an error `status` is left as it was. */
struct amb_peer_message_error amb_peer_message_status(const struct amb_peer_message *message,
                                                      struct amb_peer_status *status);

/* Rows of a list that are still to be read; borrowed from the message. */
struct amb_peer_message_rows {
    const struct json_t *list;
    size_t position;
};

struct amb_peer_message_rows amb_peer_message_cancellations(const struct amb_peer_message *message);
struct amb_peer_message_rows amb_peer_message_progress(const struct amb_peer_message *message);
/* Read the next row; false: there is none. */
bool amb_peer_message_next_cancellation(struct amb_peer_message_rows *rows,
                                        struct amb_peer_cancellation *cancellation);
bool amb_peer_message_next_progress(struct amb_peer_message_rows *rows,
                                    struct amb_peer_job_progress *progress);

/* Does the message say anything about images, even if of no machine? */
bool amb_peer_message_has_images(const struct amb_peer_message *message);
/* Reads the next machine, from *position NULL on; false: there is none. Skips machines whose names are too
 * long to be names, and what goes beyond AMB_IMAGES_MAX. */
bool amb_peer_message_next_machine_images(const struct amb_peer_message *message, void **position,
                                          struct amb_peer_machine_images *images);

/* ---- notices of cancellations ---- */

/* A notice as compact JSON, to be freed. */
char *amb_peer_notice_to_text(const struct amb_peer_cancellation *cancellation);
/* Decodes a notice; `cancellation` borrows from the message. On an error it is left as it was. */
struct amb_peer_message_error amb_peer_message_notice(const struct amb_peer_message *message,
                                                      struct amb_peer_cancellation *cancellation);

#endif
