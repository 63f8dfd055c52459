#include "amberpin/model/name_list.h"

#include "amberpin/base/util.h"

#include <stdlib.h>

struct amb_name_list *amb_name_list_new(size_t text_bytes) {
    return amb_alloc(sizeof(struct amb_name_list) + text_bytes);
}

void amb_name_list_append(struct amb_name_list *list, const char *name) {
    size_t size = strlen(name) + 1;
    memcpy(list->text + list->text_bytes, name, size);
    list->text_bytes += size;
    list->count++;
}

static bool is_normalized(const struct amb_name_list *list) {
    const char *name = amb_name_list_first(list);
    for (uint32_t i = 1; i < list->count; i++) {
        const char *next = amb_name_list_next(name);
        if (strcmp(name, next) >= 0) return false;
        name = next;
    }
    return true;
}

static int compare_names(const void *left, const void *right) {
    return strcmp(*(const char *const *)left, *(const char *const *)right);
}

struct amb_name_list *amb_name_list_normalize(struct amb_name_list *list) {
    if (is_normalized(list)) return list;
    const char **sorted = amb_alloc(list->count * sizeof *sorted);
    struct amb_name_list *normalized = amb_name_list_new(list->text_bytes);
    const char *name = amb_name_list_first(list);
    for (uint32_t i = 0; i < list->count; i++) {
        sorted[i] = name;
        name = amb_name_list_next(name);
    }
    qsort(sorted, list->count, sizeof *sorted, compare_names);
    for (uint32_t i = 0; i < list->count; i++)
        if (!i || strcmp(sorted[i - 1], sorted[i]) != 0) amb_name_list_append(normalized, sorted[i]);
    free(sorted);
    free(list);
    return normalized;
}
