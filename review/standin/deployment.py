"""A small deployment on loopback addresses: the platform that starts the controllers and keeps them to their memory
(DEPLOY-amberpin.md), a load balancer's choice of nodes, users, and the state service, cloud and workers."""
import asyncio
import ctypes
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time

import machines
import state
import web

# The program of the deploy file's `run`, from the repository's root.
PROGRAM = ["target/amberpin", "--config"]
PLAY_MOST_S = 108
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """In a new process: it ends when the script ends, however that ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Node:
    def __init__(self, number, area):
        self.member, self.area = "pinhost-%d" % number, area
        self.front, self.cluster = ("127.0.0.1:%d" % free_port() for _ in range(2))
        self.process, self.start_at, self.peak_mb, self.ends = None, 0, 0.0, []
        self.healthy, self.probes = False, []
        self.state_address, self.refused = None, False  # refused: the state service answers it with 503


class Deployment:
    """site: the figures of the deployment, by the names of the settings file."""

    def __init__(self, site, folder):
        self.site, self.began = site, time.monotonic()
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.directory = tempfile.TemporaryDirectory()
        self.nodes = [Node(i, site["zones"][i % len(site["zones"])]) for i in range(site["nodes"])]
        self.jobs, self.tasks, self.servers = {}, [], []
        self.on_event = None
        self.next_node = 0

    def record(self, event, **fields):
        at = time.monotonic() - self.began
        self.out.write("%8.3f %s %s\n" % (at, event, " ".join("%s=%s" % f for f in fields.items())))
        self.out.flush()
        if self.on_event:
            self.on_event(at, event, fields)

    # ---- settings ----

    def _settings(self, node):
        site = self.site
        rows = ['member = "%s"' % node.member, 'area = "%s"' % node.area, 'front = "%s"' % node.front,
                'cluster_listen = "%s"' % node.cluster]
        for other in self.nodes:
            if other is not node:
                rows += ["[[others]]", 'member = "%s"' % other.member, 'area = "%s"' % other.area,
                         'addr = "%s"' % other.cluster]
        rows += ["[endpoints]", 'cloud = "%s"' % self.cloud_address, 'state = "%s"' % node.state_address,
                 "[params]", "initial_size = %d" % site["nodes"],
                 "zones = [%s]" % ", ".join('"%s"' % z for z in site["zones"]), "skew_ms = 5.0"]
        for name, gpus, gpus_max in site["teams"]:
            rows += ["[[params.teams]]", 'name = "%s"' % name, "cpus = 0.0", "cpus_max = 0.0",
                     "gpus = %.1f" % gpus, "gpus_max = %.1f" % gpus_max]
        for name, within_s in site["objectives"]:
            rows += ["[[params.objectives]]", 'kind = "wait"', 'class = "%s"' % name, "within_s = %.1f" % within_s,
                     "share = 0.82"]
        for section in ("workers", "state", "cloud", "quota"):
            rows.append("[params.%s]" % section)
            rows += ["%s = %s" % item for item in site[section].items()]
        return "\n".join(rows) + "\n"

    # ---- platform ----

    def _start(self, node):
        path = os.path.join(self.directory.name, node.member + ".toml")
        with open(path, "w") as out:
            out.write(self._settings(node))
        log = open(os.path.join(self.directory.name, node.member + ".log"), "a")
        node.process = subprocess.Popen(PROGRAM + [path], stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                                        env=dict(os.environ, LOG_LEVEL="info"), preexec_fn=end_with_parent)
        log.close()
        self.record("started", node=node.member, pid=node.process.pid)

    @staticmethod
    def _memory_mb(pid):
        """What the process holds now, and the most that it has held."""
        now = peak = 0
        try:
            with open("/proc/%d/status" % pid) as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        now = int(line.split()[1]) / 1024
                    if line.startswith("VmHWM:"):
                        peak = int(line.split()[1]) / 1024
        except OSError:
            pass
        return now, peak

    def _ended(self, node, cause):
        node.ends.append((time.monotonic() - self.began, cause))
        self.record("ended", node=node.member, cause=cause.replace(" ", "_"))
        node.process, node.start_at = None, time.monotonic() + self.site["back_s"]
        node.healthy, node.probes = False, []

    def kill(self, node, cause):
        node.process.send_signal(signal.SIGKILL)
        node.process.wait()
        self._ended(node, cause)

    async def _platform(self):
        while True:
            for node in self.nodes:
                if not node.process:
                    if time.monotonic() >= node.start_at:
                        self._start(node)
                    continue
                _, peak = self._memory_mb(node.process.pid)
                node.peak_mb = max(node.peak_mb, peak)
                if node.process.poll() is not None:
                    self._ended(node, "by itself, status %d" % node.process.returncode)
                elif peak > self.site["quota"]["memory_mb"]:
                    self.kill(node, "over its memory, %.0f MB of %.0f" % (peak, self.site["quota"]["memory_mb"]))
            await asyncio.sleep(0.01)

    # ---- load balancer ----

    async def _probe(self, node):
        connection = web.Connection(node.front)
        while True:
            status, _ = await connection.call("GET", "/healthz", timeout=1.0)
            node.probes = (node.probes + [status == 200])[-2:]
            if status == 200 and all(node.probes):
                node.healthy = True
            elif len(node.probes) == 2 and not any(node.probes):
                node.healthy = False
            await asyncio.sleep(1.0)

    def choose(self):
        """The next healthy node, in turn; None: there is none."""
        healthy = [node for node in self.nodes if node.healthy]
        if not healthy:
            return None
        self.next_node += 1
        return healthy[self.next_node % len(healthy)]

    # ---- users ----

    async def ask(self, method, path, value=None, timeout=5.0, raw=None, note=True):
        """One request over a new connection, through the load balancer. Returns (status, answer)."""
        node = self.choose()
        if not node:
            status, answer = 0, None
        else:
            connection = web.Connection(node.front)
            status, answer = await connection.call(method, path, value, timeout, raw)
            connection.close()
        if note:
            sent = ("%d_bytes" % len(raw) if raw is not None else "none" if value is None else
                    "%s_%s_legs_%d_awaits_%d" % (value["ref"], value["shape"], value["legs"],
                                                 len(value.get("awaits") or [])))
            self.record("request", what=method + "_" + path, sent=sent, node=node.member if node else "-",
                        status=status, answer=str(answer).replace(" ", "")[:100])
        return status, answer

    async def submit(self, job, for_s=60.0, note=True):
        """Submits as users do: retried after 1 s or more, for up to 60 s. Returns the last status."""
        self.jobs[job["ref"]] = job  # users upload the description, which workers fetch
        end = time.monotonic() + for_s
        while True:
            status, answer = await self.ask("POST", "/v1/jobs", job, note=note)
            if status in (200, 201, 400, 422) or time.monotonic() > end:
                return status, answer
            await asyncio.sleep(1.0)

    # ---- the run ----

    def _state_for(self, node):
        async def handle(method, path, body):
            if node.refused:
                return 503, None
            return await self.state.handle(method, path, body)
        return handle

    async def __aenter__(self):
        site = self.site
        limits = site["state"]
        self.state = state.State(limits["rps"], limits["write_rps"], limits["value_kb"], limits["txn_ops"])
        self.cloud = machines.Cloud(site["hulls"], self.nodes, self.jobs, self.record, site["workers"]["report_s"],
                                    site["workers"]["lease_s"], site["cloud"]["list_lag_s"], site["boot_s"])
        for node in self.nodes:
            server, node.state_address = await web.serve(self._state_for(node))
            self.servers.append(server)
        server, self.cloud_address = await web.serve(self.cloud.handle)
        self.servers.append(server)
        self.tasks = [asyncio.ensure_future(self.state.run()), asyncio.ensure_future(self._platform())]
        self.tasks += [asyncio.ensure_future(self._probe(node)) for node in self.nodes]
        end = time.monotonic() + 30
        while not all(node.healthy for node in self.nodes) or "a/leader" not in self.state.keys:
            if time.monotonic() > end:
                raise RuntimeError("the controllers do not become healthy")
            await asyncio.sleep(0.1)
        self.record("all_healthy")
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        self.cloud.end()
        for node in self.nodes:
            if node.process:
                _, peak = self._memory_mb(node.process.pid)
                node.peak_mb = max(node.peak_mb, peak)
                node.process.kill()
                node.process.wait()
            self.record("peak", node=node.member, mb="%.1f" % node.peak_mb, ends=len(node.ends))
        for server in self.servers:
            server.close()
        self.out.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            import shutil
            shutil.copytree(self.directory.name, keep, dirs_exist_ok=True)
        self.directory.cleanup()


def play(case, site, folder):
    """Plays case(deployment, trouble), which returns whether the rule held. Ends the process: 0 held, 1 broken, 2 the
    case could not run."""

    async def run():
        deployment = Deployment(site, folder)
        async with deployment:
            held = await asyncio.wait_for(case(deployment, os.environ.get("TROUBLE", "1") != "0"), PLAY_MOST_S)
            deployment.record("held" if held else "broken")
            return held

    if not os.access(PROGRAM[0], os.X_OK):
        print("no %s: build it first" % PROGRAM[0])
        sys.exit(2)
    try:
        held = asyncio.run(run())
    except Exception as error:
        print("could not run: %r" % error)
        sys.exit(2)
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
