#include "amberpin/job/job_names.h"

#include "amberpin/base/util.h"

#include <stdlib.h>
#include <string.h>

static struct amb_job_name *find(const struct amb_job_names *names, const char *text) {
    struct amb_job_name *name;
    HASH_FIND_STR(names->by_text, text, name);
    return name;
}

uint32_t amb_job_names_find(const struct amb_job_names *names, const char *text) {
    const struct amb_job_name *name = find(names, text);
    return name ? name->id : AMB_NO_JOB_ID;
}

const char *amb_job_names_text(const struct amb_job_names *names, uint32_t id) {
    return names->by_id[id]->text;
}

/* ---- references ---- */

static void grow(struct amb_job_names *names) {
    enum { FIRST_CAPACITY = 16 };
    uint32_t capacity = names->capacity ? names->capacity + names->capacity / 2 : FIRST_CAPACITY;
    names->by_id = amb_realloc(names->by_id, capacity * sizeof *names->by_id);
    for (uint32_t id = names->capacity; id < capacity; id++) names->by_id[id] = NULL;
    names->capacity = capacity;
}

static uint32_t take_free_id(struct amb_job_names *names) {
    while (names->first_free < names->capacity && names->by_id[names->first_free]) names->first_free++;
    if (names->first_free == names->capacity) grow(names);
    return names->first_free++;
}

static struct amb_job_name *add_name(struct amb_job_names *names, const char *text) {
    size_t text_bytes = strlen(text) + 1;
    struct amb_job_name *name = amb_alloc(sizeof *name + text_bytes);
    memcpy(name->text, text, text_bytes);
    name->id = take_free_id(names);
    names->by_id[name->id] = name;
    HASH_ADD_KEYPTR(hh, names->by_text, name->text, text_bytes - 1, name);
    names->usage.names++;
    names->usage.name_bytes += text_bytes;
    return name;
}

static void free_name(struct amb_job_names *names, struct amb_job_name *name) {
    /* NOLINTNEXTLINE(clang-analyzer-core.NullDereference): the table is not empty, the name is in it */
    HASH_DEL(names->by_text, name);
    names->by_id[name->id] = NULL;
    if (name->id < names->first_free) names->first_free = name->id;
    names->usage.names--;
    names->usage.name_bytes -= strlen(name->text) + 1;
    free(name);
}

static uint32_t acquire(struct amb_job_names *names, const char *text) {
    struct amb_job_name *name = find(names, text);
    if (!name) name = add_name(names, text);
    name->references++;
    return name->id;
}

static void release(struct amb_job_names *names, uint32_t id) {
    struct amb_job_name *name = names->by_id[id];
    if (!--name->references) free_name(names, name);
}

void amb_job_names_clear(struct amb_job_names *names) {
    for (uint32_t id = 0; id < names->capacity; id++)
        if (names->by_id[id]) free_name(names, names->by_id[id]);
    free(names->by_id);
    memset(names, 0, sizeof *names);
}

/* ---- lists of dependencies ---- */

static void count_if_new(const struct amb_job_names *names, const char *text,
                         struct amb_dependency_usage *usage) {
    if (find(names, text)) return;
    usage->names++;
    usage->name_bytes += strlen(text) + 1;
}

struct amb_dependency_usage amb_job_names_added_usage(const struct amb_job_names *names, const char *job_ref,
                                                      const struct amb_name_list *dependencies) {
    struct amb_dependency_usage usage = {0};
    if (!dependencies) return usage;
    usage.lists = 1;
    usage.edges = dependencies->count;
    count_if_new(names, job_ref, &usage);
    const char *name = amb_name_list_first(dependencies);
    for (uint32_t i = 0; i < dependencies->count; i++, name = amb_name_list_next(name))
        count_if_new(names, name, &usage);
    return usage;
}

struct amb_job_dependencies *amb_job_dependencies_new(struct amb_job_names *names, const char *job_ref,
                                                      const struct amb_name_list *dependencies) {
    if (!dependencies) return NULL;
    struct amb_job_dependencies *list = amb_alloc(sizeof *list + dependencies->count * sizeof *list->ids);
    list->job = acquire(names, job_ref);
    list->count = dependencies->count;
    const char *name = amb_name_list_first(dependencies);
    for (uint32_t i = 0; i < list->count; i++, name = amb_name_list_next(name))
        list->ids[i] = acquire(names, name);
    names->usage.lists++;
    names->usage.edges += list->count;
    return list;
}

void amb_job_dependencies_free(struct amb_job_names *names, struct amb_job_dependencies *dependencies) {
    if (!dependencies) return;
    names->usage.lists--;
    names->usage.edges -= dependencies->count;
    for (uint32_t i = 0; i < dependencies->count; i++) release(names, dependencies->ids[i]);
    release(names, dependencies->job);
    free(dependencies);
}

struct amb_name_list *amb_job_dependencies_names(const struct amb_job_names *names,
                                                 const struct amb_job_dependencies *dependencies) {
    if (!dependencies) return NULL;
    size_t text_bytes = 0;
    for (uint32_t i = 0; i < dependencies->count; i++)
        text_bytes += strlen(amb_job_names_text(names, dependencies->ids[i])) + 1;
    struct amb_name_list *list = amb_name_list_new(text_bytes);
    for (uint32_t i = 0; i < dependencies->count; i++)
        amb_name_list_append(list, amb_job_names_text(names, dependencies->ids[i]));
    return list;
}
