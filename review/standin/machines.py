"""Cloud and workers of PROTOCOL-amberpin.md. Gangs are not played: the cases submit none."""
import asyncio
import random
import time
from urllib.parse import parse_qs, urlsplit

import web


class Task:
    def __init__(self, job, leg, attempt):
        self.job, self.leg, self.attempt = job, leg, attempt
        self.state, self.cause, self.stored = "fetching", None, None
        self.timer = None

    def report(self):
        row = {"leg": self.leg, "try": self.attempt, "stance": self.state}
        if self.cause:
            row["cause"] = self.cause
        if self.stored:
            row["stored"] = True
        return row


class Worker:
    """One machine's worker: reports, leases, orders, tasks."""

    def __init__(self, cloud, name, hull, yard, driftwood):
        self.cloud, self.name, self.hull, self.yard, self.driftwood = cloud, name, hull, yard, driftwood
        self.rented_at, self.stance = time.monotonic(), "booting"
        self.tasks, self.images = {}, {}
        self.watch, self.tally, self.baton = 1, 0, 0
        self.node, self.changed = 0, asyncio.Event()
        self.session_began = self.lease_from = None
        self.address = "127.0.0.1:9"

    # ---- tasks ----

    def _room(self, job):
        kind = self.cloud.hulls[self.hull]
        live = [t.job for t in self.tasks.values() if t.state != "exited"]
        return all(sum(j[key] for j in live) + job[key] <= kind[key] + 1e-6
                   for key in ("vcpus", "accelerators", "ram_gb"))

    def _exit(self, task, cause):
        if task.state == "exited":
            return
        if task.timer:
            task.timer.cancel()
        if task.state != "fetching":
            self.cloud.record("off", leg=task.leg, attempt=task.attempt, machine=self.name, cause=cause)
        task.state, task.cause = "exited", cause
        self.changed.set()

    async def _play(self, task):
        image = task.job["cask"]
        if image not in self.images:
            rate = self.cloud.hulls[self.hull]["fetch_gb_per_s"]
            self.images[image] = asyncio.ensure_future(asyncio.sleep(task.job["size_gb"] / rate))
        await asyncio.shield(self.images[image])
        task.state = "running"
        self.cloud.record("on", leg=task.leg, attempt=task.attempt, machine=self.name)
        self.changed.set()
        if task.job["shape"] == "batch":
            await asyncio.sleep(task.job["reckon_s"])
            task.timer = None
            self._exit(task, "done")

    def _run(self, order):
        leg, attempt = order["leg"], order["try"]
        if any(t.leg == leg and t.attempt == attempt for t in self.tasks.values()):
            return
        ref, _, index = leg.partition("/")
        job = self.cloud.jobs.get(ref)
        task = Task(job, leg, attempt)
        self.tasks[leg, attempt] = task
        refused = ("unknown" if not job or int(index) >= job["legs"] else
                   "busy" if any(t.leg == leg and t is not task and t.state != "exited"
                                 for t in self.tasks.values()) else None)
        if not refused:
            task.state = "exited"
            fits = self._room(job)
            task.state = "fetching"
            refused = None if fits else "full"
        self.cloud.record("order", leg=leg, attempt=attempt, machine=self.name, refused=refused)
        self.changed.set()
        if refused:
            task.state, task.cause = "exited", refused
            return
        task.timer = asyncio.ensure_future(self._play(task))

    def _halt(self, task, easing):
        job = task.job
        if task.state == "running" and job["mark_s"] > 0 and easing >= job["stow_s"]:
            task.timer.cancel()
            task.state = "saving"

            async def save():
                await asyncio.sleep(job["stow_s"])
                task.timer, task.stored = None, True
                self._exit(task, "stopped")
            task.timer = asyncio.ensure_future(save())
            self.changed.set()
        elif task.state != "saving" or easing == 0:
            self._exit(task, "stopped")

    def _execute(self, orders):
        for order in orders:
            task = self.tasks.get((order["leg"], order["try"]))
            if order["verb"] == "run":
                self._run(order)
            elif order["verb"] == "halt" and task:
                self._halt(task, order.get("easing_s") or 0)
            elif order["verb"] == "clear" and task and task.state == "exited":
                del self.tasks[order["leg"], order["try"]]

    # ---- reports ----

    def _report(self):
        self.tally += 1
        return {"rig": self.name, "address": self.address, "hull": self.hull, "yard": self.yard,
                "driftwood": self.driftwood, "watch": self.watch, "tally": self.tally, "baton": self.baton,
                "recall_s": None, "legs": [task.report() for task in self.tasks.values()]}

    def kill_all(self, cause):
        for task in self.tasks.values():
            if task.state != "exited":
                self._exit(task, cause)
        self.tasks.clear()

    def _check_lease(self):
        if time.monotonic() - self.lease_from > self.cloud.lease_s:
            self.kill_all("lease")
            self.watch += 1
            self.lease_from = time.monotonic()
            self.changed.set()

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            self._check_lease()

    async def handle(self, method, path, body):
        if path == "/inspect":
            return 200, self._report()
        if body.get("baton") is None or body.get("watch") is None:
            return 400, None
        if body["baton"] < self.baton or body["watch"] != self.watch:
            return 409, self._report()
        if body["baton"] > self.baton:
            self.baton = body["baton"]
            self.changed.set()
        self._execute(body.get("orders") or [])
        return 200, self._report()

    async def _send(self, connection):
        """Sends a report. Returns the node for the next one and the least pause before it."""
        sent, watch = time.monotonic(), self.watch
        following = (self.node + 1) % len(self.cloud.nodes)
        self.changed.clear()
        status, answer = await connection.call("POST", "/hello", self._report(), timeout=4.0)
        if status == 421:
            harbour = (answer or {}).get("harbour")
            names = [node.member for node in self.cloud.nodes]
            if harbour in names and names.index(harbour) != self.node:
                return names.index(harbour), random.uniform(0, 0.5)
            return following, 1.0
        if status != 200:
            return following, 1.0
        baton = (answer or {}).get("baton") or 0
        if watch == self.watch and baton >= self.baton:
            if baton > self.baton:
                self.baton = baton
            self.lease_from = sent
            self._execute(answer.get("orders") or [])
        return self.node, 0.5

    async def run(self, boot_s):
        await asyncio.sleep(boot_s)
        server, self.address = await web.serve(self.handle)
        self.stance, self.lease_from = "running", time.monotonic()
        connection, lease = None, asyncio.ensure_future(self._watch_lease())
        try:
            while True:
                if not connection or connection.address != self.cloud.nodes[self.node].front:
                    if connection:
                        connection.close()
                    connection = web.Connection(self.cloud.nodes[self.node].front)
                node, pause = await self._send(connection)
                moved, self.node = node != self.node, node
                end = time.monotonic() + self.cloud.report_s * random.uniform(0.75, 1.25)
                await asyncio.sleep(pause)
                while not moved and time.monotonic() < end and not self.changed.is_set():
                    await asyncio.sleep(0.02)
        finally:
            lease.cancel()
            server.close()
            if connection:
                connection.close()


class Cloud:
    def __init__(self, hulls, nodes, jobs, record, report_s, lease_s, list_lag_s, boot_s):
        self.hulls = {hull["name"]: hull for hull in hulls}
        self.nodes, self.jobs, self.record = nodes, jobs, record
        self.report_s, self.lease_s, self.lag, self.boot_s = report_s, lease_s, list_lag_s, boot_s
        self.workers, self.gone, self.charters, self.players = {}, [], {}, {}

    def _rent(self, hull, yard, driftwood):
        worker = Worker(self, "m-%06d" % (len(self.workers) + len(self.gone) + 1), hull, yard, driftwood)
        self.workers[worker.name] = worker
        self.players[worker.name] = asyncio.ensure_future(worker.run(self.boot_s))
        self.record("rented", machine=worker.name, hull=hull, yard=yard)
        return worker.name

    def _release(self, name):
        worker = self.workers.pop(name, None)
        if worker:
            self.players.pop(name).cancel()
            worker.kill_all("machine returned")
            self.gone.append((time.monotonic(), worker))
            self.record("returned", machine=name)

    def end(self):
        for player in self.players.values():
            player.cancel()

    def _list(self, query):
        now, after, most = time.monotonic(), query.get("after", ""), min(int(query.get("most", 500)), 500)
        shown = [w for w in self.workers.values() if now - w.rented_at >= self.lag]
        shown += [w for at, w in self.gone if now - at < self.lag <= now - w.rented_at]
        rows = [{"ref": w.name, "address": w.address, "hull": w.hull, "yard": w.yard, "driftwood": w.driftwood,
                 "stance": w.stance, "held_s": now - w.rented_at}
                for w in sorted(shown, key=lambda w: w.name) if w.name > after]
        return 200, {"rigs": rows[:most], "truncated": len(rows) > most}

    async def handle(self, method, path, body):
        url = urlsplit(path)
        if url.path == "/catalog":
            return 200, {"hulls": list(self.hulls.values())}
        if url.path == "/machines/release":
            for name in body["rigs"]:
                self._release(name)
            return 200, {}
        if method == "GET":
            return self._list({key: values[0] for key, values in parse_qs(url.query).items()})
        if body["charter"] not in self.charters:
            self.charters[body["charter"]] = [self._rent(body["hull"], body["yard"], body["driftwood"])
                                              for _ in range(min(body["count"], 50))]
        return 200, {"rigs": self.charters[body["charter"]]}
