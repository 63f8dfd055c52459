"""HTTP/1.1 for the stand-ins: a server and a client on asyncio streams, bodies in CBOR."""
import asyncio

import cbor


async def read_message(reader):
    """Returns (first line, headers, body); None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    try:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return lines[0], headers, body


async def serve(handler):
    """Serves at a free port. handler(method, path, body) returns (status, value or None), or None: no answer."""

    async def on_connection(reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                method, path, _ = message[0].split(" ")
                try:
                    request = cbor.loads(message[2]) if message[2] else None
                except Exception:
                    request = message[2]
                answer = await handler(method, path, request)
                if answer is None:
                    break
                status, value = answer
                body = cbor.dumps(value) if value is not None else b""
                writer.write(b"HTTP/1.1 %d Status\r\nContent-Length: %d\r\nContent-Type: application/cbor\r\n\r\n"
                             % (status, len(body)) + body)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, "127.0.0.1", 0, limit=1 << 20)
    return server, "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


class Connection:
    """A connection that stays open from one request to the next."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def _exchange(self, method, path, body):
        if not self.writer:
            host, port = self.address.split(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        self.writer.write(b"%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\nContent-Type: application/cbor\r\n\r\n"
                          % (method.encode(), path.encode(), len(body)) + body)
        await self.writer.drain()
        message = await read_message(self.reader)
        if message is None:
            raise ConnectionError("closed")
        if message[1].get("connection", "").lower() == "close":
            self.close()
        return int(message[0].split(" ")[1]), message[1], message[2]

    async def call(self, method, path, value=None, timeout=5.0, raw=None):
        """Returns (status, value); status 0: no answer or no connection. raw: a body that is sent as it is."""
        body = raw if raw is not None else cbor.dumps(value) if value is not None else b""
        try:
            status, _, answer = await asyncio.wait_for(self._exchange(method, path, body), timeout)
        except (OSError, asyncio.TimeoutError, ValueError):
            self.close()
            return 0, None
        try:
            return status, cbor.loads(answer) if answer else None
        except Exception:
            return status, answer
