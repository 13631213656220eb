"""A worker that was cut off lists its ends 500 at a time; the others run again."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import site_standin as site_module  # noqa: E402

JOBS = 60
WIDTH = 10
# Shorter than the 4 s that a lease lasts at least after the last report.
CUT_S = 3.0
STEPS = [{"count": WIDTH, "cpu": 50, "mem_mb": 20, "estimate_ms": 7000}]


async def play(site, trouble):
    site.add_workers("desk", 6)
    site.add_route("quote", "desk")
    await site.start(entries=3)
    jobs = [site_module.new_job() for _ in range(JOBS)]
    answers = await asyncio.gather(*[
        site.post(site.entries[n % 3], "quote", job, STEPS, f"work_ms={7000 + 20 * n}")
        for n, job in enumerate(jobs)])
    if any(status != 200 for status in answers):
        raise site_module.NotRun("not all jobs were accepted")
    for _ in range(50):
        await asyncio.sleep(0.1)
        if len(site.runs()) >= JOBS * WIDTH:
            break
    busiest = max(site.workers, key=lambda worker: len(worker.running))
    site.record.line(f"{busiest.id} runs {len(busiest.running)} tasks")
    if len(busiest.running) <= 500:
        raise site_module.NotRun("the tasks are not on one worker")
    await asyncio.sleep(max(0, 6.2 - (site.record.now() - site.runs()[0].began)))
    if trouble:
        busiest.cut_off = True
        site.record.line(f"{busiest.id} is cut off")
    await asyncio.sleep(CUT_S)
    busiest.cut_off = False
    site.record.line(f"{busiest.id} is reached again, {len(busiest.running)} tasks run, "
                     f"{len(busiest.ends)} ends are not noted")
    await asyncio.sleep(14)
    return site.twice()


site_module.main(play, __file__)
