"""A frozen entry stores a job a second time, at the queue's former service."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import site_standin as site_module  # noqa: E402

FREEZE_S = 4.0
STEPS = [{"count": 4, "cpu": 1800, "mem_mb": 1800, "estimate_ms": 5000}]


async def play(site, trouble):
    site.add_workers("desk", 4)
    site.add_workers("planner", 4)
    site.add_route("quote", "desk")
    await site.start(entries=3)
    first, second = site.entries[0], site.entries[1]
    job = site_module.new_job()
    if trouble:
        first.send_signal(signal.SIGSTOP)
    began = asyncio.get_running_loop().time()

    async def until(seconds):
        await asyncio.sleep(max(0, began + seconds - asyncio.get_running_loop().time()))

    await until(0.3)
    submission = asyncio.ensure_future(
        site.post(first, "quote", job, STEPS, "work_ms=5000"))
    await until(2.0)
    site.add_route("quote", "planner")
    site.write_config()
    status = await submission
    # The client's deadline is 3 s; "a request with the same ID arrives again, at
    # any node" after no answer, and now and then also after the 2xx.
    await until(3.4)
    status = await site.post(second, "quote", job, STEPS, "work_ms=5000")
    await until(FREEZE_S)
    if trouble:
        first.send_signal(signal.SIGCONT)
    await until(20)
    if status != 200:
        raise site_module.NotRun(f"the repeat was answered {status}")
    await site.get(second, f"/quote/{job}")
    return site.twice()


site_module.main(play, __file__)
