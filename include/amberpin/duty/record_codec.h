/* The durable records of single-holder duties, as the key-value store keeps them. Each says its version.
 * Fields that are not known are ignored; a record of a newer version is never acted on. */
#ifndef AMBERPIN_DUTY_RECORD_CODEC_H
#define AMBERPIN_DUTY_RECORD_CODEC_H

#include "amberpin/codec/messages.h"
#include "amberpin/duty/types.h"

enum { AMB_DUTY_RECORD_VERSION = 1 }; /* of every record that this version writes */

enum {
    AMB_DUTY_MAX_MACHINES = 50, /* most machines that one intent names */
    AMB_DUTY_REASON_SIZE = 64,  /* bytes of an intent's reason, with the terminating zero */
    AMB_DUTY_KEY_SIZE = 160     /* bytes of any key of these records, with the terminating zero */
};

enum amb_duty_decode_result {
    AMB_DUTY_DECODED,
    AMB_DUTY_NEWER_VERSION, /* of a later version: not to be acted on */
    AMB_DUTY_MALFORMED,
};

/* What an intent asks for, and what came of it. */
struct amb_duty_intent_payload {
    char type[AMB_NAME_SIZE], zone[AMB_NAME_SIZE]; /* rent */
    bool spot;
    uint32_t count;
    char reason[AMB_DUTY_REASON_SIZE]; /* return and reclaim */
    int64_t created_wall_ms;           /* time of day at which the leader wrote it */
    /* Return and reclaim: the machines to be released. Rent: those acquired, once it is settled. */
    uint32_t machine_count;
    char (*machines)[AMB_NAME_SIZE]; /* allocated; NULL: none */
};

/* Frees the names, and zeroes the rest. */
void amb_duty_intent_payload_free(struct amb_duty_intent_payload *work);
/* Adds a machine's name. False: there is no room for more. */
bool amb_duty_intent_payload_add_machine(struct amb_duty_intent_payload *work, const char *machine);

/* How many machines an intent may name, so that its record keeps within values of this size. */
uint32_t amb_duty_max_machines(double value_kb);

/* Which of leader and holders scales out and in: `a/duty-mode`. */
enum amb_duty_mode {
    AMB_DUTY_MODE_LEADER, /* the leader itself; also when there is no such key */
    AMB_DUTY_MODE_DUTIES, /* the holders, by intents of the leader */
};

/* The mode's name in records, status and logs. */
const char *amb_duty_mode_text(enum amb_duty_mode mode);

/* An operator's request to hand a duty over: `a/duty-handover/NAME`. It concerns the holder at the time at
 * which it was written; a later claim ends it. */
struct amb_duty_handover {
    char successor[AMB_NAME_SIZE]; /* empty: nobody in particular */
};

/* Each appends the value of a record to the buffer. */
void amb_duty_encode_member(struct amb_buf *out, const struct amb_duty_member_record *member);
void amb_duty_encode_record(struct amb_buf *out, const struct amb_duty_record *record);
void amb_duty_encode_intent(struct amb_buf *out, const struct amb_duty_intent_record *intent,
                            const struct amb_duty_intent_payload *work);
void amb_duty_encode_mode(struct amb_buf *out, enum amb_duty_mode mode);
void amb_duty_encode_handover(struct amb_buf *out, const struct amb_duty_handover *handover);

/* Each fills what the value holds; names and revisions, which stand in the key, are the caller's. */
enum amb_duty_decode_result amb_duty_decode_member(const cbor_item_t *value,
                                                   struct amb_duty_member_record *out);
enum amb_duty_decode_result amb_duty_decode_record(const cbor_item_t *value, struct amb_duty_record *out);
/* On success the caller frees `work`. */
enum amb_duty_decode_result amb_duty_decode_intent(const cbor_item_t *value,
                                                   struct amb_duty_intent_record *out,
                                                   struct amb_duty_intent_payload *work);
enum amb_duty_decode_result amb_duty_decode_mode(const cbor_item_t *value, enum amb_duty_mode *out);
enum amb_duty_decode_result amb_duty_decode_handover(const cbor_item_t *value, struct amb_duty_handover *out);

/* ---- keys ---- */

#define AMB_DUTY_KEYS "a/duty" /* prefix of all of these but intents */
#define AMB_DUTY_MEMBER_KEYS "a/duty-member/"
#define AMB_DUTY_RECORD_KEYS "a/duty/"
#define AMB_DUTY_HANDOVER_KEYS "a/duty-handover/"
#define AMB_DUTY_INTENT_KEYS "a/order/"
#define AMB_DUTY_MODE_KEY "a/duty-mode"

void amb_duty_member_key(char out[AMB_DUTY_KEY_SIZE], const char *member);
void amb_duty_record_key(char out[AMB_DUTY_KEY_SIZE], enum amb_duty_name duty);
void amb_duty_handover_key(char out[AMB_DUTY_KEY_SIZE], enum amb_duty_name duty);
void amb_duty_intent_key(char out[AMB_DUTY_KEY_SIZE], enum amb_duty_name duty, const char *id);
/* Parts of an intent's key. False: it is none. */
bool amb_duty_parse_intent_key(const char *key, enum amb_duty_name *duty, char id[AMB_DUTY_INTENT_ID_SIZE]);

#endif
