"""A worker restarts under its id, accepts runs, and is cut off while the owner
of its shard is replaced.

    test/soak/restarted_worker_case.py [--end SIGTERM|SIGKILL]

Guards against a second run of a task by the next owner: an order with a deadline
on the clock of the former incarnation gives the new one the longest lease that
the worker grants (10 s), not the usual one (6 s). Exits with 0 if no task ran
twice, with 1 if one did, and with 2 if the case could not run. SOAK_ROOT names
another checkout whose entries are played.
"""
import argparse
import asyncio
import glob
import os
import random
import shutil
import signal
import sys
import tempfile

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))
import soak_site  # noqa: E402
from soak_site import standin  # noqa: E402

STEPS = [{"count": 6, "cpu": 1800, "mem_mb": 1800, "estimate_ms": 20000}]
SPEC = "work_ms=20000"


def find_owner(site, job):
    """The entry that ordered the runs of a job."""
    for path in glob.glob(os.path.join(site.folder, "*.log")):
        with open(path, encoding="utf-8", errors="replace") as file:
            if any("run_ordered" in line and job in line for line in file):
                name = os.path.basename(path)[:-4]
                return next(entry for entry in site.entries if entry.name == name)
    return None


async def wait_for(condition, seconds):
    for _ in range(int(seconds / 0.02)):
        if condition():
            return True
        await asyncio.sleep(0.02)
    return False


async def play(site, end_signal):
    await site.start()
    warm = standin.new_job()
    if await site.post(site.entries[0], "quote", warm, STEPS, "work_ms=300") != 200:
        raise standin.NotRun("the first job was not accepted")
    await asyncio.sleep(3)
    chosen = next(worker for worker in site.workers if worker.runs)
    # Its new incarnation is not registered for now.
    chosen.cut_from_store = True
    await chosen.crash()
    await chosen.start()
    job = standin.new_job()
    if await site.post(site.entries[1], "quote", job, STEPS, SPEC) != 200:
        raise standin.NotRun("the job was not accepted")
    if not await wait_for(lambda: chosen.running, 5):
        raise standin.NotRun("the restarted worker got no run")
    await asyncio.sleep(0.15)
    owner = find_owner(site, job)
    if owner is None:
        raise standin.NotRun("no entry has logged the start")
    chosen.cut_off = True
    site.record.line(f"{chosen.id} is cut off, {owner.name} ends")
    await owner.restart(end_signal)
    await asyncio.sleep(14)
    return [fault for fault in site.twice() if fault.startswith(job)]


async def main_async(args):
    folder = os.environ.get("SOAK_OUT") or tempfile.mkdtemp(prefix="soak-")
    os.makedirs(folder, exist_ok=True)
    site = soak_site.Site(folder, random.Random(1), 4, 12)
    try:
        faults = await play(site, signal.Signals[args.end])
    except asyncio.CancelledError:
        if site.starved:
            raise standin.NotRun(f"the stand-ins were starved for {site.starved:.1f} s")
        raise
    finally:
        for entry in site.entries:
            await entry.kill()
    for fault in faults:
        print("BROKEN TWICE", fault)
    print("result:", "broken" if faults else "held")
    if faults:
        print("record and logs in", folder, site.folder)
    else:
        shutil.rmtree(site.folder, ignore_errors=True)
    return 1 if faults else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--end", choices=("SIGTERM", "SIGKILL"), default="SIGTERM")
    soak_site.run_and_exit(main_async, parser.parse_args())


if __name__ == "__main__":
    main()
