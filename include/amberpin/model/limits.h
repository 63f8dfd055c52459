/* Bounds of the domain types. The peers' messages, the state service's records and the agents' messages are
 * checked against them when they are decoded, so arrays of these sizes never overflow. */
#ifndef AMBERPIN_MODEL_LIMITS_H
#define AMBERPIN_MODEL_LIMITS_H

enum {
    AMB_NAME_SIZE = 64,         /* bytes of any name, with its terminating zero */
    AMB_MACHINE_TYPES_MAX = 32, /* of a catalogue; one bit each in masks of types */
    AMB_ZONES_MAX = 16,         /* of a catalogue */
    AMB_IMAGES_MAX = 24,        /* remembered for one machine */
    AMB_ALLOWED_TYPES_MAX = 16, /* that one job may name */
    AMB_TASKS_MAX = 100000,     /* of one job */
};

#endif
