/* Messages to and from the cloud: requests to scale out and to release machines, and pages of its machine
 * list. Their field names and paths on the wire appear only here and in cloud_messages.c. */
#ifndef AMBERPIN_CODEC_CLOUD_MESSAGES_H
#define AMBERPIN_CODEC_CLOUD_MESSAGES_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/codec/cbor_writer.h"
#include "amberpin/model/model.h"

#define AMB_CLOUD_CATALOG_PATH "/catalog"
#define AMB_CLOUD_MACHINES_PATH "/machines"
#define AMB_CLOUD_RELEASE_PATH "/machines/release"

enum { AMB_CLOUD_LIST_PATH_SIZE = 160 }; /* bytes of a list request's path, including the terminating zero */

/* The duty on whose behalf a call is made. The cloud rejects a fencing token lower than one it has seen. */
struct amb_cloud_fence {
    const char *duty; /* borrowed; NULL: the leader calls on its own behalf, without a fencing token */
    uint64_t fencing_token;
};

/* A request for machines of one type in one zone. The cloud carries out requests with the same request_id
 * only once. Texts are borrowed. */
struct amb_cloud_scale_out {
    const char *request_id, *type, *zone;
    bool spot;
    uint32_t count;
    struct amb_cloud_fence fence;
};

void amb_codec_encode_scale_out(struct amb_buf *out, const struct amb_cloud_scale_out *request);

/* A request to release the named machines. Names are borrowed. */
struct amb_cloud_release {
    const char (*names)[AMB_NAME_SIZE];
    uint32_t count;
    struct amb_cloud_fence fence;
};

void amb_codec_encode_release(struct amb_buf *out, const struct amb_cloud_release *release);

/* The machines acquired by a scale-out request. Valid as long as the body it was decoded from. */
struct amb_cloud_acquired {
    struct amb_cbor_cursor entries; /* before the first one */
    size_t count;                   /* of entries, readable or not */
};

struct amb_cloud_acquired amb_codec_decode_acquired(const struct amb_cbor_item *body);
/* Reads the next name and advances *position, which starts as a copy of `entries`. Unreadable names are
 * skipped. Returns false at the end. */
bool amb_codec_next_acquired(struct amb_cbor_cursor *position, char name[AMB_NAME_SIZE]);

/* Whether an error body reports that the cloud has no capacity for the request. */
bool amb_codec_is_no_capacity(const struct amb_cbor_item *body);

/* State of a machine in the list. */
enum amb_cloud_machine_state {
    AMB_CLOUD_MACHINE_OTHER, /* a state that needs no action */
    AMB_CLOUD_MACHINE_BOOTING,
    AMB_CLOUD_MACHINE_FAILED, /* it will not recover */
};

/* A machine of the list. Missing or unreadable texts are empty. */
struct amb_cloud_machine {
    char name[AMB_NAME_SIZE], type[AMB_NAME_SIZE], zone[AMB_NAME_SIZE], address[AMB_NAME_SIZE];
    enum amb_cloud_machine_state state;
    bool spot;
    bool is_age_known;
    double age_s; /* since it was created */
};

/* A page of the list. Valid as long as the body it was decoded from. */
struct amb_cloud_page {
    struct amb_cbor_cursor entries; /* before the first one */
    size_t count;                   /* of entries, readable or not */
    bool truncated;                 /* more pages follow */
};

/* Writes the path that requests a page of at most `machines` machines, starting after the machine `cursor`
 * (empty: the first page). */
void amb_codec_format_list_path(char path[AMB_CLOUD_LIST_PATH_SIZE], const char *cursor, int machines);
/* Returns false if the body is not a page. */
bool amb_codec_decode_page(const struct amb_cbor_item *body, struct amb_cloud_page *page);
/* Decodes the next machine and advances *position, which starts as a copy of `entries`. Machines whose name
 * cannot be read are skipped. Returns false at the end. */
bool amb_codec_next_machine(struct amb_cbor_cursor *position, struct amb_cloud_machine *machine);

/* Returns the list of machine types in a catalogue's body, whose items amb_codec_decode_machine_type decodes.
 * NULL if there is none. */
const struct amb_cbor_item *amb_codec_catalog_types(const struct amb_cbor_item *body);

#endif
