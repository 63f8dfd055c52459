"""CBOR (RFC 8949) as far as the protocol uses it: maps with text keys, lists, text, numbers, booleans, null."""
import struct


def _head(major, number):
    if number < 24:
        return bytes([major << 5 | number])
    for info, size in ((24, 1), (25, 2), (26, 4), (27, 8)):
        if number < 1 << 8 * size:
            return bytes([major << 5 | info]) + number.to_bytes(size, "big")
    raise ValueError("number too large")


def dumps(value):
    if value is None:
        return b"\xf6"
    if value is True:
        return b"\xf5"
    if value is False:
        return b"\xf4"
    if isinstance(value, int):
        return _head(0, value) if value >= 0 else _head(1, -1 - value)
    if isinstance(value, float):
        return b"\xfb" + struct.pack(">d", value)
    if isinstance(value, str):
        text = value.encode()
        return _head(3, len(text)) + text
    if isinstance(value, (list, tuple)):
        return _head(4, len(value)) + b"".join(map(dumps, value))
    if isinstance(value, dict):
        return _head(5, len(value)) + b"".join(dumps(k) + dumps(v) for k, v in value.items())
    raise TypeError(type(value))


def _load(data, at):
    byte = data[at]
    major, info = byte >> 5, byte & 31
    at += 1
    if major == 7:
        if info in (20, 21):
            return info == 21, at
        if info in (22, 23):
            return None, at
        size = {25: 2, 26: 4, 27: 8}[info]
        return struct.unpack({2: ">e", 4: ">f", 8: ">d"}[size], data[at:at + size])[0], at + size
    if info < 24:
        number = info
    else:
        size = {24: 1, 25: 2, 26: 4, 27: 8}[info]
        number = int.from_bytes(data[at:at + size], "big")
        at += size
    if major == 0:
        return number, at
    if major == 1:
        return -1 - number, at
    if major == 3:
        return data[at:at + number].decode(), at + number
    if major == 4:
        items = []
        for _ in range(number):
            item, at = _load(data, at)
            items.append(item)
        return items, at
    if major == 5:
        pairs = {}
        for _ in range(number):
            key, at = _load(data, at)
            pairs[key], at = _load(data, at)
        return pairs, at
    raise ValueError("not in the protocol")


def loads(data):
    value, at = _load(data, 0)
    if at != len(data):
        raise ValueError("more than one value")
    return value
