"""Stand-ins for the cases of the second review: the platform's store, the cloud,
workers and a client, with the project's own entries as separate processes.

They follow the users' PROTOCOL.md and DEPLOY.md. All addresses are loopback
addresses. `record.txt` in the case's folder tells what was sent, answered and
run."""
import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))

# The bounds of kdw-pipeshop.toml.
BOUNDS = {
    "contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6,
    "config_apply_ms": 2000, "hold_max_ms": 10000, "stop_ms": 200,
    "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000,
    "finish_s": 14, "checkpoint_s": 0.5, "restore_ms": 100, "move_s": 1.5,
    "upkeep_s": 2, "lease_ms": 3000, "notice_ms": 4500,
}
HEARTBEAT_S = 1.5
# A worker's entry is removed after three heartbeat intervals of silence.
LAPSE_S = 3 * HEARTBEAT_S
ROW_BYTES = 65536
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1_000_000
TX_S = 0.004


class NotRun(Exception):
    """The case could not run."""


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def line(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


class Request:
    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.headers = headers
        self.query = {}
        for pair in query.split("&"):
            key, _, value = pair.partition("=")
            self.query[key] = unquote(value)
        self.body = body


def unquote(text):
    return re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m.group(1), 16)), text)


REASONS = {200: "OK"}
DROP = None


class HttpServer:
    """`handler` returns (status, body object) or DROP to break the connection."""

    def __init__(self, handler, ip):
        self.handler = handler
        self.ip = ip
        self.port = 0
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=512)
        self.port = self.server.sockets[0].getsockname()[1]

    def address(self):
        return f"{self.ip}:{self.port}"

    def stop(self):
        """Stops listening and resets all connections, as a crash does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                answer = await self.handler(Request(method, target, headers, body))
                if answer is DROP:
                    writer.transport.abort()
                    return
                status, value = answer
                data = json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'x')}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    def __init__(self, site):
        self.site = site
        self.http = HttpServer(self.handle, "127.0.0.1")
        self.rows = {}  # (table, part) -> {key: (value, version)}
        self.version = 0
        self.changes = []  # (version, table, part, key, value or None)
        self.changed = asyncio.Event()
        self.refused = {}  # reason -> count

    def get(self, table, part, key):
        return self.rows.get((table, part), {}).get(key)

    def put(self, table, part, key, value):
        """A write of the operator or of a worker."""
        self.version += 1
        self._apply(table, part, key, base64.b64encode(value.encode()).decode())
        self._notify()
        return self.version

    def drop(self, table, part, key):
        if self.get(table, part, key) is None:
            return
        self.version += 1
        self._apply(table, part, key, None)
        self._notify()

    def _apply(self, table, part, key, value):
        rows = self.rows.setdefault((table, part), {})
        if value is None:
            rows.pop(key, None)
        else:
            rows[key] = (value, self.version)
        self.changes.append((self.version, table, part, key, value))

    def _notify(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def now_ms(self):
        return int(time.monotonic() * 1000)

    async def handle(self, request):
        if request.path == "/rows-tx":
            await asyncio.sleep(TX_S)
            return self._transact(request)
        if request.path == "/rows-get":
            await asyncio.sleep(0.002)
            return self._read(request)
        if request.path == "/rows-feed":
            return await self._feed(request)
        if request.path == "/rows-parts":
            table = request.query["table"]
            return 200, {"parts": sorted(p for t, p in self.rows if t == table)}
        return 404, {}

    def _row(self, table, part, key):
        known = self.get(table, part, key)
        value, version = known if known else ("", 0)
        return {"table": table, "part": part, "key": key, "value": value, "ver": version}

    def _refuse(self, status, reason):
        self.refused[reason] = self.refused.get(reason, 0) + 1
        if self.refused[reason] <= 5:
            self.site.record.line(f"store refuses a transaction: {reason}")
        return status, {"reason": reason}

    def _transact(self, request):
        body = json.loads(request.body)
        conditions = body.get("expected_rev", [])
        writes = body.get("writes", [])
        removals = body.get("remove", [])
        if len(request.body) > MAX_CALL_BYTES:
            return self._refuse(400, "a call of over 1 MB")
        if len(conditions) + len(writes) + len(removals) > MAX_ENTRIES:
            return self._refuse(400, "over 100 entries")
        for write in writes:
            size = len(base64.b64decode(write["value"]))
            if size > ROW_BYTES:
                return self._refuse(
                    400, f"row {write['table']}/{write['part']}/{write['key']} is longer "
                         f"than row_bytes ({ROW_BYTES})")
        failed = [c for c in conditions
                  if self._row(c["table"], c["part"], c["key"])["ver"] != c["ver"]]
        if failed:
            return 412, {"rows": [self._row(c["table"], c["part"], c["key"])
                                  for c in conditions], "ver": self.version,
                         "now_ms": self.now_ms()}
        self.version += 1
        for write in writes:
            self._apply(write["table"], write["part"], write["key"], write["value"])
        for removal in removals:
            if self.get(removal["table"], removal["part"], removal["key"]):
                self._apply(removal["table"], removal["part"], removal["key"], None)
        self._notify()
        return 200, {"ver": self.version, "now_ms": self.now_ms()}

    def _read(self, request):
        query = request.query
        table, part = query["table"], query.get("part", "")
        first, last = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", 500)), 500)
        keys = sorted(k for k in self.rows.get((table, part), {})
                      if k >= first and (not last or k < last))
        rows, size, more = [], 0, False
        for key in keys:
            row = self._row(table, part, key)
            size += len(row["value"]) + 100
            if len(rows) >= limit or (rows and size > MAX_CALL_BYTES):
                more = True
                break
            rows.append(row)
        return 200, {"rows": rows, "has_more": more, "ver": self.version,
                     "now_ms": self.now_ms()}

    async def _feed(self, request):
        await asyncio.sleep(0.002)
        query = request.query
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while True:
            rows = self._changes_of(query["table"], after)
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.version, "now_ms": self.now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def _changes_of(self, table, after):
        newest = {}
        for version, its_table, part, key, value in reversed(self.changes):
            if version <= after:
                break
            if its_table == table and (part, key) not in newest:
                newest[(part, key)] = (version, value)
        rows = []
        for (part, key), (version, value) in sorted(newest.items(), key=lambda i: i[1][0]):
            row = {"table": table, "part": part, "key": key, "ver": version}
            if value is None:
                row["tombstone"] = True
            else:
                row["value"] = value
            rows.append(row)
        return rows


class Run:
    """One run of a task on a worker. The client's spec says how long the task
    works, whether it checkpoints and what a checker needs to know."""

    def __init__(self, worker, body):
        self.task = body["task"]
        self.run = body["run"]
        spec = dict(part.split("=", 1) for part in body["spec"].split() if "=" in part)
        self.spec = spec
        self.work_s = float(spec.get("work_s", 1.0))
        self.cpu = int(spec.get("cpu", 0))
        self.lasts = spec.get("lasts") == "1"
        self.checkpoints = spec.get("checkpoints") == "1"
        self.checkpoint = body.get("checkpoint", "")
        self.began = worker.site.record.now()
        self.saved = 0


class Worker:
    """One worker. It doesn't guard its capacity (`rejects_overload` false)."""

    def __init__(self, site, number, service, cpu=32000, labels=("a", "r0-1")):
        self.site = site
        self.record = site.record
        self.id = "i-%08x" % random.getrandbits(32)
        self.machine = "m-%05x" % (0x0A3F1 + 31 * number)
        self.service = service
        self.cpu = cpu
        self.labels = list(labels)
        self.http = HttpServer(self.handle, "127.0.0.1")
        self.up = False
        # A worker that the store doesn't reach, and the other way round.
        self.cut_from_store = False
        self.beat_at = 0.0
        self.seq = 0
        self.tasks = []
        self._forget()

    def _forget(self):
        self.fence = 0
        self.running = {}
        self.ended = []
        self.number = 0
        self.high = {}  # task -> highest run that was stopped or ended here
        self.deadline_ms = 0
        self.ended_event = asyncio.Event()

    async def start(self):
        self._forget()
        self.born = int(time.time() * 1000)
        self.clock_began = time.monotonic()
        await self.http.start()
        self.up = True
        self.seq = 0
        self.tasks = [asyncio.ensure_future(self._beat()), asyncio.ensure_future(self._work())]
        self.record.line(f"worker {self.id} starts: born {self.born}, cpu {self.cpu}, "
                         f"labels {','.join(self.labels)}")

    def crash(self):
        self.up = False
        self.http.stop()
        for task in self.tasks:
            task.cancel()
        self.record.line(f"worker {self.id} crashes with {len(self.running)} runs")

    def clock(self):
        return int((time.monotonic() - self.clock_began) * 1000)

    def used(self):
        return sum(run.cpu for run in self.running.values())

    def entry(self):
        return {"service": self.service, "address": self.http.address(), "zone": "z1",
                "version": "1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                "seq": self.seq, "born": self.born, "machine": self.machine,
                "capacity": {"cpu": self.cpu, "mem_mb": 65536}, "labels": self.labels}

    async def _beat(self):
        while True:
            self.seq += 1
            if not self.cut_from_store:
                self.site.store.put("servers", "", self.id, json.dumps(self.entry()))
                self.beat_at = time.monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    def end(self, run, how):
        self.running.pop(run.task, None)
        self.number += 1
        self.high[run.task] = max(self.high.get(run.task, 0), run.run)
        self.ended.append([self.number, run.task, run.run, how, run.checkpoint])
        self.site.note_end(self, run, how)
        event, self.ended_event = self.ended_event, asyncio.Event()
        event.set()

    async def _work(self):
        while True:
            await asyncio.sleep(0.02)
            now = self.record.now()
            if self.running and self.clock() > self.deadline_ms:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")
            for run in list(self.running.values()):
                worked = now - run.began
                if run.checkpoints and int(worked / BOUNDS["checkpoint_s"]) > run.saved:
                    run.saved = int(worked / BOUNDS["checkpoint_s"])
                    run.checkpoint = "%08x%08x" % (int(worked * 1000), random.getrandbits(32))
                if not run.lasts and worked >= run.work_s:
                    self.end(run, "done")

    async def handle(self, request):
        if not self.up:
            return DROP
        if request.path == "/health":
            return 200, {}
        expected = request.headers.get("fireflythread-expected-instance")
        if expected is not None and expected != self.id:
            return 421, {"clock_ms": self.clock()}
        body = json.loads(request.body)
        if request.path == "/run-start":
            return self.run_start(body)
        if request.path == "/run-stop":
            return await self.run_stop(body)
        if request.path == "/hold":
            return await self.hold(body)
        return 404, {}

    def _fenced(self, body):
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def _extend(self, body):
        if "deadline_ms" in body:
            longest = self.clock() + BOUNDS["hold_max_ms"]
            self.deadline_ms = max(self.deadline_ms, min(body["deadline_ms"], longest))

    def _conflict(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def run_start(self, body):
        if self._fenced(body):
            return self._conflict("fence")
        known = self.running.get(body["task"])
        if known and known.run == body["run"]:
            self._extend(body)
            return 200, {"clock_ms": self.clock()}
        if body["run"] <= self.high.get(body["task"], 0) or known:
            self._extend(body)
            return self._conflict("old")
        if body["deadline_ms"] <= self.clock():
            return self._conflict("late")
        self._extend(body)
        run = Run(self, body)
        self.running[run.task] = run
        self.site.note_start(self, run, body)
        return 200, {"clock_ms": self.clock()}

    async def run_stop(self, body):
        if self._fenced(body):
            return self._conflict("fence")
        known = self.running.get(body["task"])
        self.high[body["task"]] = max(self.high.get(body["task"], 0), body["run"])
        if known and known.run <= body["run"]:
            self.record.line(f"{self.id} is told to stop {known.task} run {known.run}")
            self.end(known, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, body):
        if self._fenced(body):
            return self._conflict("fence")
        self._extend(body)
        last_seen = body.get("last_seen", 0)
        for row in self.ended:
            if row[0] <= last_seen:
                self.site.note_acknowledged(self, row, last_seen)
        self.ended = [row for row in self.ended if row[0] > last_seen]
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if wait and not self.ended:
            try:
                await asyncio.wait_for(self.ended_event.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if not self.up:
            return DROP
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": [[r.task, r.run, r.checkpoint,
                                  100 if r.lasts else 50, r.cpu]
                                 for r in self.running.values()],
                     "ended": self.ended[:500]}


class Cloud:
    """The list of machines. No service is spare, so nothing is to be moved."""

    def __init__(self, site):
        self.site = site
        self.http = HttpServer(self.handle, "127.0.0.1")

    async def handle(self, request):
        if request.path == "/machines":
            return 200, {"machines": [
                {"machine": w.machine, "pool": w.service, "state": "up" if w.up else "down",
                 "zone": "z1", "labels": w.labels, "id": w.id,
                 "capacity": {"cpu": w.cpu, "mem_mb": 65536}} for w in self.site.workers],
                "next_token": ""}
        self.site.record.line(f"cloud {request.path} {request.body.decode()}")
        return 409, {"reason": "busy"}


class Entry:
    """One process of the project, started with the command of the deploy file."""

    def __init__(self, site, number):
        self.site = site
        self.name = f"front-z1-{number}"
        self.ip = entry_ip(number)
        self.process = None
        self.config = os.path.join(site.folder, self.name + ".toml")

    def write_config(self):
        with open(os.path.join(ROOT, "deploy/entry.ini.in"), encoding="utf-8") as file:
            text = file.read()
        values = {
            "node": self.name, "zone": "z1", "ip": self.ip,
            "listen.front": f"{self.ip}:{self.site.ports[0]}",
            "listen.ready": f"{self.ip}:{self.site.ports[1]}",
            "port_range.0": str(self.site.ports[2]), "port_range.1": str(self.site.ports[3]),
            "platform.address": self.site.store.http.address(),
            "cloud.address": self.site.cloud.http.address(), "advice": "127.0.0.1:9",
            "bounds.grace_s": "6", "bounds.stop_ms": "200", "bounds.hold_max_ms": "10000",
            "limits.cpu_share": "0.25", "limits.link_mbps": "1000.0",
        }
        with open(self.config, "w", encoding="utf-8") as file:
            file.write(re.sub(r"\{\{([^}]+)\}\}", lambda m: values[m.group(1)], text))

    async def start(self):
        self.write_config()
        with open(os.path.join(self.site.folder, self.name + ".log"), "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                os.path.join(ROOT, "target/fireflythread-entry"), "--config=" + self.config,
                stdout=log, stderr=log, cwd=ROOT,
                env={"PATH": os.environ.get("PATH", ""), "HOME": self.site.folder, "LANG": "C"})
        self.site.record.line(f"entry {self.name} started, pid {self.process.pid}")

    async def end(self, number=signal.SIGKILL):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)
            await self.process.wait()
            self.site.record.line(f"entry {self.name} ended")

    async def call(self, method, path, body=None, timeout=3.0, port=0):
        """Returns (status, body), or (0, {}) without a complete answer."""
        try:
            return await asyncio.wait_for(self._call(method, path, body, timeout, port), timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError,
                IndexError):
            return 0, {}

    async def _call(self, method, path, body, timeout, port):
        reader, writer = await asyncio.open_connection(self.ip, self.site.ports[port])
        data = json.dumps(body).encode() if body is not None else b""
        writer.write(f"{method} {path} HTTP/1.1\r\nHost: {self.site.host}\r\n"
                     f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                     f"Fireflythread-Deadline-Ms: {int(timeout * 1000)}\r\n"
                     f"Connection: close\r\n\r\n".encode() + data)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            length = re.search(r"content-length: *(\d+)", head, re.I)
            text = await reader.readexactly(int(length.group(1))) if length else b""
            return status, json.loads(text) if text else {}
        finally:
            writer.close()


def entry_ip(number):
    """Loopback addresses of this script's own, so that scripts can run beside
    each other."""
    pid = os.getpid()
    return f"127.{1 + pid % 200}.{pid // 200 % 250}.{10 + number}"


def free_ports(count, entries):
    """Ports that are free at the addresses of all entries, below the range from
    which outgoing connections take theirs."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 30000)
        try:
            for number in range(entries):
                with socket.socket() as sock:
                    sock.bind((entry_ip(number), port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Site:
    def __init__(self, case_folder, entries=3, workers=9):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.host = "pule25.example"
        self.prefix = "/puxa400/"
        self.service = "desk"
        self.store = Store(self)
        self.cloud = Cloud(self)
        self.workers = [Worker(self, n, self.service, labels=("a", f"r{n // 4}-1"))
                        for n in range(workers)]
        self.ports = free_ports(4, entries)
        self.entries = [Entry(self, n) for n in range(entries)]
        self.starts = []      # (time, worker id, task, run, worker used, worker cpu)
        self.ends = []        # (time, worker id, task, run, how)
        self.acknowledged = set()  # (task, run, how)
        self.watchers = []

    # What workers see.

    def note_start(self, worker, run, body):
        self.starts.append((self.record.now(), worker, run, worker.used()))
        self.record.line(
            f"{worker.id} starts {run.task} run {run.run} fence {body['fencing_token']}"
            f" checkpoint '{body.get('checkpoint', '')}', {worker.used()} of {worker.cpu} in use")
        for watcher in self.watchers:
            watcher(worker, run, body)

    def note_end(self, worker, run, how):
        self.ends.append((self.record.now(), worker, run, how))
        self.record.line(f"{worker.id} ends {run.task} run {run.run}: {how}")

    def note_acknowledged(self, worker, row, last_seen):
        lapsed = worker.clock() > worker.deadline_ms
        self.record.line(f"{worker.id} forgets end {row[0]} ({row[1]} run {row[2]}: {row[3]}) by "
                         f"last_seen {last_seen}{', after its lease has lapsed' if lapsed else ''}")
        if not lapsed:
            self.acknowledged.add((row[1], row[2], row[3]))

    async def _remove_silent(self):
        while True:
            await asyncio.sleep(0.1)
            for worker in self.workers:
                silent = time.monotonic() - worker.beat_at > LAPSE_S
                if silent and self.store.get("servers", "", worker.id):
                    self.store.drop("servers", "", worker.id)
                    self.record.line(f"the entry of {worker.id} is removed")

    # What the operator and clients do.

    def write_config(self, attempts=4):
        config = {"version": 7, "routes": [
            {"name": "quote", "host": self.host, "path_prefix": self.prefix,
             "service": self.service, "priority": 0, "max_attempts": attempts,
             "stretch": 3.0, "latency_slo_ms": 600}],
            "services": [{"name": self.service, "rejects_overload": False}], "limits": {}}
        self.store.put("op", "", "config", json.dumps(config))

    async def post(self, entry, steps, spec):
        """Submits a job; asks again, at another entry, as long as it isn't
        accepted. Returns its id."""
        job = "%016x" % random.getrandbits(64)
        for attempt in range(5):
            target = self.entries[(self.entries.index(entry) + attempt) % len(self.entries)]
            status, _ = await target.call(
                "POST", self.prefix + job, {"spec": spec, "steps": steps})
            self.record.line(f"client POST {job} at {target.name}: {status}")
            if status == 200:
                return job
            await asyncio.sleep(1)
        raise NotRun("a job was not accepted")

    async def state(self, entry, job):
        status, body = await entry.call("GET", self.prefix + job)
        state = body.get("state") if isinstance(body, dict) else None
        self.record.line(f"client GET {job} at {entry.name}: {status} {state}")
        return status, state

    async def cancel(self, entry, job):
        status, _ = await entry.call("DELETE", self.prefix + job)
        self.record.line(f"client DELETE {job} at {entry.name}: {status}")
        return status

    async def start(self):
        await self.store.http.start()
        await self.cloud.http.start()
        for worker in self.workers:
            await worker.start()
        await asyncio.sleep(0.1)
        self.silence_watch = asyncio.ensure_future(self._remove_silent())
        self.write_config()
        for entry in self.entries:
            await entry.start()
        end = self.record.now() + 30
        for entry in self.entries:
            while (await entry.call("GET", "/ready", port=1, timeout=1))[0] != 200:
                if self.record.now() > end:
                    raise NotRun("an entry isn't ready")
                await asyncio.sleep(0.2)
        await asyncio.sleep(4)

    async def stop(self):
        for entry in self.entries:
            await entry.end()
        for entry in self.entries:
            path = os.path.join(self.folder, entry.name + ".log")
            keep = os.environ.get("KEEP_LOGS")
            if keep and os.path.exists(path):
                shutil.copy(path, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case_folder, play, limit_s=110, **site_options):
    """Plays a case and ends the process: 1 if the rule was broken, 0 if it held,
    2 if the case could not run."""
    site = None

    async def main():
        nonlocal site
        site = Site(case_folder, **site_options)
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            await asyncio.wait_for(site.start(), 45)
            return await asyncio.wait_for(play(site), limit_s - site.record.now())
        finally:
            await site.stop()

    try:
        fault = asyncio.new_event_loop().run_until_complete(main())
    except (Exception, asyncio.CancelledError) as error:
        # An error of the stand-ins is no broken rule.
        print("could not run:", repr(error))
        if site:
            site.record.line(f"could not run: {error!r}")
        sys.stdout.flush()
        os._exit(2)
    text = f"BROKEN {fault}" if fault else "held"
    site.record.line(text)
    print(text)
    sys.stdout.flush()
    os._exit(1 if fault else 0)
