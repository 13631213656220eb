"""A small deployment for the scripts of the third review: the platform's store,
the machine service, the workers and the clients, as PROTOCOL.md describes them,
around real fireflythread-entry processes on loopback addresses.

Everything runs in one process on one event loop. The record keeps what was
sent, answered and run, with seconds since the start.
"""
import asyncio
import base64
import bisect
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
import tomllib
from urllib.parse import parse_qs, unquote, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)

# The figures of sites/kdw-pipeshop.toml, as the settings of a process state
# them.
BOUNDS = {"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6,
          "config_apply_ms": 2000, "hold_max_ms": 10000, "stop_ms": 200,
          "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
          "finish_s": 14, "status_s": 120, "notice_ms": 4500, "move_s": 1.5,
          "upkeep_s": 2, "lease_ms": 3000}
ROW_BYTES = 65536
TX_MS = 4.0
MAX_ENTRIES = 100
MAX_CALL_BYTES = 1 << 20
PAGE_ROWS = 500
HEARTBEAT_S = 1.5
CHECKPOINT_S = 0.5
RESTORE_S = 0.1
MAX_LISTED_ENDS = 500

# A handler that returns this closes the connection without an answer.
DROP = object()


def now():
    return time.monotonic()


def free_port(host="127.0.0.1"):
    """A free port below those that the system gives to outgoing connections."""
    while True:
        port = random.randrange(20000, 32000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((host, port))
            except OSError:
                continue
            return port


class Record:
    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = now()

    def seconds(self):
        return now() - self.began

    def line(self, text):
        self.file.write(f"{self.seconds():9.3f} {text}\n")

    def say(self, text):
        self.line(text)
        print(text, flush=True)


class Request:
    def __init__(self, method, target, headers, body):
        split = urlsplit(target)
        self.method = method
        self.path = unquote(split.path)
        self.query = {k: v[0] for k, v in parse_qs(split.query).items()}
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body) if self.body else {}


class HttpServer:
    """Serves HTTP/1.1 on a loopback address."""

    def __init__(self, handler, host="127.0.0.1", port=0):
        self.handler = handler
        self.host, self.port = host, port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512, limit=1 << 21)
        self.port = self.server.sockets[0].getsockname()[1]

    def stop(self):
        """Closes the listener and resets all connections, as a crash does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                answer = await self.handler(request)
                if answer is DROP:
                    writer.transport.abort()
                    return
                status, body = answer
                data = json.dumps(body, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                             b"Content-Length: %d\r\n\r\n" % (status, len(data))
                             + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


async def read_request(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    method, target, _ = lines[0].split(" ", 2)
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return Request(method, target, headers, body)


async def call(address, method, target, body=None, headers=None, timeout=4.0):
    """One HTTP call on a new connection. Returns (status, JSON body); raises
    OSError or asyncio.TimeoutError without an answer."""
    async def run():
        host, port = address
        reader, writer = await asyncio.open_connection(host, port, limit=1 << 21)
        try:
            data = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {target} HTTP/1.1"]
            fields = {"Host": f"{host}:{port}", "Content-Length": str(len(data)),
                      "Content-Type": "application/json"}
            fields.update(headers or {})
            lines += [f"{k}: {v}" for k, v in fields.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            found = re.search(r"(?i)content-length: *(\d+)", head)
            text = await reader.readexactly(int(found.group(1))) if found else b""
            return status, (json.loads(text) if text else None)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(run(), timeout)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("broken off") from error


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.http = HttpServer(self.handle)
        self.rows = {}     # (table, part) -> {key: (value, ver)}
        self.keys = {}     # (table, part) -> sorted keys
        self.changes = {}  # table -> [(ver, row)]
        self.ver = 0
        self.changed = asyncio.Event()
        self.began = now()
        self.refused = {}
        # Set by a script: called with each transaction's body before it is
        # applied.
        self.on_transaction = None
        # Called before each call; returns None or an answer.
        self.gate = None

    def clock(self):
        return int((now() - self.began) * 1000)

    def put(self, table, part, key, value):
        """A write of the operator or of a worker."""
        self._apply([(table, part, key, base64.b64encode(
            json.dumps(value).encode()).decode() if value is not None else None)])

    def get(self, table, part, key):
        found = self.rows.get((table, part), {}).get(key)
        return None if found is None else base64.b64decode(found[0])

    def _apply(self, writes):
        self.ver += 1
        for table, part, key, value in writes:
            rows = self.rows.setdefault((table, part), {})
            keys = self.keys.setdefault((table, part), [])
            row = {"table": table, "part": part, "key": key, "ver": self.ver}
            if value is None:
                if key in rows:
                    del rows[key]
                    keys.pop(bisect.bisect_left(keys, key))
                else:
                    continue
                row["tombstone"] = True
            else:
                if key not in rows:
                    bisect.insort(keys, key)
                rows[key] = (value, self.ver)
                row["value"] = value
            self.changes.setdefault(table, []).append((self.ver, row))
        self.changed.set()
        self.changed = asyncio.Event()

    def _row(self, table, part, key):
        value, ver = self.rows[(table, part)][key]
        return {"table": table, "part": part, "key": key, "value": value,
                "ver": ver}

    def _answer(self, status, **fields):
        return status, dict(fields, ver=self.ver, now_ms=self.clock())

    async def handle(self, request):
        if self.gate is not None:
            held = await self.gate(request)
            if held is not None:
                return held
        if request.path == "/rows-tx":
            return await self.transact(request)
        if request.path == "/rows-get":
            return self.read(request.query)
        if request.path == "/rows-feed":
            return await self.feed(request.query)
        if request.path == "/rows-parts":
            parts = sorted({part for (table, part), rows in self.rows.items()
                            if table == request.query["table"] and rows})
            return self._answer(200, parts=parts, has_more=False)
        return self._answer(404)

    def _refuse(self, reason):
        self.refused[reason] = self.refused.get(reason, 0) + 1
        if self.refused[reason] <= 5 or self.refused[reason] % 100 == 0:
            self.record.line(f"store answers 400 ({reason}), "
                             f"{self.refused[reason]} times so far")
        return self._answer(400)

    async def transact(self, request):
        body = request.json()
        await asyncio.sleep(TX_MS / 1000)
        expected = body.get("expected_rev", [])
        writes = body.get("writes", [])
        remove = body.get("remove", [])
        if len(expected) + len(writes) + len(remove) > MAX_ENTRIES:
            return self._refuse("more than 100 entries")
        if len(request.body) > MAX_CALL_BYTES:
            return self._refuse("more than 1 MB")
        for entry in writes:
            size = len(base64.b64decode(entry["value"]))
            if size > ROW_BYTES:
                return self._refuse(f"a value of more than row_bytes in table "
                                    f"{entry['table']}: row {entry['key']}, "
                                    f"{size // 1000} kB")
            if max(len(entry[name]) for name in ("table", "part", "key")) > 200:
                return self._refuse("a name of more than 200 bytes")
            if entry["table"] in ("op", "servers"):
                return self._answer(403)
        held = []
        failed = False
        for entry in expected:
            rows = self.rows.get((entry["table"], entry["part"]), {})
            found = rows.get(entry["key"])
            if found is not None:
                held.append(self._row(entry["table"], entry["part"], entry["key"]))
            failed = failed or (found[1] if found else 0) != entry["ver"]
        if failed:
            return self._answer(412, rows=held)
        if self.on_transaction is not None:
            self.on_transaction(body)
        self._apply([(e["table"], e["part"], e["key"], e["value"]) for e in writes]
                    + [(e["table"], e["part"], e["key"], None) for e in remove])
        return self._answer(200)

    def read(self, query):
        table, part = query["table"], query.get("part", "")
        keys = self.keys.get((table, part), [])
        first = bisect.bisect_left(keys, query.get("from", ""))
        last = bisect.bisect_left(keys, query["to"]) if query.get("to") else len(keys)
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        rows, size = [], 0
        for key in keys[first:last]:
            row = self._row(table, part, key)
            size += len(row["value"])
            if len(rows) == limit or (rows and size > MAX_CALL_BYTES):
                return self._answer(200, rows=rows, has_more=True)
            rows.append(row)
        return self._answer(200, rows=rows, has_more=False)

    async def feed(self, query):
        table, after = query["table"], int(query["after"])
        end = now() + min(int(query.get("wait_ms", 0)), 30000) / 1000
        while True:
            log = self.changes.get(table, [])
            first = bisect.bisect_right(log, after, key=lambda change: change[0])
            rows = [row for _, row in log[first:]]
            left = end - now()
            if rows or left <= 0:
                return 200, {"rows": rows, "ver": self.ver, "now_ms": self.clock()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Run:
    def __init__(self, task, number, worker, checkpoint):
        self.task, self.number, self.worker = task, number, worker
        self.began = now()
        self.base = checkpoint
        self.ended = None
        self.how = None
        self.pace = 100


class Worker:
    """A worker that starts whatever it is told to start."""

    def __init__(self, site, name, service, machine, rack, cpu=32000, mem_mb=65536):
        self.site, self.id, self.service, self.machine = site, name, service, machine
        self.labels = ["a", rack]
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.state = "ready"
        self.http = HttpServer(self.handle)
        self.seq = 0
        self.up = False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.clock_began = now()
        self.fence = 0
        self.running = {}   # task -> Run
        self.highest = {}   # task -> highest run stopped or ended here
        self.ends = []      # [N, task, run, how, saved]
        self.last_end = 0
        self.deadline = 0
        self.news = asyncio.Event()
        self.up = True
        await self.http.start()
        self.register()
        self.beats = asyncio.ensure_future(self._beat())

    def clock(self):
        return int((now() - self.clock_began) * 1000)

    def register(self):
        self.seq += 1
        self.site.store.put("servers", "", self.id, {
            "service": self.service, "address": f"{self.http.host}:{self.http.port}",
            "zone": "z1", "version": "v1", "slots": 8, "state": self.state,
            "cold_remaining_ms": 0, "capacity": self.capacity,
            "labels": self.labels, "clock_ms": self.clock(), "seq": self.seq,
            "born": self.born})

    async def _beat(self):
        while self.up:
            await asyncio.sleep(HEARTBEAT_S)
            if self.up:
                self.register()

    def stop(self):
        """Ends the worker and all that runs on it."""
        self.up = False
        self.http.stop()
        self.beats.cancel()
        for run in list(self.running.values()):
            run.ended, run.how = now(), "lost"
        self.running = {}

    def used(self):
        return sum(self.site.size_of(task)["cpu"] for task in self.running)

    async def handle(self, request):
        if not self.up:
            return DROP
        expected = request.headers.get("fireflythread-expected-instance")
        if expected not in (None, self.id):
            return 421, {"clock_ms": self.clock()}
        body = request.json()
        if request.path == "/hold":
            return await self.hold(body)
        if request.path == "/run-start":
            return self.run_start(body)
        if request.path == "/run-stop":
            return self.run_stop(body)
        if request.path == "/pace":
            return 200, {"clock_ms": self.clock()}
        return 404, {"clock_ms": self.clock()}

    def _fenced(self, body):
        token = body.get("fencing_token", 0)
        if token < self.fence:
            return True
        self.fence = token
        return False

    def _reject(self, reason):
        return 409, {"clock_ms": self.clock(), "reason": reason}

    def _extend(self, deadline):
        if deadline is not None:
            longest = self.clock() + BOUNDS["hold_max_ms"]
            self.deadline = max(self.deadline, min(deadline, longest))

    def run_start(self, body):
        if self._fenced(body):
            return self._reject("fence")
        task, number = body["task"], body["run"]
        present = self.running.get(task)
        if present is not None and present.number == number:
            return 200, {"clock_ms": self.clock()}
        if body["deadline_ms"] <= self.clock():
            return self._reject("late")
        self._extend(body["deadline_ms"])
        if number <= self.highest.get(task, 0) or present is not None:
            return self._reject("old")
        run = Run(task, number, self, body.get("checkpoint", ""))
        self.running[task] = run
        self.site.started(run, body)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, body):
        if self._fenced(body):
            return self._reject("fence")
        task, number = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.running.get(task)
        if run is None or run.number > number:
            return self._reject("old")
        asyncio.get_running_loop().call_later(
            BOUNDS["stop_ms"] / 2000, self.end, run, "stopped")
        return 200, {"clock_ms": self.clock()}

    def end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        run.ended, run.how = now(), how
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.number)
        self.last_end += 1
        self.ends.append([self.last_end, run.task, run.number, how,
                          self.site.saved(run)])
        self.site.ended(run)
        self.news.set()
        self.news = asyncio.Event()

    def lapse(self):
        if self.running and self.clock() >= self.deadline:
            for run in list(self.running.values()):
                self.end(run, "lapsed")

    async def hold(self, body):
        if self._fenced(body):
            return self._reject("fence")
        self._extend(body.get("deadline_ms"))
        seen = body.get("last_seen", 0)
        for end in [end for end in self.ends if end[0] <= seen]:
            self.site.noted(self, end)
        self.ends = [end for end in self.ends if end[0] > seen]
        wait = min(body.get("wait_ms", 0), 2000) / 1000
        if not self.ends and wait:
            try:
                await asyncio.wait_for(self.news.wait(), wait)
            except asyncio.TimeoutError:
                pass
        running = [[run.task, run.number, self.site.saved(run),
                    100 if now() - run.began > 0.7 else 20,
                    self.site.size_of(run.task)["cpu"]]
                   for run in self.running.values()]
        return 200, {"clock_ms": self.clock(), "born": self.born,
                     "running": running, "ended": self.ends[:MAX_LISTED_ENDS]}


class Cloud:
    """The machine service: lists the machines and answers orders."""

    def __init__(self, site):
        self.site = site
        self.http = HttpServer(self.handle)
        self.fences = {}

    def machines(self):
        return [{"machine": worker.machine, "pool": worker.service, "state": "up",
                 "zone": "z1", "labels": worker.labels,
                 "capacity": worker.capacity, "id": worker.id}
                for worker in self.site.workers]

    async def handle(self, request):
        if request.path == "/machines":
            return 200, {"machines": self.machines(), "next_token": None}
        # The scripts have no spare machines and declare no waves.
        return 409, {"reason": "busy"}


class Entry:
    def __init__(self, site, name):
        self.site, self.name = site, name
        self.front = ("127.0.0.1", free_port())
        self.ready = ("127.0.0.1", free_port())
        self.ports = [free_port(), free_port()]
        self.process = None

    def settings(self):
        return {"node": self.name, "zone": "z1", "ip": "127.0.0.1",
                "listen": {"front": "%s:%d" % self.front,
                           "ready": "%s:%d" % self.ready},
                "port_range": self.ports,
                "platform": {"address": f"127.0.0.1:{self.site.store.http.port}"},
                "cloud": {"address": f"127.0.0.1:{self.site.cloud.http.port}"},
                "advice": "127.0.0.1:1", "bounds": BOUNDS,
                "limits": {"cpu_share": 0.25, "link_mbps": 1000.0}}

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["entry"]
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            text = fill_in(file.read(), self.settings())
        path = os.path.join(self.site.folder, self.name + ".ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        command = [word.replace("/etc/fireflythread/settings.toml", path)
                   for word in role["run"].split(" ")]
        self.log = os.path.join(self.site.folder, self.name + ".log")
        with open(self.log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, stdout=log, stderr=log,
                stdin=asyncio.subprocess.DEVNULL)
        self.site.record.line(f"{self.name} started, process {self.process.pid}")

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.site.record.line(f"{self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def wait_ready(self, seconds=20):
        end = now() + seconds
        while now() < end:
            try:
                if (await call(self.ready, "GET", "/ready", timeout=1))[0] == 200:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


def fill_in(text, settings):
    def value(match):
        found = settings
        for name in match.group(1).split("."):
            found = found[int(name)] if isinstance(found, list) else found[name]
        return str(found)
    return re.sub(r"\{\{([a-z0-9_.]+)\}\}", value, text)


class Site:
    """A deployment. A task works for the `work_s` of its job, in seconds or as a
    function of the task's name, and then ends `done`."""

    def __init__(self, record, entries=3, services=("desk",), workers=9):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review3-")
        self.store = Store(record)
        self.cloud = Cloud(self)
        self.workers = []
        for number, service in enumerate(services):
            for index in range(workers):
                self.workers.append(Worker(
                    self, f"i-{0x7f3a9100 + 0x100 * number + index:08x}", service,
                    f"m-{number}{index:04x}", f"r{number}-{index // 4}"))
        self.entries = [Entry(self, f"front-z1-{index + 1}")
                        for index in range(entries)]
        self.jobs = {}    # id -> body, and what the clients saw
        self.runs = []
        self.work_s = {}  # job -> seconds of work of a task
        self.quiet_jobs = set()  # jobs whose runs are not recorded line by line
        self.noted_ends = 0
        self.services = services

    def configuration(self):
        return {"version": 7, "routes": [
            {"name": f"r-{service}", "host": "cuzi25.example",
             "path_prefix": f"/{service}/", "kind": "unsafe", "timeout_ms": 3000,
             "latency_slo_ms": 600, "priority": 0, "service": service,
             "max_attempts": 2, "stretch": 1.6} for service in self.services],
            "services": [{"name": service, "health_path": "/health",
                          "max_conns": 64, "protocol": "h1", "tls": False,
                          "rejects_overload": False, "spare": False}
                         for service in self.services],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}

    async def start(self):
        await self.store.http.start()
        await self.cloud.http.start()
        self.store.put("op", "", "config", self.configuration())
        for worker in self.workers:
            await worker.start()
        self.lapses = asyncio.ensure_future(self._lapse())
        for entry in self.entries:
            await entry.start()
        for entry in self.entries:
            if not await entry.wait_ready():
                raise RuntimeError(f"{entry.name} is not ready")

    async def _lapse(self):
        while True:
            await asyncio.sleep(0.05)
            for worker in self.workers:
                if worker.up:
                    worker.lapse()

    async def stop(self):
        for entry in self.entries:
            if entry.process is not None and entry.process.returncode is None:
                entry.process.send_signal(signal.SIGCONT)
                entry.process.kill()
                await entry.process.wait()
        for worker in self.workers:
            if worker.up:
                worker.stop()
        self.store.http.stop()
        self.cloud.http.stop()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # What the workers report.

    def job_of(self, task):
        return task.split(".", 1)[0]

    def size_of(self, task):
        job = self.jobs.get(self.job_of(task))
        if job is None:
            return {"cpu": 0}
        step = job["body"]["steps"][int(task.split(".")[2])]
        return {"cpu": 0 if step.get("fills") else step.get("cpu", 0)}

    def step_of(self, task):
        return self.jobs[self.job_of(task)]["body"]["steps"][int(task.split(".")[2])]

    def saved(self, run):
        """The checkpoint of a run: 16 hexadecimal digits, as on the wire."""
        if not self.step_of(run.task).get("checkpointing"):
            return ""
        worked = now() - run.began
        if worked < CHECKPOINT_S:
            return run.base
        return "%08x7a21d94b" % int(worked / CHECKPOINT_S)

    def started(self, run, body):
        self.runs.append(run)
        job = self.job_of(run.task)
        if job not in self.quiet_jobs:
            self.record.line(f"{run.worker.id} starts {run.task} run {run.number}")
        if job in self.work_s and not self.step_of(run.task).get("long_running"):
            work_s = self.work_s[job]
            asyncio.get_running_loop().call_later(
                work_s(run.task) if callable(work_s) else work_s,
                run.worker.end, run, "done")

    def ended(self, run):
        if self.job_of(run.task) not in self.quiet_jobs:
            self.record.line(f"{run.worker.id} lists the end of {run.task} run "
                             f"{run.number}: {run.how}")

    def noted(self, worker, end):
        self.noted_ends += 1

    # The clients.

    async def submit(self, service, body, job=None, work_s=1.0, entry=None, tries=5):
        """Hands a job in, as a client does. Returns its id and the last status."""
        job = job or "%016x" % random.getrandbits(64)
        self.jobs.setdefault(job, {"body": body, "service": service,
                                   "sent": now(), "accepted": None})
        self.work_s[job] = work_s
        status = None
        for _ in range(tries):
            target = entry or random.choice(self.entries)
            try:
                status, _ = await call(target.front, "POST", f"/{service}/{job}", body,
                                       {"Host": "cuzi25.example",
                                        "Fireflythread-Deadline-Ms": "3000"})
            except (OSError, asyncio.TimeoutError):
                status = None
            self.record.line(f"client: POST /{service}/{job} at {target.name} "
                             f"-> {status}")
            if status is not None and 200 <= status < 300:
                self.jobs[job]["accepted"] = now()
                break
            if status in (400, 404):
                break
            await asyncio.sleep(0.3)
        return job, status

    async def state(self, job, entry=None):
        target = entry or random.choice(self.entries)
        service = self.jobs[job]["service"]
        try:
            status, body = await call(target.front, "GET", f"/{service}/{job}", None,
                                      {"Host": "cuzi25.example",
                                       "Fireflythread-Deadline-Ms": "3000"})
        except (OSError, asyncio.TimeoutError):
            return None, None
        return status, (body or {}).get("state")

    def runs_of(self, job):
        return [run for run in self.runs if self.job_of(run.task) == job]

    def used_share(self, service):
        workers = [w for w in self.workers if w.service == service and w.up]
        total = sum(w.capacity["cpu"] for w in workers)
        return sum(w.used() for w in workers) / total if total else 1.0


def main(play, folder):
    """Runs `play(record, trouble)`, which returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))

    async def limited():
        return await asyncio.wait_for(play(record, trouble), 115)
    try:
        held = asyncio.run(limited())
    except Exception as error:  # pylint: disable=broad-except
        record.say(f"the case could not run: {type(error).__name__}: {error}")
        record.file.close()
        sys.exit(2)
    record.say("the rule held" if held else "the rule was broken")
    record.file.close()
    sys.exit(0 if held else 1)
