/* Heads of CBOR data items (RFC 8949, section 3): the first byte has the major type and either the argument
 * or the size of the argument that follows. Internal to lib/codec. */
#ifndef AMBERPIN_CODEC_CBOR_HEAD_H
#define AMBERPIN_CODEC_CBOR_HEAD_H

enum cbor_major {
    CBOR_MAJOR_UINT = 0,
    CBOR_MAJOR_NEGINT = 1,
    CBOR_MAJOR_BYTES = 2,
    CBOR_MAJOR_TEXT = 3,
    CBOR_MAJOR_LIST = 4,
    CBOR_MAJOR_MAP = 5,
    CBOR_MAJOR_TAG = 6,
    CBOR_MAJOR_SIMPLE = 7,
};

/* Low bits of a head's first byte: an argument below CBOR_INFO_ARGUMENT_1, the size of the argument that
 * follows (1, 2, 4 or 8 bytes), or no argument. */
enum {
    CBOR_INFO_BITS = 5,
    CBOR_INFO_MASK = 31,
    CBOR_INFO_ARGUMENT_1 = 24,
    CBOR_INFO_ARGUMENT_8 = 27,
    CBOR_INFO_OPEN_ENDED = 31,
};

/* Whole first bytes of CBOR_MAJOR_SIMPLE. */
enum {
    CBOR_BYTE_FALSE = 0xf4,
    CBOR_BYTE_TRUE = 0xf5,
    CBOR_BYTE_NULL = 0xf6,
    CBOR_BYTE_UNDEFINED = 0xf7,
    CBOR_BYTE_HALF = 0xf9,
    CBOR_BYTE_SINGLE = 0xfa,
    CBOR_BYTE_DOUBLE = 0xfb,
    CBOR_BYTE_BREAK = 0xff,
};

#endif
