"""A route is removed and added again; a job whose task failed once is lost."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import site_standin as site_module  # noqa: E402

ATTEMPTS = 4
STEPS = [{"count": 6, "cpu": 1800, "mem_mb": 1800, "estimate_ms": 4000}]


async def play(site, trouble):
    site.add_workers("desk", 4)
    site.add_route("quote", "desk", attempts=ATTEMPTS)
    site.add_route("plan", "desk", attempts=ATTEMPTS)
    # One task of six fails once, through its worker's fault.
    site.failing = lambda task: task.endswith(".0.0.3")
    await site.start(entries=3)
    job = site_module.new_job()
    if await site.post(site.entries[0], "quote", job, STEPS, "work_ms=6000 fail_ms=3000") != 200:
        raise site_module.NotRun("the job was not accepted")
    await asyncio.sleep(1)
    if trouble:
        route = site.routes.pop("quote")
        site.write_config()
    await asyncio.sleep(4)
    if trouble:
        site.routes["quote"] = route
        site.write_config()
    await asyncio.sleep(14)
    state = await site.wait_state(job, "quote", ("completed", "failed", "cancelled"), 10)
    failed = [run for run in site.runs() if run.how == "failed"]
    faults = []
    if state in ("failed", "cancelled") and len(failed) < ATTEMPTS:
        faults.append(f"job {job} is shown as {state}: its tasks had {len(failed)} runs that "
                      f"ended failed, max_attempts is {ATTEMPTS}, and nobody cancelled it")
    elif state != "completed":
        faults.append(f"job {job} is shown as {state}")
    return faults


site_module.main(play, __file__)
