"""Case 11. A client cancels a job whose submission an entry still holds."""
import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import small_site  # noqa: E402
from small_site import BOUNDS, call, now  # noqa: E402

ENTRIES = 8
# The site file's node_freeze: count 1, for 4.0 s.
FREEZE_S = 3.5
# The client's time for an answer (the deadline of the site's clients).
DEADLINE_S = 3.0
STEP_S = 8.0
WATCH_S = 14.0
HEADERS = {"Host": "cuzi25.example", "Fireflythread-Deadline-Ms": "3000"}
JOB = "5c0e7a21d94b36f8"


async def ask(site, entry, method, body=None, timeout=DEADLINE_S):
    try:
        answer = await call(entry.front, method, f"/desk/{JOB}", body, HEADERS, timeout)
    except (OSError, asyncio.TimeoutError):
        answer = (None, None)
    site.record.say(f"client: {method} {JOB} at {entry.name} -> {answer}")
    return answer[0]


async def play(record, trouble):
    site = small_site.Site(record, entries=ENTRIES, workers=9)
    first, second = site.entries[0], site.entries[1]
    thaw = None
    try:
        await site.start()
        body = {"spec": "plan", "steps": [
            {"count": 2, "cpu": 1800, "mem_mb": 1800, "estimate_ms": 8000},
            {"count": 2, "cpu": 1800, "mem_mb": 1800, "estimate_ms": 8000,
             "after": [0]}]}
        site.jobs[JOB] = {"body": body, "service": "desk", "accepted": None}
        site.work_s[JOB] = STEP_S
        await asyncio.sleep(4.0)
        if trouble:
            first.signal(signal.SIGSTOP)
            thaw = asyncio.get_running_loop().call_later(
                FREEZE_S, first.signal, signal.SIGCONT)
        await asyncio.sleep(0.1)
        began = now()
        submitted = await ask(site, first, "POST", body)
        if trouble and submitted is not None:
            raise RuntimeError("the entry answered although it stood still")
        await asyncio.sleep(max(0.0, began + DEADLINE_S - now()))
        cancelled = None
        for _ in range(5):
            cancelled = await ask(site, second, "DELETE")
            acknowledged = now()
            if cancelled in (200, 202, 204, 410):
                break
        else:
            raise RuntimeError("the cancel was not acknowledged")
        await asyncio.sleep(WATCH_S)
        await ask(site, second, "GET")
        late = [run for run in site.runs_of(JOB)
                if run.began > acknowledged + BOUNDS["cancel_ms"] / 1000]
        record.say(f"{len(site.runs_of(JOB))} tasks started; {len(late)} of them later "
                   f"than cancel_ms after the cancel was acknowledged with {cancelled}")
        for run in late:
            record.say(f"  {run.task} run {run.number}, "
                       f"{run.began - acknowledged:.1f} s after it")
        return not late
    finally:
        if thaw is not None:
            thaw.cancel()
        await site.stop()


if __name__ == "__main__":
    small_site.main(play, HERE)
