"""Requests that are odd but small, and callers beside a crowd.

    test/soak/http_case.py

Guards against an entry that ends because of a length that is none, that keeps
the descriptors of clients that have gone, that leaves open how long a connection
lasts, or that cuts off a caller whose job it is storing. Exits with 0 if all
held, with 1 if not, and with 2 if the case could not run.
"""
import argparse
import asyncio
import os
import random
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import hostile_clients_case as hostile  # noqa: E402
import soak_site  # noqa: E402
from soak_site import standin  # noqa: E402

BAD_LENGTHS = ("-1", "-300000", "18446744073709551616", "18446744073709551615",
               "9223372036854775808", "1e3", "", "0x10")
GONE_CLIENTS = 100


async def send(port, data):
    """The answer's bytes until the entry closes the connection."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(data)
        return await asyncio.wait_for(reader.read(), 15)
    except (OSError, asyncio.TimeoutError):
        return b""
    finally:
        if writer:
            writer.close()


async def play(site):
    """Returns what did not hold."""
    entry = site.entries[0]
    faults = []
    for value in BAD_LENGTHS:
        for kind in ("route", "none", "ready"):
            port = entry.ready if kind == "ready" else entry.front
            await send(port, hostile.head("POST", hostile.path_of(kind),
                                          f"Content-Length: {value}") + b"abc")
            if not entry.is_up():
                return [f"Content-Length {value} at {kind} ends the entry"]
    before = hostile.descriptors(entry.pid())
    for number in range(GONE_CLIENTS):
        answer = await send(entry.front, hostile.head("GET", "/nowhere/x"))
        if number == 0 and b"connection: close" not in answer.lower():
            faults.append(f"the end of the connection is not announced: {answer}")
    if hostile.descriptors(entry.pid()) > before + GONE_CLIENTS // 2:
        faults.append("descriptors of clients that have gone stay open")
    site.store.slow_s = 3.0
    job = standin.new_job()
    caller = asyncio.ensure_future(
        site.post(entry, "quote", job, hostile.STEPS, "work_ms=200", 30))
    await asyncio.sleep(0.5)
    clients = await hostile.whole(entry.front, "route")
    status = await caller
    site.store.slow_s = 0.0
    for client in clients:
        client.close()
    if status not in (200, 503, 504):
        faults.append(f"a caller beside a crowd got {status}")
    if not entry.is_up():
        faults.append("the entry has ended")
    return faults


async def main_async(_args):
    folder = tempfile.mkdtemp(prefix="http-")
    site = soak_site.Site(folder, random.Random(1), 1, 6)
    try:
        hostile.apply_settings(site.entries[0].config)
        await site.start()
        faults = await play(site)
    finally:
        for entry in site.entries:
            await entry.kill()
    for fault in faults:
        print("BROKEN", fault)
    shutil.rmtree(folder, ignore_errors=True)
    shutil.rmtree(site.folder, ignore_errors=True)
    return 1 if faults else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    soak_site.run_and_exit(main_async, parser.parse_args())


if __name__ == "__main__":
    main()
