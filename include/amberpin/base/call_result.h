/* How a call to the state service ended, for the pure state machines that are told of it. */
#ifndef AMBERPIN_CALL_RESULT_H
#define AMBERPIN_CALL_RESULT_H

enum amb_call_result { /* of a call to the state service */
                       AMB_CALL_OK,
                       AMB_CALL_NOT_FOUND, /* no such key or lease */
                       AMB_CALL_CONFLICT,  /* a guard did not hold */
                       AMB_CALL_REFUSED,   /* not carried out */
                       AMB_CALL_NO_ANSWER, /* no answer: carried out or not, or later */
};

#endif
