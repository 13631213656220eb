"""Case 11. One large job, of tasks that save checkpoints; small jobs beside it."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import small_site  # noqa: E402
from small_site import now  # noqa: E402

LARGE_TASKS = 2000
ORDINARY_TASKS = 32
TASK_CPU = 50          # of 9 workers with 32,000 each: 2,000 tasks take 35 %
# The tasks of the large job are uneven: one in fifty is short.
LONG_WORK_S = 100.0
SHORT_WORK_S = 6.0
SHORT_EACH = 50
SMALL_JOBS = 16
SMALL_WORK_S = 0.5
FINISH_S = 14
STALL_S = 3.0


def large_work_s(task):
    index = int(task.rsplit(".", 1)[1])
    return SHORT_WORK_S if index % SHORT_EACH == 0 else LONG_WORK_S


async def play(record, trouble):
    site = small_site.Site(record, entries=3, workers=9)
    try:
        await site.start()
        count = LARGE_TASKS if trouble else ORDINARY_TASKS
        large, status = await site.submit("desk", {
            "spec": "large", "steps": [{"count": count, "cpu": TASK_CPU,
                                        "mem_mb": 16, "estimate_ms": 100000,
                                        "checkpointing": True}]},
            work_s=large_work_s)
        site.quiet_jobs.add(large)
        record.say(f"large job of {count} tasks: {status}")
        if status != 200:
            raise RuntimeError("the large job was not accepted")
        for _ in range(300):
            await asyncio.sleep(0.1)
            running = sum(1 for run in site.runs_of(large) if run.ended is None)
            if running == count:
                break
        record.say(f"{running} of its tasks run, on "
                   f"{site.used_share('desk'):.0%} of the service's cores")
        await asyncio.sleep(3.0)
        small = []
        for _ in range(SMALL_JOBS):
            job, _ = await site.submit("desk", {
                "spec": "small", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256,
                                            "estimate_ms": 500}]},
                work_s=SMALL_WORK_S)
            small.append(job)
            await asyncio.sleep(0.6)
        accepted = [job for job in small if site.jobs[job]["accepted"]]
        record.say(f"{len(accepted)} of {len(small)} small jobs accepted; "
                   f"the traffic has ended")
        await asyncio.sleep(FINISH_S)
        stalled = {job for job in accepted if not site.runs_of(job)}
        used = site.used_share("desk")
        # For 3 s, a job has nothing running although there is room.
        end = now() + STALL_S
        while now() < end:
            await asyncio.sleep(0.1)
            used = max(used, site.used_share("desk"))
            stalled = {job for job in stalled if not site.runs_of(job)}
        states = {}
        for job in accepted:
            answer = await site.state(job)
            states[answer] = states.get(answer, 0) + 1
            record.line(f"client: GET {job} -> {answer}")
        record.say(f"{FINISH_S} s after the end of the traffic and for {STALL_S} s: "
                   f"{len(stalled)} of {len(accepted)} accepted jobs have nothing "
                   f"running and never had, with {used:.0%} of the cores in use; "
                   f"states {states}")
        for reason, times in site.store.refused.items():
            record.say(f"the store refused {times} transactions: {reason}")
        for entry in site.entries:
            record.line(f"{entry.name}: {'up' if entry.process.returncode is None else 'ended'}")
        return not (stalled and used < 0.5)
    finally:
        await site.stop()


if __name__ == "__main__":
    small_site.main(play, HERE)
