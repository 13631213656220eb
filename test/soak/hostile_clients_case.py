"""A crowd of clients that do not behave against one entry.

    test/soak/hostile_clients_case.py --pattern PATTERN [--paths route,none,ready]

Guards against a process that runs out of memory or descriptors, ends or hangs,
and against a job that is lost meanwhile. An entry is started. For each path, with
a job at work, the crowd sends what PATTERN says and stays as long as it is let,
and these must hold: the process lives, its memory and its descriptors stayed
under a bound, the job ends once, and one ordinary request is answered after the
crowd has gone. Nothing depends on the machine's speed. Exits with 0
if all held, with 1 if not, and with 2 if the case could not run.
"""
import argparse
import asyncio
import os
import random
import shutil
import subprocess
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import soak_site  # noqa: E402
from soak_site import standin  # noqa: E402

# Limits of the entry under test, below the usual ones, so that a small crowd
# meets them.
SETTINGS = {"request_memory_mb": 6, "caller_connections": 150,
            "head_timeout_ms": 4000, "body_timeout_ms": 4000}

# An entry at rest has some 15 MB and 40 descriptors.
MAX_MEMORY_MB = 48
MAX_DESCRIPTORS = 260

BODY_BYTES = 240_000
# The largest head of a client inside the limits, in bytes.
HEAD_BYTES = 16_000
PIECE_BYTES = 4_000
HOST = "q.example"
# An entry that reads no further of a connection keeps a client that long.
SEND_TIMEOUT_S = 20
STEPS = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 300}]


def path_of(kind):
    if kind == "ready":
        return "/ready"
    prefix = "quote" if kind == "route" else "nowhere"
    return f"/{prefix}/{random.getrandbits(64):016x}"


def head(method, path, *fields):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def job_body(size):
    """A valid submission of this many bytes."""
    start = b'{"spec":"x","steps":[{"count":1,"cpu":1,"mem_mb":1}]'
    return start + b" " * (size - len(start) - 1) + b"}"


class Client:
    """One connection of the crowd."""

    def __init__(self, port):
        self.port = port
        self.writer = None

    async def send(self, *parts):
        """Sends the parts one after the other, until the entry closes the
        connection or stops to read."""
        try:
            self.reader, self.writer = await asyncio.open_connection(
                "127.0.0.1", self.port)
            for part in parts:
                self.writer.write(part)
                await asyncio.wait_for(self.writer.drain(), SEND_TIMEOUT_S)
                await asyncio.sleep(0)
        except (OSError, asyncio.TimeoutError):
            pass

    def close(self):
        if self.writer:
            self.writer.transport.abort()


def pieces(data):
    return [data[at:at + PIECE_BYTES] for at in range(0, len(data), PIECE_BYTES)]


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def crowd(port, count, parts_of):
    clients = [Client(port) for _ in range(count)]
    await asyncio.gather(*(client.send(*parts_of()) for client in clients))
    return clients


def length(size):
    return f"Content-Length: {size}"


async def whole(port, kind):
    body = job_body(BODY_BYTES)[:-1]
    return await crowd(port, 240, lambda: [
        head("POST", path_of(kind), length(BODY_BYTES)) + body])


async def small_pieces(port, kind):
    body = job_body(BODY_BYTES)[:-1]
    return await crowd(port, 240, lambda: [
        head("POST", path_of(kind), length(BODY_BYTES)), *pieces(body)])


async def chunked(port, kind):
    body = job_body(BODY_BYTES)[:-1]
    return await crowd(port, 240, lambda: [
        head("POST", path_of(kind), "Transfer-Encoding: chunked"),
        *[chunk(piece) for piece in pieces(body)]])


async def oversized(port, kind):
    part = b" " * 1_000_000
    declared = await crowd(port, 4, lambda: [
        head("POST", path_of(kind), length(64_000_000)), *[part] * 16])
    streamed = await crowd(port, 4, lambda: [
        head("POST", path_of(kind), "Transfer-Encoding: chunked"),
        *[chunk(part)] * 16])
    return declared + streamed


async def short_fields(port, kind):
    fields = [f"x{number}:1" for number in range(HEAD_BYTES // 9)]
    members = ",".join(f'"f{number}":1' for number in range(BODY_BYTES // 11))
    body = ("{%s}" % members).encode()
    held = await crowd(port, 240, lambda: [
        head("POST", path_of(kind), *fields, length(10)) + b"123456789"])
    whole_bodies = await crowd(port, 40, lambda: [
        head("POST", path_of(kind), length(len(body))) + body])
    return held + whole_bodies


async def ahead(port, kind):
    body = job_body(2_000)
    posts = head("POST", path_of(kind), length(len(body))) + body
    gets = head("GET", path_of(kind))
    return await crowd(port, 12, lambda: [gets * 2000, posts * 400])


async def slow_heads(port, kind):
    start = head("POST", path_of(kind), "x: " + "y" * (HEAD_BYTES // 2))[:-4]
    return await crowd(port, 500, lambda: [start[:20], start[20:], b"y"])


async def slow_readers(port, kind):
    request = head("GET", path_of(kind))
    return await crowd(port, 500, lambda: [request] * 20)


async def mixed_bodies(port, kind):
    groups = await asyncio.gather(whole(port, kind), chunked(port, kind),
                                  oversized(port, kind))
    return sum(groups, [])


async def mixed_connections(port, kind):
    groups = await asyncio.gather(slow_heads(port, kind), slow_readers(port, kind),
                                  short_fields(port, kind), ahead(port, kind))
    return sum(groups, [])


PATTERNS = {each.__name__: each for each in (
    whole, small_pieces, chunked, oversized, short_fields, ahead, slow_heads,
    slow_readers, mixed_bodies, mixed_connections)}


def peak_memory_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        line = next(line for line in file if line.startswith("VmHWM"))
    return int(line.split()[1]) / 1024


def descriptors(pid):
    return len(os.listdir(f"/proc/{pid}/fd"))


def unread_bytes(port):
    """What clients have sent to a port and the process has not read, also what
    its system has not taken because too many connections wait to be accepted."""
    wanted = ":%04X" % port
    unread = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            fields = line.split()
            sent, received = fields[4].split(":")
            if fields[1].endswith(wanted):
                unread += int(received, 16)
            elif fields[2].endswith(wanted):
                unread += int(sent, 16)
    return unread


async def settle(pid, port):
    """Waits until the process has read for a second all that it lets reach it,
    or has not read any of the rest for ten. Returns the most descriptors seen."""
    most = descriptors(pid)
    read_all, same, before = 0, 0, -1
    while read_all < 10 and same < 100:
        await asyncio.sleep(0.1)
        most = max(most, descriptors(pid))
        unread = unread_bytes(port)
        read_all = read_all + 1 if unread == 0 else 0
        same = same + 1 if unread == before else 0
        before = unread
    return most


def apply_settings(config):
    with open(config, encoding="utf-8") as file:
        text = file.read()
    extended = text.rstrip("\n") + "\n" + "".join(
        f"{key} = {value}\n" for key, value in SETTINGS.items())
    with open(config, "w", encoding="utf-8") as file:
        file.write(extended)
    check = subprocess.run(
        [soak_site.entry_program(), "--config=" + config, "--check"],
        capture_output=True, check=False)
    if check.returncode != 0:
        raise standin.NotRun("the entry does not know the settings of this case")


async def play(site, pattern, kind):
    """Returns what did not hold."""
    entry = site.entries[0]
    running = standin.new_job()
    if await site.post(entry, "quote", running, STEPS, "work_ms=3000", 30) != 200:
        return ["a job before the crowd was not accepted"]
    pid = entry.pid()
    with open(f"/proc/{pid}/clear_refs", "w", encoding="ascii") as file:
        file.write("5")  # The peak counts from now on.
    port = entry.ready if kind == "ready" else entry.front
    clients = await PATTERNS[pattern](port, kind)
    faults = []
    if entry.is_up():
        most = await settle(pid, port)
        memory = peak_memory_mb(pid)
        print(f"{pattern} at {kind}: peak memory {memory:.0f} MB, "
              f"descriptors {most}, of {len(clients)} clients")
        if memory > MAX_MEMORY_MB:
            faults.append(f"memory {memory:.0f} MB, above {MAX_MEMORY_MB}")
        if most > MAX_DESCRIPTORS:
            faults.append(f"descriptors {most}, above {MAX_DESCRIPTORS}")
    for client in clients:
        client.close()
    if not entry.is_up():
        return faults + [f"the process ended with {entry.process.returncode}"]
    ordinary = standin.new_job()
    if await site.post(entry, "quote", ordinary, STEPS, "work_ms=200", 30) != 200:
        faults.append("an ordinary submission was not accepted afterwards")
    for job in (running, ordinary):
        if await site.wait_state(job, "quote", ("completed",), 60) != "completed":
            faults.append(f"job {job} did not end")
    runs = sum(1 for run in site.runs() if run.task.startswith(running))
    if runs > 1:
        faults.append(f"the job at work had {runs} runs")
    return faults


async def main_async(args):
    folder = tempfile.mkdtemp(prefix="hostile-")
    site = soak_site.Site(folder, random.Random(1), 1, 6)
    failed = 0
    try:
        apply_settings(site.entries[0].config)
        await site.start()
        for kind in args.paths.split(","):
            for fault in await play(site, args.pattern, kind):
                print(f"BROKEN {args.pattern} at {kind}: {fault}")
                failed += 1
            if not site.entries[0].is_up():
                break
    finally:
        for entry in site.entries:
            await entry.kill()
    shutil.rmtree(folder, ignore_errors=True)
    shutil.rmtree(site.folder, ignore_errors=True)
    return 1 if failed else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--pattern", choices=sorted(PATTERNS), required=True)
    parser.add_argument("--paths", default="route,none,ready")
    soak_site.run_and_exit(main_async, parser.parse_args())


if __name__ == "__main__":
    main()
