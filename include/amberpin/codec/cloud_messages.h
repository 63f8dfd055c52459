/* Messages with the cloud: requests to scale out and to release machines, and the pages of its machine list.
 * The wire's names and paths of these messages stand here and in cloud_messages.c only. */
#ifndef AMBERPIN_CODEC_CLOUD_MESSAGES_H
#define AMBERPIN_CODEC_CLOUD_MESSAGES_H

#include "amberpin/codec/cbor_item.h"
#include "amberpin/codec/cbor_writer.h"
#include "amberpin/model/model.h"

#define AMB_CLOUD_CATALOG_PATH "/catalog"
#define AMB_CLOUD_MACHINES_PATH "/machines"
#define AMB_CLOUD_RELEASE_PATH "/machines/release"

enum { AMB_CLOUD_LIST_PATH_SIZE = 160 }; /* bytes of a list request's path, with the terminating zero */

/* The duty on whose behalf a call is made. The cloud refuses a fencing token lower than one it has seen. */
struct amb_cloud_fence {
    const char *duty; /* borrowed; NULL: the leader calls on its own behalf, without a fencing token */
    uint64_t fencing_token;
};

/* A request for machines of one kind. Repeated under the same name it is carried out once. Texts are
 * borrowed.
 */
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

/* The machines that a request to scale out was given. Valid as long as the body it was decoded from. */
struct amb_cloud_acquired {
    const cbor_item_t *entries;
    size_t count; /* of entries, readable or not */
};

struct amb_cloud_acquired amb_codec_decode_acquired(const cbor_item_t *body);
/* The name at this place. False: it can't be read. */
bool amb_codec_acquired_name(const struct amb_cloud_acquired *acquired, size_t index,
                             char name[AMB_NAME_SIZE]);

/* Does an error body say that there is no capacity of the kind that was requested? */
bool amb_codec_is_no_capacity(const cbor_item_t *body);

/* What the list says of a machine's life cycle. */
enum amb_cloud_machine_state {
    AMB_CLOUD_MACHINE_OTHER, /* nothing that is acted on */
    AMB_CLOUD_MACHINE_BOOTING,
    AMB_CLOUD_MACHINE_FAILED, /* it never works again */
};

/* A machine of the list. Texts that are missing or unreadable are empty. */
struct amb_cloud_machine {
    char name[AMB_NAME_SIZE], type[AMB_NAME_SIZE], zone[AMB_NAME_SIZE], address[AMB_NAME_SIZE];
    enum amb_cloud_machine_state state;
    bool spot;
    bool is_age_known;
    double age_s; /* since it was created */
};

/* A page of the list. Valid as long as the body it was decoded from. */
struct amb_cloud_page {
    const cbor_item_t *entries;
    size_t count;   /* of entries, readable or not */
    bool truncated; /* the list goes on after this page */
};

/* The path that requests the page after the machine `cursor` (empty: the first) of at most so many machines.
 */
void amb_codec_format_list_path(char path[AMB_CLOUD_LIST_PATH_SIZE], const char *cursor, int machines);
/* False: the body is no page. */
bool amb_codec_decode_page(const cbor_item_t *body, struct amb_cloud_page *page);
/* The machine at this place. False: its name can't be read. */
bool amb_codec_decode_machine(const struct amb_cloud_page *page, size_t index,
                              struct amb_cloud_machine *machine);

/* The machine types of a catalogue's body, as a list for amb_codec_decode_machine_type; NULL: there is none.
 */
const cbor_item_t *amb_codec_catalog_types(const cbor_item_t *body);

#endif
