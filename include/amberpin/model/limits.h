/* Bounds of the domain types. Messages of peers and agents and records of the state service are checked
 * against them when they are decoded, so arrays of these sizes cannot overflow. */
#ifndef AMBERPIN_MODEL_LIMITS_H
#define AMBERPIN_MODEL_LIMITS_H

enum {
    AMB_NAME_SIZE = 64,         /* bytes of any name, with its terminating zero */
    AMB_MACHINE_TYPES_MAX = 32, /* in a catalogue; each has one bit in masks of types */
    AMB_ZONES_MAX = 16,         /* in a catalogue */
    AMB_IMAGES_MAX = 24,        /* remembered per machine */
    AMB_ALLOWED_TYPES_MAX = 16, /* that a job may name */
    AMB_TASKS_MAX = 100000,     /* in one job */
};

#endif
