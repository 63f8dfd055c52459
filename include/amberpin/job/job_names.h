/* The names of jobs that depend on others or that others depend on, each kept once (string interning). A list
 * of dependencies refers to a name by a small number. A number stays valid while a list refers to it, and may
 * stand for another name afterwards. */
#ifndef AMBERPIN_JOB_NAMES_H
#define AMBERPIN_JOB_NAMES_H

#include "amberpin/model/job_spec.h"
#include "amberpin/model/name_list.h"

#include <uthash.h>

/* Private. */
struct amb_job_name {
    uint32_t id;
    uint32_t references; /* from lists */
    UT_hash_handle hh;
    char text[];
};

struct amb_job_names {
    struct amb_job_name **by_id; /* owned; NULL: the number is free */
    uint32_t capacity;           /* of by_id */
    uint32_t first_free;         /* no number below it is free */
    struct amb_job_name *by_text;
    struct amb_dependency_usage usage; /* of all lists and names */
};

/* Returns the number of a name, or AMB_NO_JOB_ID if no list refers to it. */
uint32_t amb_job_names_find(const struct amb_job_names *names, const char *text);
/* Returns the name with this number, borrowed. */
const char *amb_job_names_text(const struct amb_job_names *names, uint32_t id);
/* Returns what the dependencies of one more job would add to the usage. NULL: none. */
struct amb_dependency_usage amb_job_names_added_usage(const struct amb_job_names *names, const char *job_ref,
                                                      const struct amb_name_list *dependencies);
/* Frees all names. Lists that refer to them must not be used any more. */
void amb_job_names_clear(struct amb_job_names *names);

/* ---- lists of dependencies ---- */

/* Returns the dependencies of a job as numbers, in the order of the names. NULL: none. */
struct amb_job_dependencies *amb_job_dependencies_new(struct amb_job_names *names, const char *job_ref,
                                                      const struct amb_name_list *dependencies);
/* Frees the list, and the names that no other list refers to. NULL has no effect. */
void amb_job_dependencies_free(struct amb_job_names *names, struct amb_job_dependencies *dependencies);
/* Returns the names of the dependencies in the order of the list; the caller frees them. NULL: none. */
struct amb_name_list *amb_job_dependencies_names(const struct amb_job_names *names,
                                                 const struct amb_job_dependencies *dependencies);

#endif
