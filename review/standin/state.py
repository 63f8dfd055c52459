"""State service of PROTOCOL-amberpin.md: keys with versions, transactions, leases, watches, rate limits."""
import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

KEPT_CHANGES = 10000
LIST_ITEMS, LIST_BYTES, TRANSACTION_BYTES = 1000, 512 * 1024, 64 * 1024


class Bucket:
    def __init__(self, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()

    def take(self, count):
        now = time.monotonic()
        self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
        self.at = now
        if self.tokens < count:
            return False
        self.tokens -= count
        return True


class State:
    def __init__(self, rps, write_rps, value_kb, txn_ops):
        self.requests, self.writes = Bucket(rps), Bucket(write_rps)
        self.value_bytes, self.txn_ops = value_kb * 1024, txn_ops
        self.keys = {}     # key: [value, version, lease, bytes as JSON]
        self.epoch = 1
        self.changes = []  # (revision, key, value or None), the most recent KEPT_CHANGES
        self.dropped = 0   # revision of the latest change that is no longer kept
        self.leases = {}   # id: [ttl in s, end]
        self.next_lease = 0
        self.changed = asyncio.Event()
        self.on_commit = None

    def _put(self, key, value, lease):
        self.keys[key] = [value, self.epoch, lease, len(json.dumps(value))]
        self.changes.append((self.epoch, key, value))

    def _remove(self, key):
        if self.keys.pop(key, None):
            self.changes.append((self.epoch, key, None))

    def _wake(self):
        while len(self.changes) > KEPT_CHANGES:
            self.dropped = self.changes.pop(0)[0]
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def _end_lease(self, lease):
        if not self.leases.pop(lease, None):
            return
        keys = [key for key, entry in self.keys.items() if entry[2] == lease]
        if keys:
            self.epoch += 1
            for key in keys:
                self._remove(key)
            self._wake()

    async def run(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (_, end) in self.leases.items() if now >= end]:
                self._end_lease(lease)

    def _commit(self, body):
        guards, then = body.get("guards") or [], body.get("then") or []
        if len(then) > self.txn_ops or len(guards) > 4 * self.txn_ops or len(json.dumps(body)) > TRANSACTION_BYTES:
            return 400, {"error": "too large"}
        if any("put" in op and len(json.dumps(op["value"])) > self.value_bytes for op in then):
            return 400, {"error": "value too large"}
        if not self.writes.take(len(then)):
            return 429, None
        if any(op.get("tenure") and op["tenure"] not in self.leases for op in then):
            return 400, {"error": "no such lease"}
        failed = [g["path"] for g in guards if (self.keys.get(g["path"]) or [0, 0])[1] != g["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if then:
            self.epoch += 1
            for op in then:
                if "put" in op:
                    self._put(op["put"], op["value"], op.get("tenure"))
                else:
                    self._remove(op["remove"])
            self._wake()
        return 200, {"epoch": self.epoch}

    def _list(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        most, pairs, size = min(int(query.get("most", LIST_ITEMS)), LIST_ITEMS), [], 0
        for key in sorted(k for k in self.keys if k.startswith(prefix) and k > after):
            value, version, lease, length = self.keys[key]
            if len(pairs) == most or size + length + 100 > LIST_BYTES:
                return 200, {"pairs": pairs, "truncated": True, "epoch": self.epoch}
            size += length + 100
            pairs.append({"path": key, "value": value, "stamp": version})
        return 200, {"pairs": pairs, "truncated": False, "epoch": self.epoch}

    async def _follow(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        end = time.monotonic() + min(int(query.get("wait_ms", 0)), 60000) / 1000
        while True:
            if after < self.dropped:
                return 410, None
            news = []
            for revision, key, value in reversed(self.changes):
                if revision <= after:
                    break
                if key.startswith(prefix):
                    news.append({"remove": key, "stamp": revision} if value is None else
                                {"put": key, "value": value, "stamp": revision})
            left = end - time.monotonic()
            if news or left <= 0:
                return 200, {"epoch": self.epoch, "news": news[::-1]}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def handle(self, method, path, body):
        if not self.requests.take(1):
            return 429, None
        url = urlsplit(path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = url.path.strip("/").split("/")
        if parts[0] == "store" and len(parts) > 1:
            entry = self.keys.get("/".join(parts[1:]))
            if not entry:
                return 404, {"epoch": self.epoch}
            answer = {"path": "/".join(parts[1:]), "value": entry[0], "stamp": entry[1]}
            if entry[2]:
                answer["tenure"] = entry[2]
            return 200, answer
        if parts[0] == "store":
            return self._list(query)
        if parts[0] == "follow":
            return await self._follow(query)
        if parts[0] == "commit":
            answer = self._commit(body)
            if self.on_commit:
                self.on_commit(body, answer[0])
            return answer
        if parts == ["leases"]:
            self.next_lease += 1
            ttl = body["ttl_ms"] / 1000
            self.leases[self.next_lease] = [ttl, time.monotonic() + ttl]
            return 200, {"tenure": self.next_lease}
        lease = int(parts[1])
        if lease not in self.leases:
            return 404, None
        if method == "DELETE":
            self._end_lease(lease)
        else:
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
        return 200, {"tenure": lease}
