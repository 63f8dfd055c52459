#include "amberpin/model/job_spec.h"

#include <string.h>

bool amb_job_spec_allows_type(const struct amb_job_spec *spec, const char *type) {
    for (uint32_t i = 0; i < spec->allowed_type_count; i++)
        if (!strcmp(spec->allowed_types[i], type)) return true;
    return !spec->allowed_type_count;
}
