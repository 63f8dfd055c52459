#include "amberpin/duty/store_adapter.h"

static void grant(void *context, amb_ms ttl, amb_store_callback done, void *arg) {
    amb_store_grant_lease(context, ttl, done, arg);
}

static void extend(void *context, uint64_t lease, amb_store_callback done, void *arg) {
    amb_store_renew_lease(context, lease, done, arg);
}

static void revoke_lease(void *context, uint64_t lease) {
    amb_store_revoke_lease(context, lease);
}

static void list(void *context, const char *prefix, const char *after, amb_store_callback done, void *arg) {
    amb_store_list(context, prefix, after, done, arg);
}

static void commit(void *context, struct amb_txn *transaction, enum amb_store_priority urgency,
                   amb_store_callback done, void *arg) {
    amb_store_commit(context, transaction, urgency, done, arg);
}

struct amb_duty_kvstore amb_duty_kvstore_from_client(struct amb_store *store) {
    return (struct amb_duty_kvstore){.context = store,
                                     .grant = grant,
                                     .extend = extend,
                                     .revoke = revoke_lease,
                                     .list = list,
                                     .commit = commit};
}
