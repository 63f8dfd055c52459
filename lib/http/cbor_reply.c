/* Replies whose body is CBOR. */
#include "amberpin/http/http.h"

void amb_http_reply_cbor(struct amb_http_req *request, int status, struct amb_buf *body, int retry_after_s) {
    amb_http_reply(request, status, "application/cbor", body ? body->data : NULL, body ? body->len : 0,
                   retry_after_s);
    if (body) amb_buf_free(body);
}
