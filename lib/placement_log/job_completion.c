/* Writes the final state of a job that is done. */
#include "job_completion.h"

#include "amberpin/codec/kvstore_messages.h"
#include "amberpin/kvstore/leader_key.h"
#include "amberpin/node/node.h"
#include "store_call.h"

static void handle_job_finished(void *arg, int status, const struct amb_cbor_item *body) {
    struct amb_node *node;
    struct amb_job *job = amb_placement_log_call_take_job(arg, &node);
    if (!job) return;
    job->completion_in_flight = false;
    job->completion_retry_at = amb_now() + node->store.call_timeout / 5;
    uint64_t revision;
    if (status == 200 && amb_kvstore_decode_commit(body, &revision)) {
        amb_job_apply_own_write(node, job, NULL, AMB_JOB_DONE, revision);
    } else if (status == 409) {
        /* If the conflict is not on the leader key, the job was cancelled or an earlier attempt was applied.
         * The watch delivers that change. */
        amb_placement_log_handle_conflict(node, body);
    }
}

void amb_placement_log_finish_job(struct amb_node *node, struct amb_job *job) {
    char key[AMB_NAME_SIZE + 32];
    struct amb_txn transaction = {0};
    struct amb_buf value = {0};
    amb_txn_require_leadership(&transaction, node);
    amb_job_format_key(key, sizeof key, job->ref);
    amb_txn_compare(&transaction, key, job->revision);
    amb_job_encode_record(&value, job, NULL, AMB_JOB_DONE);
    amb_txn_put(&transaction, key, &value, 0);
    amb_buf_free(&value);
    job->completion_in_flight = true;
    amb_store_commit(&node->store, &transaction, AMB_STORE_PRIORITY_FINAL_STATE, handle_job_finished,
                     amb_placement_log_call_new_for_job(node, job));
}
