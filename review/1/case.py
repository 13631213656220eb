"""A worker restarts under its id; a run that its new life has accepted is given up."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import site_standin as site_module  # noqa: E402

CUT_S = 5.0
DOWN_S = 0.5
STEPS = [{"count": 4, "cpu": 1800, "mem_mb": 1800, "estimate_ms": 4000}]
# Ordinary work on the worker that comes next in the owner's order, so that a
# second run goes there.
OTHER = [{"count": 1, "cpu": 25600, "mem_mb": 1800, "estimate_ms": 9000}]


async def play(site, trouble):
    site.add_workers("desk", 6)
    site.add_route("quote", "desk")
    await site.start(entries=3)
    # One job before, so that the owner has connections to its first choice.
    if await site.post(site.entries[0], "quote", site_module.new_job(), STEPS,
                       "work_ms=500") != 200:
        raise site_module.NotRun("the first job was not accepted")
    await asyncio.sleep(3)
    chosen = next(w for w in site.workers if w.runs)
    for _ in range(100):
        if not chosen.running and site.record.now() - chosen.polled_at < 0.2:
            break
        await asyncio.sleep(0.05)
    if trouble:
        chosen.cut_from_store = True
        site.record.line(f"{chosen.id} is cut from the store, the entries reach it")
        await chosen.crash()
    await asyncio.sleep(DOWN_S)
    if trouble:
        await chosen.start()
    await asyncio.sleep(0.5)
    job = site_module.new_job()
    if await site.post(site.entries[1], "quote", job, STEPS, "work_ms=4000") != 200:
        raise site_module.NotRun("the job was not accepted")
    other = site_module.new_job()
    if await site.post(site.entries[2], "quote", other, OTHER, "work_ms=9000") != 200:
        raise site_module.NotRun("the other job was not accepted")
    await asyncio.sleep(CUT_S - DOWN_S - 0.5)
    chosen.cut_from_store = False
    await asyncio.sleep(12)
    await site.get(site.entries[2], f"/quote/{job}")
    return site.twice()


site_module.main(play, __file__)
