/* Results of calls to the key-value store, as passed to the state machines that do no input or output. */
#ifndef AMBERPIN_CALL_RESULT_H
#define AMBERPIN_CALL_RESULT_H

enum amb_call_result {
    AMB_CALL_OK,
    AMB_CALL_NOT_FOUND, /* no such key or lease */
    AMB_CALL_CONFLICT,  /* a compare failed; nothing was changed */
    AMB_CALL_REFUSED,   /* rejected without being carried out */
    AMB_CALL_NO_ANSWER, /* no response: the call may have been carried out, or may be later */
};

#endif
