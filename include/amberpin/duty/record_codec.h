/* Encoding of the durable records of single-holder duties in the key-value store. Each record carries its
 * version. Unknown fields are ignored; a record of a newer version is never acted on. */
#ifndef AMBERPIN_DUTY_RECORD_CODEC_H
#define AMBERPIN_DUTY_RECORD_CODEC_H

#include "amberpin/codec/messages.h"
#include "amberpin/duty/types.h"

enum { AMB_DUTY_RECORD_VERSION = 1 }; /* version of every record that this program writes */

enum {
    AMB_DUTY_MAX_MACHINES = 50, /* most machines that one intent can name */
    AMB_DUTY_REASON_SIZE = 64,  /* bytes of an intent's reason, with the terminating zero */
    AMB_DUTY_KEY_SIZE = 160     /* bytes of any key of these records, with the terminating zero */
};

enum amb_duty_decode_result {
    AMB_DUTY_DECODED,
    AMB_DUTY_NEWER_VERSION, /* written by a later version: not to be acted on */
    AMB_DUTY_MALFORMED,
};

/* What an intent requests, and the machines that it acquired. */
struct amb_duty_intent_payload {
    char type[AMB_NAME_SIZE], zone[AMB_NAME_SIZE]; /* of the machines to acquire (duty rent) */
    bool spot;
    uint32_t count;
    char reason[AMB_DUTY_REASON_SIZE]; /* why machines are released (duties return and reclaim) */
    int64_t created_wall_ms;           /* wall-clock time at which the leader created the intent */
    /* Duties return and reclaim: the machines to release. Duty rent: the machines acquired, once the intent
     * is settled. */
    uint32_t machine_count;
    char (*machines)[AMB_NAME_SIZE]; /* allocated; NULL: none */
};

/* Frees the machine names and zeroes the structure. */
void amb_duty_intent_payload_free(struct amb_duty_intent_payload *payload);
/* Appends a machine name. Returns false if the name is too long or the payload is full. */
bool amb_duty_intent_payload_add_machine(struct amb_duty_intent_payload *payload, const char *machine);

/* The most machines that an intent may name, at least 1, so that its record fits into a value of this size
 * (KiB). */
uint32_t amb_duty_max_machines(double value_kb);

/* Whether the leader or the holders of duties scale out and in: `a/duty-mode`. */
enum amb_duty_mode {
    AMB_DUTY_MODE_LEADER, /* the leader itself; also if the key is absent */
    AMB_DUTY_MODE_DUTIES, /* the holders, by intents that the leader writes */
};

/* The name of the mode in records, in the status and in logs. */
const char *amb_duty_mode_text(enum amb_duty_mode mode);

/* An operator's request to hand over a duty: `a/duty-handover/NAME`. It applies to the holder at the time of
 * the write; a later claim makes it void. */
struct amb_duty_handover {
    char successor[AMB_NAME_SIZE]; /* empty: any member */
};

/* Each function appends the value of a record to the buffer. */
void amb_duty_encode_member(struct amb_buf *out, const struct amb_duty_member_record *member);
void amb_duty_encode_record(struct amb_buf *out, const struct amb_duty_record *record);
void amb_duty_encode_intent(struct amb_buf *out, const struct amb_duty_intent_record *intent,
                            const struct amb_duty_intent_payload *payload);
void amb_duty_encode_mode(struct amb_buf *out, enum amb_duty_mode mode);
void amb_duty_encode_handover(struct amb_buf *out, const struct amb_duty_handover *handover);

/* Each function decodes the fields of the value. The caller fills in names and revisions, which are not part
 * of the value. */
enum amb_duty_decode_result amb_duty_decode_member(const struct amb_cbor_item *value,
                                                   struct amb_duty_member_record *out);
enum amb_duty_decode_result amb_duty_decode_record(const struct amb_cbor_item *value,
                                                   struct amb_duty_record *out);
/* On success the caller must free `payload`; otherwise it is empty. */
enum amb_duty_decode_result amb_duty_decode_intent(const struct amb_cbor_item *value,
                                                   struct amb_duty_intent_record *out,
                                                   struct amb_duty_intent_payload *payload);
enum amb_duty_decode_result amb_duty_decode_mode(const struct amb_cbor_item *value, enum amb_duty_mode *out);
enum amb_duty_decode_result amb_duty_decode_handover(const struct amb_cbor_item *value,
                                                     struct amb_duty_handover *out);

/* ---- keys ---- */

#define AMB_DUTY_KEYS "a/duty" /* prefix of all keys of duties except intents */
#define AMB_DUTY_MEMBER_KEYS "a/duty-member/"
#define AMB_DUTY_RECORD_KEYS "a/duty/"
#define AMB_DUTY_HANDOVER_KEYS "a/duty-handover/"
#define AMB_DUTY_INTENT_KEYS "a/order/"
#define AMB_DUTY_MODE_KEY "a/duty-mode"

void amb_duty_member_key(char out[AMB_DUTY_KEY_SIZE], const char *member);
void amb_duty_record_key(char out[AMB_DUTY_KEY_SIZE], enum amb_duty_name duty);
void amb_duty_handover_key(char out[AMB_DUTY_KEY_SIZE], enum amb_duty_name duty);
void amb_duty_intent_key(char out[AMB_DUTY_KEY_SIZE], enum amb_duty_name duty, const char *id);
/* Splits the key of an intent into duty and id. Returns false if it is not the key of an intent. */
bool amb_duty_parse_intent_key(const char *key, enum amb_duty_name *duty, char id[AMB_DUTY_INTENT_ID_SIZE]);

#endif
