/* How a call to the key-value store ended, for the pure state machines that are told of it. */
#ifndef AMBERPIN_CALL_RESULT_H
#define AMBERPIN_CALL_RESULT_H

enum amb_call_result {
    AMB_CALL_OK,
    AMB_CALL_NOT_FOUND, /* no such key or lease */
    AMB_CALL_CONFLICT,  /* a compare failed: nothing was changed */
    AMB_CALL_REFUSED,   /* not carried out */
    AMB_CALL_NO_ANSWER, /* carried out or not, or may be later */
};

#endif
