"""A queue that moves twice in quick succession accepts a job in two services."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
import site_standin as site_module  # noqa: E402

GAP_S = 0.08
# About 36 jobs a second, a little more than the site's mean of 27.
SPACING_S = 0.028
TRAFFIC_S = 3.0
REPEAT_AFTER_S = 3.0
STEPS = [{"count": 2, "cpu": 400, "mem_mb": 400, "estimate_ms": 6000}]
# The site's machines.
NAMES = [f"front-{zone}-{n}" for zone, count in
         (("nelson-yard", 3), ("castlegar-shed", 3), ("trail-depot", 2))
         for n in range(1, count + 1)]


async def submit(site, number):
    """A client that hands a job in, and whose request arrives once more, at
    another node, seconds after the 2xx."""
    job = site_module.new_job()
    entries = site.entries
    if await site.post(entries[number % len(entries)], "quote", job, STEPS,
                       "work_ms=6000") != 200:
        return False
    await asyncio.sleep(REPEAT_AFTER_S)
    await site.post(entries[(number + 3) % len(entries)], "quote", job, STEPS,
                    "work_ms=6000")
    return True


async def play(site, trouble):
    for service in ("desk", "planner", "fittings"):
        site.add_workers(service, 6)
    site.add_route("quote", "desk")
    await site.start(entries=NAMES)
    clients = []

    async def traffic():
        for number in range(round(TRAFFIC_S / SPACING_S)):
            clients.append(asyncio.ensure_future(submit(site, number)))
            await asyncio.sleep(SPACING_S)

    async def operator():
        await asyncio.sleep(TRAFFIC_S / 2)
        if trouble:
            site.add_route("quote", "planner")
            site.write_config()
        await asyncio.sleep(GAP_S)
        site.add_route("quote", "fittings")
        site.write_config()

    await asyncio.gather(traffic(), operator())
    accepted = sum(await asyncio.gather(*clients))
    site.record.line(f"{accepted} of {len(clients)} jobs were accepted")
    if accepted < len(clients) / 2:
        raise site_module.NotRun("too few jobs were accepted")
    await asyncio.sleep(12)
    return site.twice()


site_module.main(play, __file__)
