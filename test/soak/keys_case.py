"""Callers with and without keys against two entries.

    test/soak/keys_case.py

Guards against a request that is served under a key that no configuration holds
or that was withdrawn, and against one organisation that sees or takes over
another one's jobs. Exits with 0 if all held, with 1 if not, and with 2 if the
case could not run.
"""
import argparse
import asyncio
import json
import os
import random
import shutil
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import soak_site  # noqa: E402
from soak_site import standin  # noqa: E402

STEPS = [{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 300}]
BODY = {"spec": "work_ms=300", "steps": STEPS}


class Site(soak_site.Site):
    def __init__(self, folder):
        super().__init__(folder, random.Random(1), 2, 6)
        self.keys = {"north": ["north-1", "north-2"], "south": ["south-1"]}

    def write_config(self):
        self.routes["keep"]["public"] = True
        super().write_config()
        row = json.loads(self.store.rows[("op", "", "config")][0])
        self.config_version += 1
        row["version"] = self.config_version
        row["tenants"] = [
            {"name": name, "api_keys": keys, "weight": 10,
             "cap": {"cpu": 20000, "mem_mb": 0, "gpu": 0}}
            for name, keys in self.keys.items()]
        self.store.put("op", "config", row)


async def status(entry, method, path, key=None, body=None):
    headers = [("Api-Key", key)] if key else []
    try:
        answer = await standin.call(entry.front, method, path, body=body,
                                    timeout=10, headers=headers)
        return answer[0]
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


async def wait_for_status(wanted, *call):
    for _ in range(100):
        got = await status(*call)
        if got == wanted:
            return True
        await asyncio.sleep(0.2)
    return False


async def play(site):
    """Returns what did not hold."""
    first, second = site.entries
    faults = []

    async def expect(wanted, entry, method, path, key=None, body=None):
        got = await status(entry, method, path, key, body)
        if got != wanted:
            faults.append(f"{method} {path} with key {key}: {got}, not {wanted}")

    job = standin.new_job()
    path = f"/quote/{job}"
    for key in (None, "unknown", "north", "north-11"):
        await expect(401, first, "POST", path, key, BODY)
        await expect(401, first, "GET", path, key)
        await expect(401, second, "DELETE", path, key)
        await expect(401, second, "GET", "/quote/", key)
    await expect(404, first, "POST", f"/nowhere/{job}", None, BODY)
    await expect(410, first, "GET", path, "north-1")
    await expect(200, first, "POST", path, "north-1", BODY)
    await expect(200, second, "GET", path, "north-2")
    await expect(410, second, "GET", path, "south-1")
    await expect(410, second, "DELETE", path, "south-1")
    await expect(409, second, "POST", path, "south-1", BODY)
    await expect(200, second, "POST", path, "north-1", BODY)
    await expect(200, first, "POST", f"/keep/{standin.new_job()}", None, BODY)
    await expect(410, first, "GET", f"/keep/{job}")
    for _ in range(100):
        answer = await standin.call(first.front, "GET", path, timeout=10,
                                    headers=[("Api-Key", "north-1")])
        if answer[1].get("state") == "completed":
            break
        await asyncio.sleep(0.2)
    else:
        faults.append("the job of an organisation with a cap did not end")
    await expect(410, second, "GET", path, "south-1")
    site.keys = {"north": ["north-2"], "south": ["south-1", "south-2"]}
    site.write_config()
    for entry in site.entries:
        if not await wait_for_status(401, entry, "GET", path, "north-1"):
            faults.append(f"{entry.name} serves a withdrawn key")
        if not await wait_for_status(200, entry, "GET", path, "north-2"):
            faults.append(f"{entry.name} refuses a key that stays")
        if not await wait_for_status(410, entry, "GET", path, "south-2"):
            faults.append(f"{entry.name} refuses a new key")
    return faults


def has_key(value):
    return any(key.encode() in value for key in ("north-1", "south-1"))


def leaked_keys(site):
    """Keys that stand in a log or in a row of the entries."""
    leaked = []
    for entry in site.entries:
        with open(os.path.join(site.folder, entry.name + ".log"),
                  encoding="utf-8", errors="replace") as file:
            text = file.read()
        leaked += [f"{entry.name} logs a key" for key in ("north-1", "south-1")
                   if key in text]
    leaked += [f"row {row[0]} holds a key" for row, (value, _) in
               site.store.rows.items() if row[0] != "op" and has_key(value)]
    return leaked


async def main_async(_args):
    folder = tempfile.mkdtemp(prefix="keys-")
    site = Site(folder)
    try:
        await site.start()
        faults = await play(site) + leaked_keys(site)
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
