/* A list of names in one block of memory: the names one after another, each with its terminating zero. */
#ifndef AMBERPIN_MODEL_NAME_LIST_H
#define AMBERPIN_MODEL_NAME_LIST_H

#include <stddef.h>
#include <stdint.h>
#include <string.h>

struct amb_name_list {
    uint32_t count;
    size_t text_bytes; /* of all names with their terminating zeros */
    char text[];
};

/* Returns an empty list with room for names of this many bytes, terminating zeros included. The caller frees
 * it. */
struct amb_name_list *amb_name_list_new(size_t text_bytes);
/* Appends a name, for which there must be room. */
void amb_name_list_append(struct amb_name_list *list, const char *name);
/* Sorts the names and removes duplicates. Returns the list, which may have been replaced by another one. */
struct amb_name_list *amb_name_list_normalize(struct amb_name_list *list);

/* The first name of a list that is not empty; borrowed. */
static inline const char *amb_name_list_first(const struct amb_name_list *list) {
    return list->text;
}
/* The name after this one; after the last, the end of the text. */
static inline const char *amb_name_list_next(const char *name) {
    return name + strlen(name) + 1;
}

#endif
