/* Messages between controllers, as JSON. Their field names appear only in lib/codec/peer_messages.c.
 *
 * A message has a fixed part, which is decoded into a struct at once, and lists of rows (cancellations,
 * progress of jobs, images by machine). Rows are decoded one at a time while the caller iterates over them,
 * because a leader's heartbeat may have thousands. Readers ignore unknown fields and skip malformed rows. */
#ifndef AMBERPIN_CODEC_PEER_MESSAGES_H
#define AMBERPIN_CODEC_PEER_MESSAGES_H

#include "amberpin/model/model.h"

struct json_t;

/* A parsed message, or one under construction. Reference counted. */
struct amb_peer_message;

/* ---- errors ---- */

enum amb_peer_message_fault {
    AMB_PEER_MESSAGE_OK,
    AMB_PEER_MESSAGE_NOT_JSON,
    AMB_PEER_MESSAGE_TOO_LARGE, /* its values take more memory than allowed */
    AMB_PEER_MESSAGE_FIELD_MISSING,
    AMB_PEER_MESSAGE_FIELD_TYPE,
    AMB_PEER_MESSAGE_FIELD_RANGE,
};

/* Why a message is invalid. */
struct amb_peer_message_error {
    enum amb_peer_message_fault fault;
    const char *field; /* a constant; NULL: the fault is not in one field */
};

const char *amb_peer_message_fault_name(enum amb_peer_message_fault fault);

/* ---- contents ---- */

/* Status of the sending controller, present in every message. */
struct amb_peer_status {
    uint64_t term; /* its own if it leads, otherwise the highest that it knows */
    bool is_leader;
    bool has_read_store;            /* it has listed the whole key-value store since its process started */
    bool store_reachable;           /* the key-value store answers its requests */
    bool receives_agent_heartbeats; /* it has recently received some */
    bool limits_lowered;            /* it has observed that the store's limits are lowered */
    int64_t format; /* latest format version that it reads; 0: absent, as from the first version */
    int64_t duties_record_version; /* of the records of single-holder duties; 0: it uses none */
};

/* The other scalar fields of a message. */
struct amb_peer_message_header {
    uint64_t known_revision; /* the sender knows all changes of the store up to this revision; 0: absent */
    double token_loan;       /* write tokens that the leader borrows from each controller's share for users,
                              * or returns to it; 0: none */
};

struct amb_peer_cancellation {
    const char *ref; /* the job's; borrowed from the message */
    int64_t cancelled_wall_ms;
    uint64_t revision; /* of the cancellation in the store; 0 (only in notices): not written yet */
};

struct amb_peer_job_progress {
    const char *ref; /* the job's; borrowed from the message */
    uint32_t done, running;
};

struct amb_peer_image {
    char name[AMB_NAME_SIZE];
    double size_gb;
};

/* All images cached on a machine. */
struct amb_peer_machine_images {
    char machine[AMB_NAME_SIZE];
    uint32_t count;
    struct amb_peer_image images[AMB_IMAGES_MAX];
};

/* ---- ownership of messages ---- */

/* Parses a message, which the caller must release (amb_peer_message_release) and whose values may take
 * max_bytes of memory. On an error *message is NULL. */
struct amb_peer_message_error amb_peer_message_parse(const char *text, size_t len, size_t max_bytes,
                                                     struct amb_peer_message **message);
/* Creates a message with this status and an empty list of cancellations, which the caller must release. */
struct amb_peer_message *amb_peer_message_new(const char *sender, const struct amb_peer_status *status);
/* Adds a reference and returns the message. */
struct amb_peer_message *amb_peer_message_retain(struct amb_peer_message *message);
/* Drops a reference; dropping the last one frees the message. Does nothing for NULL. */
void amb_peer_message_release(struct amb_peer_message *message);

/* ---- encoding ---- */

void amb_peer_message_add_cancellation(struct amb_peer_message *message,
                                       const struct amb_peer_cancellation *cancellation);
void amb_peer_message_set_known_revision(struct amb_peer_message *message, uint64_t revision);
/* Adds the fields that only leaders send, with empty lists of images and progress. */
void amb_peer_message_add_leader_part(struct amb_peer_message *message, double token_loan);
/* Adds a machine's images to the leader's part. Each machine may be added once. */
void amb_peer_message_add_machine_images(struct amb_peer_message *message,
                                         const struct amb_peer_machine_images *images);
void amb_peer_message_add_progress(struct amb_peer_message *message,
                                   const struct amb_peer_job_progress *progress);
/* Returns the message as compact JSON, to be freed. */
char *amb_peer_message_to_text(const struct amb_peer_message *message);

/* ---- decoding ---- */

/* Reads the sender's member name, borrowed from the message. On an error *sender is NULL. */
struct amb_peer_message_error amb_peer_message_sender(const struct amb_peer_message *message,
                                                      const char **sender);
/* Reads the header. Never fails: missing or malformed fields are 0. */
struct amb_peer_message_header amb_peer_message_header(const struct amb_peer_message *message);
/* Decodes the sender's status. On an error `status` is unchanged. */
struct amb_peer_message_error amb_peer_message_status(const struct amb_peer_message *message,
                                                      struct amb_peer_status *status);

/* Iterates over the rows of a list, which are borrowed from the message. */
struct amb_peer_message_rows {
    const struct json_t *list;
    size_t position;
};

struct amb_peer_message_rows amb_peer_message_cancellations(const struct amb_peer_message *message);
struct amb_peer_message_rows amb_peer_message_progress(const struct amb_peer_message *message);
/* Read the next row. Return false at the end. */
bool amb_peer_message_next_cancellation(struct amb_peer_message_rows *rows,
                                        struct amb_peer_cancellation *cancellation);
bool amb_peer_message_next_progress(struct amb_peer_message_rows *rows,
                                    struct amb_peer_job_progress *progress);

/* Whether the message has a list of images, even an empty one. */
bool amb_peer_message_has_images(const struct amb_peer_message *message);
/* Reads the next machine and advances *position, which starts as NULL. Returns false at the end. Skips
 * machines whose names are too long, and images beyond AMB_IMAGES_MAX. */
bool amb_peer_message_next_machine_images(const struct amb_peer_message *message, void **position,
                                          struct amb_peer_machine_images *images);

/* ---- cancellation notices ---- */

/* Returns a notice as compact JSON, to be freed. */
char *amb_peer_notice_to_text(const struct amb_peer_cancellation *cancellation);
/* Decodes a notice; `cancellation` borrows from the message. On an error it is unchanged. */
struct amb_peer_message_error amb_peer_message_notice(const struct amb_peer_message *message,
                                                      struct amb_peer_cancellation *cancellation);

#endif
