"""Stand-ins for the systems around plankhead, for the cases of the review.

State service, cloud, workers and users, as the protocol's pages describe them, on loopback addresses
and the real clock. Only Python's standard library is used. A case builds a `Deployment`, injects its trouble, and judges
by `Deployment.events` and by what the workers have on them.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
T0 = time.monotonic()
# The protocol's path for jobs, and its limit for a request body.
JOBS = "/work"
MAX_BODY = 64 * 1024


def now():
    """Seconds since the script began, on the steady clock."""
    return time.monotonic() - T0


# --- HTTP -----------------------------------------------------------------------------------------

async def read_head(reader):
    line = await reader.readline()
    if not line:
        return None, None
    headers = {}
    while True:
        header = await reader.readline()
        if header in (b"\r\n", b"\n", b""):
            break
        name, _, value = header.decode("latin1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin1").rstrip("\r\n"), headers


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone",
           429: "Too Many Requests", 503: "Service Unavailable"}


class Server:
    """An HTTP/1.1 server. `handler(method, path, query, body)` returns (status, JSON value)."""

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.address = None
        self.tasks = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.connection, "127.0.0.1", port, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def connection(self, reader, writer):
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                line, headers = await read_head(reader)
                if line is None:
                    return
                method, target, _ = line.split(" ", 2)
                length = int(headers.get("content-length", "0") or 0)
                body = await reader.readexactly(length) if length else b""
                path, _, query = target.partition("?")
                if length > MAX_BODY:
                    status, value = 400, {"error": "too large"}
                else:
                    try:
                        parsed = json.loads(body) if body else None
                        status, value = await self.handler(method, path, parse_qs(query), parsed)
                    except json.JSONDecodeError:
                        status, value = 400, {"error": "not JSON"}
                data = json.dumps(value).encode()
                writer.write(b"HTTP/1.1 %d %s\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                             % (status, REASONS.get(status, "Status").encode(), len(data)) + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.tasks.discard(asyncio.current_task())
            writer.close()

    def close(self):
        if self.server:
            self.server.close()
        for task in list(self.tasks):
            task.cancel()


class Connection:
    """A client's connection, kept open between requests."""

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def call(self, method, path, value=None, timeout=4.0):
        """Returns (status, JSON value), or (None, reason) if there was no response."""
        try:
            return await asyncio.wait_for(self._call(method, path, value), timeout)
        except asyncio.TimeoutError:
            self.close()
            return None, "timeout"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            self.close()
            return None, type(error).__name__

    async def _call(self, method, path, value):
        if self.writer is None:
            host, port = self.address.split(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 24)
        body = b"" if value is None else json.dumps(value, separators=(",", ":")).encode()
        self.writer.write(("%s %s HTTP/1.1\r\nhost: %s\r\ncontent-length: %d\r\n\r\n"
                           % (method, path, self.address, len(body))).encode() + body)
        await self.writer.drain()
        line, headers = await read_head(self.reader)
        if line is None:
            raise ConnectionError("closed")
        data = await self.reader.readexactly(int(headers.get("content-length", "0")))
        if headers.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), (json.loads(data) if data else None)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None


class Bucket:
    """A rate limit that allows bursts of some seconds' worth."""

    def __init__(self, rate, burst_s=1.0):
        self.rate, self.most, self.at = rate, rate * burst_s, now()
        self.level = self.most

    def take(self, count):
        self.level = min(self.most, self.level + (now() - self.at) * self.rate)
        self.at = now()
        if self.level < count:
            return False
        self.level -= count
        return True


# --- state service --------------------------------------------------------------------------------

class StateService:
    def __init__(self, limits):
        self.rows, self.history, self.leases = {}, [], {}
        self.epoch, self.next_lease = 0, 1
        self.limits = limits
        self.requests, self.writes = Bucket(limits["rps"]), Bucket(limits["write_rps"])
        self.changed = asyncio.Event()
        self.down = False

    def set_down(self, down):
        """Begins or ends an outage. After it every lease has its full time again."""
        self.down = down
        for lease in self.leases.values():
            lease[1] = now() + lease[0]
        self.notify()

    async def handle(self, method, path, query, body):
        if self.down:
            return 503, {"error": "trouble"}
        self.expire()
        if not self.requests.take(1):
            return 429, {"error": "rate"}
        if path == "/txn":
            return self.transaction(body)
        if path == "/kv":
            return self.list(query)
        if path.startswith("/kv/"):
            key = path[4:]
            if key not in self.rows:
                return 404, {"epoch": self.epoch}
            value, stamp, lease = self.rows[key]
            return 200, {"k": key, "value": value, "stamp": stamp, "hold": lease}
        if path == "/follow":
            return await self.follow(query)
        if path.startswith("/grants"):
            return self.lease(method, path.split("/")[2:], body)
        return 400, {"error": "no such path"}

    def list(self, query):
        prefix, after = query.get("prefix", [""])[0], query.get("after", [""])[0]
        most = min(int(query.get("most", ["1000"])[0]), 1000)
        keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
        rows, size = [], 0
        for key in keys:
            row = {"k": key, "value": self.rows[key][0], "stamp": self.rows[key][1]}
            size += len(json.dumps(row)) + 2
            if rows and (len(rows) >= most or size > 500 * 1024):
                break
            rows.append(row)
        return 200, {"rows": rows, "truncated": len(rows) < len(keys), "epoch": self.epoch}

    def transaction(self, body):
        changes, conditions = body.get("apply") or [], body.get("if") or []
        if len(changes) > self.limits["txn_ops"] or len(conditions) > 4 * self.limits["txn_ops"]:
            return 400, {"error": "too many"}
        for change in changes:
            if len(json.dumps(change.get("value"), separators=(",", ":"))) > self.limits["value_kb"] * 1024:
                return 400, {"error": "value too large"}
        if changes and not self.writes.take(len(changes)):
            return 429, {"error": "rate"}
        failed = [c["k"] for c in conditions if (self.rows.get(c["k"], (None, 0))[1]) != c["stamp"]]
        if failed:
            return 409, {"failed": failed, "epoch": self.epoch}
        if any(c.get("hold") is not None and c["hold"] not in self.leases for c in changes):
            return 400, {"error": "no such lease"}
        if changes:
            self.epoch += 1
            for change in changes:
                if "write" in change:
                    self.rows[change["write"]] = (change["value"], self.epoch, change.get("hold"))
                    self.record({"write": change["write"], "value": change["value"], "stamp": self.epoch})
                elif self.rows.pop(change["drop"], None):
                    self.record({"drop": change["drop"], "stamp": self.epoch})
            self.notify()
        return 200, {"epoch": self.epoch}

    def record(self, event):
        self.history.append(event)

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    async def follow(self, query):
        prefix, after = query.get("prefix", [""])[0], int(query.get("after", ["0"])[0])
        until = now() + int(query.get("waitMs", ["0"])[0]) / 1000
        while True:
            events = []
            for event in reversed(self.history):
                if event["stamp"] <= after:
                    break
                if (event.get("write") or event.get("drop")).startswith(prefix):
                    events.append(event)
            if self.down:
                # Open watches stay open in an outage.
                await asyncio.sleep(0.05)
                continue
            if events or now() >= until:
                return 200, {"epoch": self.epoch, "events": events[::-1]}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, until - now()))
            except asyncio.TimeoutError:
                pass
            self.expire()

    def lease(self, method, parts, body):
        if not parts:
            lease, life = self.next_lease, body["lifeMs"] / 1000
            self.next_lease += 1
            self.leases[lease] = [life, now() + life]
            return 200, {"hold": lease}
        lease = int(parts[0])
        if lease not in self.leases:
            return 404, {"error": "no such lease"}
        if method == "DELETE":
            self.end_lease(lease)
        else:
            self.leases[lease][1] = now() + self.leases[lease][0]
        return 200, {}

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, row in self.rows.items() if row[2] == lease]
        if keys:
            self.epoch += 1
            for key in keys:
                del self.rows[key]
                self.record({"drop": key, "stamp": self.epoch})
            self.notify()

    def expire(self):
        if self.down:
            return
        for lease in [l for l, (_, end) in self.leases.items() if end <= now()]:
            self.end_lease(lease)

    async def run(self):
        while True:
            await asyncio.sleep(0.05)
            self.expire()


# --- workers --------------------------------------------------------------------------------------

class Worker:
    def __init__(self, deployment, name, rig, zone, spot):
        self.d, self.name, self.rig, self.zone, self.spot = deployment, name, rig, zone, spot
        self.type = deployment.types[rig]
        self.shift, self.tick, self.baton = 1, 0, 0
        self.tasks, self.images = {}, set()
        self.warning = None
        self.renewed = now()
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.node = random.randrange(len(deployment.api))
        self.connection = None
        self.loops = []
        self.beats_answered = 0
        # A machine that hangs keeps its tasks, does nothing and answers nothing.
        self.hung = False

    async def start(self):
        await self.server.start()
        self.loops = [asyncio.create_task(self.beat()), asyncio.create_task(self.work())]

    def stop(self):
        for loop in self.loops:
            loop.cancel()
        self.server.close()
        if self.connection:
            self.connection.close()
        for key, task in self.tasks.items():
            if task["status"] != "ended":
                self.d.event("gone", piece=key[0], attempt=key[1], host=self.name)

    def report(self):
        self.tick += 1
        pieces = []
        for (piece, attempt), task in self.tasks.items():
            row = {"piece": piece, "try": attempt, "status": task["status"]}
            if task["status"] == "ended":
                row["cause"] = task["cause"]
            pieces.append(row)
        return {"host": self.name, "address": self.server.address, "rig": self.rig, "yard": self.zone,
                "loaners": self.spot, "shift": self.shift, "tick": self.tick, "baton": self.baton,
                "warningS": self.warning, "pieces": pieces}

    async def handle(self, method, path, query, body):
        while self.hung:
            await asyncio.sleep(0.05)
        if path == "/inspect":
            return 200, self.report()
        if path != "/orders":
            return 400, {}
        if body.get("baton") is None or body.get("shift") is None:
            return 400, {}
        self.advance()
        if body["baton"] < self.baton or body["shift"] != self.shift:
            return 409, self.report()
        self.see_token(body["baton"])
        self.execute(body["orders"])
        return 200, self.report()

    def see_token(self, baton):
        if baton > self.baton:
            self.baton = baton

    def used(self):
        alive = [self.d.jobs[k[0].split("/")[0]] for k, t in self.tasks.items() if t["status"] != "ended"]
        return [sum(job[r] for job in alive) for r in ("cpus", "gpus", "ramGb")]

    def execute(self, orders):
        for order in orders:
            key, verb = (order["piece"], order["try"]), order["verb"]
            task = self.tasks.get(key)
            if verb == "run" and task is None:
                self.run_task(key)
            elif verb == "kill" and task and task["status"] != "ended":
                self.end(key, "stopped")
            elif verb == "reap" and task and task["status"] == "ended":
                del self.tasks[key]

    def run_task(self, key):
        job = self.d.jobs.get(key[0].split("/")[0])
        if job is None:
            self.tasks[key] = {"status": "ended", "cause": "unknown"}
        elif any(k[0] == key[0] and t["status"] != "ended" for k, t in self.tasks.items()):
            self.tasks[key] = {"status": "ended", "cause": "busy"}
        else:
            used, type_ = self.used(), self.type
            have = [type_["cpus"], type_["gpus"], type_["ramGb"]]
            if any(u + job[r] > h + 1e-6 for u, r, h in zip(used, ("cpus", "gpus", "ramGb"), have)):
                self.tasks[key] = {"status": "ended", "cause": "full"}
            else:
                fetch = 0 if job["bundle"] in self.images else job["imageGb"] / type_["pullGbPerS"] / self.d.fetch_factor
                self.tasks[key] = {"status": "pulling", "until": now() + fetch}
                self.d.event("command", piece=key[0], attempt=key[1], host=self.name)
        self.advance()
        self.changed.set()

    def end(self, key, cause):
        self.tasks[key].update(status="ended", cause=cause)
        self.d.event("ended", piece=key[0], attempt=key[1], host=self.name, cause=cause)
        self.changed.set()

    def advance(self):
        if now() - self.renewed > self.d.workers_settings["lease_s"]:
            self.d.event("lease_expired", host=self.name, tasks=len(self.tasks))
            self.tasks, self.images = {}, set()
            self.shift, self.tick, self.renewed = self.shift + 1, 0, now()
            self.changed.set()
        for key, task in list(self.tasks.items()):
            job = self.d.jobs.get(key[0].split("/")[0])
            if task["status"] == "pulling" and now() >= task["until"]:
                self.images.add(job["bundle"])
                task.update(status="running", until=now() + self.d.run_s[job["nameId"]])
                self.d.event("started", piece=key[0], attempt=key[1], host=self.name, zone=self.zone)
                self.changed.set()
            elif task["status"] == "running" and now() >= task["until"]:
                self.end(key, "done")

    async def work(self):
        while True:
            await asyncio.sleep(0.05)
            if not self.hung:
                self.advance()

    async def beat(self):
        report_s = self.d.workers_settings["report_s"]
        while True:
            delay = await self.beat_once()
            if delay is not None:
                await asyncio.sleep(delay)
                continue
            self.changed.clear()
            await asyncio.sleep(0.5)
            try:
                rest = report_s * random.uniform(0.75, 1.25) - 0.5
                await asyncio.wait_for(self.changed.wait(), max(0.01, rest))
            except asyncio.TimeoutError:
                pass

    async def beat_once(self):
        """Sends one report. Returns the delay until the next one if the worker turns to another node."""
        while self.hung:
            await asyncio.sleep(0.05)
        self.advance()
        if self.connection is None:
            self.connection = Connection(self.d.route(self, self.node))
        sent, shift, report = now(), self.shift, self.report()
        status, body = await self.connection.call("POST", "/agent/beat", report, 4.0)
        while self.hung:
            await asyncio.sleep(0.05)
        if status != 421:
            self.d.count_beat(self, status, report)
        if status == 200:
            self.advance()
            baton = body.get("baton") if body else None
            if baton is not None and baton >= self.baton and shift == self.shift:
                self.see_token(baton)
                self.renewed = max(self.renewed, sent)
                self.beats_answered += 1
                self.execute(body["orders"])
            return None
        foreman = body.get("foreman") if status == 421 and isinstance(body, dict) else None
        other = self.d.hosts.index(foreman) if foreman in self.d.hosts else self.node
        self.connection.close()
        self.connection = None
        if other != self.node:
            self.node = other
            return random.uniform(0.0, 0.5)
        self.node = (self.node + 1) % len(self.d.hosts)
        return 1.0


# --- cloud ----------------------------------------------------------------------------------------

class Cloud:
    def __init__(self, deployment, capacity, boot_s, list_lag_s, rps):
        self.d, self.capacity, self.boot_s, self.lag = deployment, dict(capacity), boot_s, list_lag_s
        self.machines, self.hires, self.next_name = {}, {}, 1
        self.requests = Bucket(rps, 2.0)
        self.past = []

    async def handle(self, method, path, query, body):
        if not self.requests.take(1):
            return 429, {"error": "rate"}
        if path == "/catalog":
            return 200, {"rigs": list(self.d.types.values())}
        if path == "/hosts/release":
            for name in body["hosts"]:
                self.take(name, "released")
            return 200, {}
        if method == "POST":
            return self.hire(body)
        return self.list(query)

    def hire(self, body):
        if body["hire"] in self.hires:
            return 200, {"hosts": self.hires[body["hire"]]}
        pool = (body["rig"], body["yard"], body["loaners"])
        held = sum(1 for m in self.machines.values() if m["pool"] == pool)
        count = min(body["number"], self.capacity.get(pool, 0) - held)
        if count <= 0:
            self.d.event("hire_refused", zone=pool[1], spot=pool[2])
            return 503, {"error": "no capacity"}
        names = []
        for _ in range(count):
            name = "i-%06d" % self.next_name
            self.next_name += 1
            self.machines[name] = {"pool": pool, "at": now(), "worker": None}
            asyncio.ensure_future(self.boot(name))
            names.append(name)
        self.hires[body["hire"]] = names
        self.d.event("hired", zone=pool[1], spot=pool[2], hosts=names)
        return 200, {"hosts": names}

    async def boot(self, name):
        await asyncio.sleep(self.boot_s * random.uniform(0.6, 1.5))
        machine = self.machines.get(name)
        if machine:
            rig, zone, spot = machine["pool"]
            machine["worker"] = Worker(self.d, name, rig, zone, spot)
            await machine["worker"].start()
            self.d.event("up", host=name, zone=zone)

    def take(self, name, why):
        machine = self.machines.pop(name, None)
        if machine:
            self.past.append((name, machine, now()))
            if machine["worker"]:
                machine["worker"].stop()
            self.d.event("taken", host=name, why=why)

    def list(self, query):
        seen = now() - self.lag
        rows = [(n, m) for n, m in self.machines.items() if m["at"] <= seen]
        rows += [(n, m) for n, m, end in self.past if m["at"] <= seen and end > seen]
        after, most = query.get("after", [""])[0], min(int(query.get("most", ["500"])[0]), 500)
        rows = sorted(((n, m) for n, m in rows if n > after), key=lambda row: row[0])
        hosts = []
        for name, machine in rows[:most]:
            rig, zone, spot = machine["pool"]
            worker = machine["worker"]
            hosts.append({"nameId": name, "address": worker.server.address if worker else "",
                          "rig": rig, "yard": zone, "loaners": spot,
                          "status": "running" if worker else "booting", "heldS": seen - machine["at"]})
        return 200, {"hosts": hosts, "truncated": len(rows) > most}


# --- deployment -----------------------------------------------------------------------------------

def free_port():
    """A port that nobody uses, below the range from which the system takes those of outgoing
    connections."""
    for _ in range(1000):
        port = random.randrange(12000, 32000)
        try:
            with socket.socket() as s:
                s.bind(("127.0.0.1", port))
                return port
        except OSError:
            continue
    raise CannotRun("no free port")


def small_lone_star(boot_s, capacity=None):
    """The small deployment of Lone Star Paper, with its controllers, teams and limits. Machines
    boot in `boot_s`: "at times machines are up within a second or two"."""
    zones = ["dallas-room", "houston-dock"]
    rig = {"label": "ledger-sixteen", "cpus": 16, "gpus": 0, "ramGb": 128, "localGb": 50,
           "pullGbPerS": 0.15, "rate": 0.98, "marketPrice": 0.36, "readyS": boot_s, "yards": zones}
    teams = [{"name": "branch-ops-%02d" % i, "cpus": 32.0, "cpus_max": 96.0, "gpus": 0.0,
              "gpus_max": 0.0} for i in range(16)]
    capacity = capacity or {("ledger-sixteen", "dallas-room", False): 10,
                            ("ledger-sixteen", "dallas-room", True): 8,
                            ("ledger-sixteen", "houston-dock", False): 8,
                            ("ledger-sixteen", "houston-dock", True): 6}
    return Deployment(
        zones=zones, locations=["dallas-room", "houston-dock", "dallas-room"], teams=teams,
        types=[rig], capacity=capacity, boot_s=boot_s,
        state={"rps": 250.0, "write_rps": 60.0, "value_kb": 8.0, "txn_ops": 12},
        workers={"report_s": 1.0, "lease_s": 11.0, "gang_wait_s": 40.0, "gang_peer_s": 5.0,
                 "cancel_s": 36.0},
        cloud={"rps": 3.0, "list_lag_s": 3.0},
        quota={"cpu": 0.064, "ram_mb": 56.0, "sockets": 600})


class Deployment:
    """Three controllers, started as the deploy file does, and the stand-ins around them."""

    def __init__(self, zones, locations, teams, types, capacity, state, workers, cloud, quota, boot_s):
        self.zones, self.locations, self.teams = zones, locations, teams
        self.types = {t["label"]: t for t in types}
        self.state_limits, self.workers_settings = state, workers
        self.cloud_settings, self.quota = cloud, quota
        self.capacity, self.boot_s = capacity, boot_s
        self.hosts = ["plank-%d" % i for i in range(3)]
        self.events, self.jobs, self.run_s = [], {}, {}
        self.processes = [None] * 3
        # How much faster than nominal the machines fetch images: "give or take a third".
        self.fetch_factor = 1.0
        self.directory = tempfile.mkdtemp(prefix="plankhead-review-")
        self.record = self.cloud = None
        self.route = lambda worker, node: self.api[node]

    def event(self, kind, **fields):
        self.events.append((now(), kind, fields))
        if self.record and not self.record.closed:
            self.record.write("%8.3f %s %s\n" % (now(), kind, json.dumps(fields, sort_keys=True)))

    async def start(self, record_path):
        self.record = open(record_path, "w", buffering=1)
        self.state = StateService(self.state_limits)
        self.state_server = await Server(self.state.handle).start()
        asyncio.create_task(self.state.run())
        self.cloud = Cloud(self, self.capacity, self.boot_s, self.cloud_settings["list_lag_s"],
                           self.cloud_settings["rps"])
        self.cloud_server = await Server(self.cloud.handle).start()
        self.api = ["127.0.0.1:%d" % free_port() for _ in self.hosts]
        self.peer = ["127.0.0.1:%d" % free_port() for _ in self.hosts]
        with open(os.path.join(ROOT, "deploy", "service.toml")) as deploy:
            run = [line.split("=", 1)[1].strip().strip('"') for line in deploy if line.startswith("run")]
        self.run = run[0].split()
        if not os.access(os.path.join(ROOT, self.run[0]), os.X_OK):
            raise CannotRun("%s is not built" % self.run[0])
        for node in range(len(self.hosts)):
            self.start_node(node)
        for node in range(len(self.hosts)):
            for _ in range(100):
                status, _ = await Connection(self.api[node]).call("GET", "/healthz", timeout=1.0)
                if status == 200:
                    break
                await asyncio.sleep(0.1)
            else:
                raise CannotRun("controller %d does not answer" % node)

    def settings(self, node):
        siblings = [{"host_name": h, "location": self.locations[i], "address": self.peer[i]}
                    for i, h in enumerate(self.hosts) if i != node]
        settings = {"host_name": self.hosts[node], "location": self.locations[node],
                    "api_addr": self.api[node], "peer_bind": self.peer[node], "siblings": siblings,
                    "endpoints": {"cloud": self.cloud_server.address, "state": self.state_server.address},
                    "params": {"nodes": 3, "zones": self.zones, "teams": self.teams, "objectives": [],
                               "workers": self.workers_settings, "state": self.state_limits,
                               "cloud": self.cloud_settings, "quota": self.quota, "clock_off_ms": 100.0}}
        return settings

    def start_node(self, node):
        path = os.path.join(self.directory, "%s.json" % self.hosts[node])
        with open(path, "w") as out:
            json.dump(self.settings(node), out)
        log = open(os.path.join(self.directory, "%s.log" % self.hosts[node]), "a")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.processes[node] = subprocess.Popen(self.run + [path], cwd=ROOT, stdin=subprocess.DEVNULL,
                                                stdout=log, stderr=log, env=environment)
        log.close()
        self.event("node_started", node=self.hosts[node], pid=self.processes[node].pid, command=" ".join(self.run) + " SETTINGS")

    def signal(self, node, number):
        self.event("signal", node=self.hosts[node], number=int(number))
        self.processes[node].send_signal(number)

    def stop(self):
        for process in self.processes:
            if process and process.poll() is None:
                process.kill()
                process.wait()
        if self.record:
            self.record.close()
        if self.cloud:
            for machine in self.cloud.machines.values():
                if machine["worker"]:
                    machine["worker"].stop()
        if os.environ.get("KEEP"):
            print("logs:", self.directory)
        else:
            shutil.rmtree(self.directory, ignore_errors=True)

    def exited(self):
        return [self.hosts[i] for i, p in enumerate(self.processes) if p and p.poll() is not None]

    def count_beat(self, worker, status, report):
        """Records the answers to reports that were neither 200 nor 421."""
        if status != 200:
            size = len(json.dumps(report, separators=(",", ":")))
            self.event("beat_refused", host=worker.name, node=self.hosts[worker.node], status=status,
                       bytes=size, pieces=len(report["pieces"]))

    def of(self, kind, **fields):
        """The events of a kind with these fields, as (time, fields)."""
        return [(t, f) for t, k, f in self.events
                if k == kind and all(f.get(name) == value for name, value in fields.items())]

    # Users.

    def job(self, name, team, pieces, cpus, ram, run_s, urgency="standard", **more):
        job = {"nameId": name, "lane": "class", "crew": team, "shape": "array", "urgency": urgency,
               "pieces": pieces, "cpus": cpus, "gpus": 0.0, "ramGb": ram, "bundle": "img-01",
               "imageGb": 0.1, "rigs": None, "yard": None, "samePlace": False, "scatter": False,
               "loaners": True, "guessS": run_s, "bookmarkS": 0.0, "stowS": 0.0, "dueS": None}
        job.update(more)
        self.jobs[name], self.run_s[name] = job, run_s
        return job

    async def submit(self, job, first=None, tries=60):
        """Submits a job as a user does. Returns the status of the answer that was not to be retried."""
        node = random.randrange(3) if first is None else first
        for _ in range(tries):
            connection = Connection(self.api[node % 3])
            status, body = await connection.call("POST", JOBS, job, 5.0)
            connection.close()
            if status in (200, 201, 400, 422):
                self.event("submitted", job=job["nameId"], status=status, body=body)
                return status
            node += 1
            await asyncio.sleep(1.0)
        self.event("submitted", job=job["nameId"], status=None)
        return None

    async def ask(self, name, node=None, timeout=2.0):
        node = random.randrange(3) if node is None else node
        connection = Connection(self.api[node])
        status, body = await connection.call("GET", "%s/%s" % (JOBS, name), timeout=timeout)
        connection.close()
        self.event("asked", job=name, node=self.hosts[node], status=status, body=body)
        return status, body

    async def cancel(self, name, node=None, tries=60):
        node = random.randrange(3) if node is None else node
        for _ in range(tries):
            connection = Connection(self.api[node % 3])
            status, body = await connection.call("POST", "%s/%s/abort" % (JOBS, name), timeout=5.0)
            connection.close()
            if status == 200:
                self.event("cancel_answered", job=name, body=body)
                return body
            node += 1
            await asyncio.sleep(1.0)
        return None

    def machines_with_room(self, job):
        """The names of the machines that are up, are not leaving and have room for one more task."""
        names = []
        for name, machine in self.cloud.machines.items():
            worker = machine["worker"]
            if worker and worker.warning is None and worker.beats_answered > 0:
                used, type_ = worker.used(), worker.type
                free = [type_["cpus"] - used[0], type_["gpus"] - used[1], type_["ramGb"] - used[2]]
                if all(job[r] <= f for r, f in zip(("cpus", "gpus", "ramGb"), free)):
                    names.append(name)
        return names

    def leader(self):
        """The number of the controller that holds the leader's key, or None."""
        row = self.state.rows.get("lead")
        return self.hosts.index(row[0]["host"]) if row else None

    def team_use(self, team):
        """The CPUs that a team's tasks take on all machines."""
        workers = [m["worker"] for m in self.cloud.machines.values() if m["worker"]]
        jobs = [self.jobs[key[0].split("/")[0]] for worker in workers
                for key, task in worker.tasks.items() if task["status"] != "ended"]
        return sum(job["cpus"] for job in jobs if job["crew"] == team)

    async def wait(self, condition, timeout):
        """Waits until the condition holds. Returns whether it did in time."""
        until = now() + timeout
        while now() < until:
            if condition():
                return True
            await asyncio.sleep(0.05)
        return condition()


class CannotRun(Exception):
    """The case could not be tried."""


def main(case):
    """Runs a case: an async function of (trouble) that returns whether the rule held."""
    trouble = sys.argv[1:] != ["0"]

    async def run():
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(case(trouble), 118.0)

    try:
        held = asyncio.run(run())
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
        print("could not run: %r" % error)
        sys.exit(2)
    except Exception as error:  # A fault of the script itself shows nothing about the rule.
        import traceback
        traceback.print_exc()
        print("could not run: %r" % error)
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
