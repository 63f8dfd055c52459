/* Why settings or options are invalid. */
#ifndef AMBERPIN_CONFIG_ERROR_H
#define AMBERPIN_CONFIG_ERROR_H

enum amb_config_problem {
    AMB_CONFIG_VALID,
    AMB_CONFIG_UNREADABLE, /* the file can't be opened */
    AMB_CONFIG_SYNTAX,     /* it is not valid TOML or XML */
    AMB_CONFIG_UNKNOWN_NAME,
    AMB_CONFIG_MISSING_VALUE,
    AMB_CONFIG_INVALID_VALUE, /* of the wrong type or out of bounds */
    AMB_CONFIG_TOO_MANY_ITEMS,
};

enum { AMB_CONFIG_ERROR_BYTES = 512 };

struct amb_config_error {
    enum amb_config_problem problem;
    char text[AMB_CONFIG_ERROR_BYTES]; /* one line, names the file and the field */
};

#endif
