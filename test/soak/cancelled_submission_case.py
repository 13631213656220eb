"""A caller cancels a job whose submission is still on its way.

    test/soak/cancelled_submission_case.py [--keep]

Guards against a job that runs although its caller cancelled it and was told that
it does not exist: the submission lay in the socket of an entry that stood still,
or was repeated later. Also guards against the opposite: a job that nobody
cancelled, or that another organisation did, is not accepted any more; and
against a submission that is stored after its caller's deadline. Exits with 0 if all held, with 1 if not, and with 2 if the
case could not run. SOAK_ROOT names another checkout whose entries are played.
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

STEPS = [{"count": 2, "cpu": 500, "mem_mb": 256, "estimate_ms": 300}]
BODY = {"spec": "work_ms=300", "steps": STEPS}
# How long the first entry stands still, and a caller waits, in seconds.
FREEZE_S = 4.0
DEADLINE_S = 3.0
# How long a job that must run may take, and one that must not is watched, in
# seconds.
RUN_LIMIT_S = 20
WATCH_S = 6
# Cancels of unknown jobs by one organisation, and how many at a time.
FLOOD = 300
FLOOD_AT_ONCE = 20


class Site(soak_site.Site):
    """Two entries and two organisations with a key each."""

    def __init__(self, folder):
        super().__init__(folder, random.Random(1), 2, 6)
        self.keys = ["north", "south"]

    def write_config(self):
        super().write_config()
        row = json.loads(self.store.rows[("op", "", "config")][0])
        self.config_version += 1
        row["version"] = self.config_version
        row["tenants"] = [{"name": key, "api_keys": [key], "weight": 10,
                           "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}
                          for key in self.keys]
        self.store.put("op", "config", row)

    async def ask(self, entry, method, job, key="north", timeout=DEADLINE_S,
                  deadline_s=DEADLINE_S, body=BODY):
        """The status and the state that an entry answers, or None twice."""
        headers = [("Api-Key", key),
                   ("Fireflythread-Deadline-Ms", str(int(deadline_s * 1000)))]
        try:
            status, answer = await standin.call(
                entry.front, method, f"/quote/{job}",
                body=body if method == "POST" else None,
                timeout=timeout, headers=headers)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status, answer = None, {}
        self.record.line(f"{method} {job} by {key} at {entry.name}: {status} {answer}")
        return status, (answer or {}).get("state")

    def has_runs(self, job):
        return any(run.task.startswith(job) for run in self.runs())

    async def completes(self, entry, job):
        end = self.record.now() + RUN_LIMIT_S
        while self.record.now() < end:
            if (await self.ask(entry, "GET", job))[1] == "completed":
                return True
            await asyncio.sleep(0.3)
        return False


class Faults(list):
    def expect(self, holds, text):
        if not holds:
            self.append(text)


async def play_frozen(site, faults):
    """The first entry stands still with submissions in its sockets."""
    first, second = site.entries
    cancelled, foreign, patient, repeated, abandoned = (
        standin.new_job() for _ in range(5))
    first.freeze()
    thaw = asyncio.get_running_loop().call_later(FREEZE_S, first.thaw)
    try:
        waiting = asyncio.ensure_future(
            site.ask(first, "POST", patient, timeout=12, deadline_s=12))
        # These callers leave earlier than they said, so that only the cancel
        # tells that they have.
        early = [site.ask(first, "POST", job, deadline_s=12)
                 for job in (cancelled, foreign, repeated)]
        await asyncio.gather(*early, site.ask(first, "POST", abandoned))
        faults.expect((await site.ask(second, "DELETE", cancelled))[0] == 410,
                      "the cancel of an unknown job is not answered 410")
        faults.expect((await site.ask(second, "GET", cancelled))[0] == 410,
                      "a job that was only cancelled is shown")
        faults.expect((await site.ask(second, "DELETE", foreign, "south"))[0] == 410,
                      "another organisation's cancel is not answered 410")
        faults.expect((await site.ask(second, "POST", foreign))[0] == 200,
                      "another organisation's cancel keeps a job from being stored")
        faults.expect((await site.ask(second, "POST", repeated))[0] == 200,
                      "a submission that is repeated elsewhere is not accepted")
        faults.expect((await waiting)[0] == 200,
                      "a submission whose caller waits is not accepted after a pause")
    finally:
        if first.frozen:
            thaw.cancel()
            first.thaw()
    await asyncio.sleep(WATCH_S)
    faults.expect(not site.has_runs(cancelled), "a cancelled job runs after a pause")
    faults.expect((await site.ask(second, "GET", abandoned))[0] == 410,
                  "a submission is stored after its caller's deadline")
    for job in (foreign, patient, repeated):
        faults.expect(await site.completes(second, job), "a job does not complete")
    # A submission that arrives once more finds the job cancelled.
    status, _ = await site.ask(first, "POST", cancelled)
    faults.expect(status is not None and status < 300 or status == 503,
                  f"a cancelled job that is submitted again is answered {status}")
    state = await site.ask(second, "GET", cancelled)
    faults.expect(state in ((200, "cancelled"), (410, None)),
                  f"a cancelled job is shown as {state}")
    faults.expect((await site.ask(second, "DELETE", cancelled))[0] in (200, 410),
                  "a second cancel is not acknowledged")
    await asyncio.sleep(WATCH_S)
    faults.expect(not site.has_runs(cancelled),
                  "a cancelled job runs after a repeated submission")


async def play_moved(site, faults):
    """The queue moves to another service and back while the first entry, which
    holds submissions, stands still."""
    first, second = site.entries
    before, after, kept = (standin.new_job() for _ in range(3))
    first.freeze()
    try:
        await asyncio.gather(*(site.ask(first, "POST", job, timeout=1, deadline_s=20)
                               for job in (before, after, kept)))
        faults.expect((await site.ask(second, "DELETE", before))[0] == 410,
                      "a cancel before the move is not answered 410")
        for service in ("archive", "desk"):
            site.routes["quote"]["service"] = service
            site.write_config()
            await asyncio.sleep(2)
        faults.expect((await site.ask(second, "DELETE", after))[0] == 410,
                      "a cancel after the move is not answered 410")
    finally:
        first.thaw()
    await asyncio.sleep(WATCH_S)
    for job in (before, after):
        faults.expect(not site.has_runs(job), "a cancelled job runs after a move")
    faults.expect(await site.completes(second, kept),
                  "a job that nobody cancelled is lost in a move")


async def play_flood(site, faults):
    """One organisation cancels more unknown jobs than an entry notes."""
    first, second = site.entries
    accepted, unknown, late = (standin.new_job() for _ in range(3))
    lasting = {"spec": "work_ms=60000", "steps": STEPS}
    faults.expect((await site.ask(second, "POST", accepted, "south", body=lasting))[0]
                  == 200, "a job is not accepted before the flood")
    answers = []
    for _ in range(FLOOD // FLOOD_AT_ONCE):
        answers += await asyncio.gather(*(
            site.ask(second, "DELETE", standin.new_job(), "south", timeout=10)
            for _ in range(FLOOD_AT_ONCE)))
    statuses = {status for status, _ in answers}
    faults.expect(statuses <= {410, 503, 504, None} and 503 in statuses,
                  f"a flood of cancels is answered {statuses}")
    faults.expect((await site.ask(second, "DELETE", accepted, "south", timeout=10))[0]
                  == 200, "an accepted job is not cancelled in a flood")
    faults.expect((await site.ask(second, "DELETE", unknown, timeout=10))[0] == 410,
                  "another organisation's cancel is refused in a flood")
    faults.expect((await site.ask(first, "POST", late))[0] == 200,
                  "a job is not accepted after a flood of cancels")
    faults.expect(await site.completes(second, late),
                  "a job does not complete after a flood of cancels")
    faults.expect(all(entry.is_up() for entry in site.entries),
                  "an entry has ended in a flood of cancels")


async def main_async(args):
    folder = tempfile.mkdtemp(prefix="cancelled-")
    site = Site(folder)
    faults = Faults()
    try:
        await site.start()
        await play_frozen(site, faults)
        await play_moved(site, faults)
        await play_flood(site, faults)
    finally:
        for entry in site.entries:
            await entry.kill()
    for fault in faults:
        print("BROKEN", fault)
    if args.keep:
        print("record and logs in", folder, site.folder)
    else:
        shutil.rmtree(folder, ignore_errors=True)
        shutil.rmtree(site.folder, ignore_errors=True)
    return 1 if faults else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--keep", action="store_true")
    soak_site.run_and_exit(main_async, parser.parse_args())


if __name__ == "__main__":
    main()
