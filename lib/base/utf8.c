#include "amberpin/base/utf8.h"

/* The characters of more than one byte by their first byte (RFC 3629, section 4). All bytes after the second
 * are continuation bytes. */
static const struct sequence {
    unsigned char first_from, first_to, second_from, second_to;
    size_t len;
} SEQUENCES[] = {
    {0xc2, 0xdf, 0x80, 0xbf, 2}, {0xe0, 0xe0, 0xa0, 0xbf, 3}, {0xe1, 0xec, 0x80, 0xbf, 3},
    {0xed, 0xed, 0x80, 0x9f, 3}, {0xee, 0xef, 0x80, 0xbf, 3}, {0xf0, 0xf0, 0x90, 0xbf, 4},
    {0xf1, 0xf3, 0x80, 0xbf, 4}, {0xf4, 0xf4, 0x80, 0x8f, 4},
};

enum { SEQUENCE_COUNT = sizeof SEQUENCES / sizeof *SEQUENCES, ASCII_END = 0x80 };

static bool is_within(unsigned char byte, unsigned char from, unsigned char last) {
    return from <= byte && byte <= last;
}

static const struct sequence *find_sequence(unsigned char first) {
    for (size_t i = 0; i < SEQUENCE_COUNT; i++)
        if (is_within(first, SEQUENCES[i].first_from, SEQUENCES[i].first_to)) return &SEQUENCES[i];
    return NULL;
}

/* Returns the length of the character at the start of the text; 0: there is none. */
static size_t character_length(const unsigned char *text, size_t len) {
    if (text[0] < ASCII_END) return 1;
    const struct sequence *sequence = find_sequence(text[0]);
    if (!sequence || sequence->len > len) return 0;
    if (!is_within(text[1], sequence->second_from, sequence->second_to)) return 0;
    for (size_t i = 2; i < sequence->len; i++)
        if (!is_within(text[i], 0x80, 0xbf)) return 0;
    return sequence->len;
}

bool amb_is_utf8(const void *data, size_t len) {
    const unsigned char *text = data;
    while (len) {
        size_t character = character_length(text, len);
        if (!character) return false;
        text += character;
        len -= character;
    }
    return true;
}
