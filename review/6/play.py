"""A client's large job: 1,990 tasks that checkpoint, and one short task beside
them. Then small jobs come for the same queue."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fleet_standin as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LARGE_WORK_S = 70
FINISH_S = standin.BOUNDS["finish_s"]


async def play(site):
    first = await site.post(site.entries[0], [{"count": 1, "cpu": 50, "estimate_ms": 500}],
                            "work_s=0.5 cpu=50")
    await asyncio.sleep(3)
    if (await site.state(site.entries[0], first))[1] != "completed":
        raise standin.NotRun("the first job wasn't completed")
    # 1,990 tasks of 0.05 cores are 100 of the pool's 288 cores.
    wide = {"count": 1990, "cpu": 50, "estimate_ms": 70000}
    if TROUBLE:
        wide["checkpointing"] = True
    spec = (f"work_s={LARGE_WORK_S} work_s.1=5 cpu=50 "
            f"checkpoints={'1' if TROUBLE else '0'}")
    large = await site.post(site.entries[1], [wide, {"count": 1, "cpu": 50,
                                                     "estimate_ms": 5000}], spec)
    await asyncio.sleep(9)
    begun = sum(1 for start in site.starts if start[2].task.startswith(large))
    site.record.line(f"{begun} tasks of the large job have begun")
    if begun < 1991:
        raise standin.NotRun("the large job hasn't begun")
    small = []
    for number in range(6):
        small.append(await site.post(site.entries[number % 3],
                                     [{"count": 1, "cpu": 50, "estimate_ms": 500}],
                                     "work_s=0.5 cpu=50"))
        await asyncio.sleep(0.3)
    # `finish_s` after the end of the traffic, jobs are asked for.
    await asyncio.sleep(FINISH_S)
    used = sum(worker.used() for worker in site.workers)
    room = sum(worker.cpu for worker in site.workers)
    site.record.line(f"{used} of {room} thousandths of a core are in use")
    idle = []
    for job in small:
        state = (await site.state(site.entries[0], job))[1]
        begun = any(start[2].task.startswith(job) for start in site.starts)
        if not begun and state != "completed":
            idle.append(job)
    if idle and used * 2 < room:
        return (f"LOST: {len(idle)} of {len(small)} accepted jobs have had nothing running "
                f"for over {FINISH_S} s, with {used} of {room} in use; store refused "
                f"{sum(site.store.refused.values())} transactions")
    return None


class Run(standin.Run):
    def __init__(self, worker, body):
        super().__init__(worker, body)
        step = self.task.split(".")[2]
        if f"work_s.{step}" in self.spec:
            self.work_s = float(self.spec[f"work_s.{step}"])
            self.checkpoints = False


standin.Run = Run
standin.run_case(FOLDER, play, entries=3, workers=9)
