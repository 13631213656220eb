"""The pool is full, and jobs wait. The store carries one write out late, without
an answer. Long after that, callers ask for the number of waiting jobs."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fleet_standin as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# platform_lost, late: carried out 1 to 6 s later.
LATE_S = 5.5
CALM_S = standin.BOUNDS["contact_ms"] / 1000
KNOWN_S = standin.BOUNDS["visible_ms"] / 1000 + 2


class Store(standin.Store):
    losing = False

    async def handle(self, request):
        if self.losing and request.path == "/rows-tx":
            writes = json.loads(request.body).get("writes", [])
            if any(write["table"] == "waiting" for write in writes):
                self.losing = False
                self.site.record.line("the store leaves a write of `waiting` unanswered")
                asyncio.ensure_future(self.carry_out_late(request))
                await asyncio.sleep(20)
                return standin.DROP
        return await super().handle(request)

    async def carry_out_late(self, request):
        await asyncio.sleep(LATE_S)
        status, _ = self._transact(request)
        self.site.record.line(f"the store carries the write out late: {status}")


standin.Store = Store


async def play(site):
    # One task that fills each worker, for 60 s.
    await site.post(site.entries[0], [{"count": 4, "cpu": 32000, "estimate_ms": 60000}],
                    "work_s=60 cpu=32000")
    await asyncio.sleep(3)
    if [len(worker.running) for worker in site.workers] != [1] * 4:
        raise standin.NotRun("the first job doesn't fill the pool")
    site.store.losing = TROUBLE
    step = [{"count": 1, "cpu": 500, "estimate_ms": 500}]
    for number in range(12):
        await site.post(site.entries[number % 3], step, "work_s=0.5 cpu=500")
        # The first write tells of the first job or two.
        await asyncio.sleep(2.0 if number == 0 else 0.1)
    await asyncio.sleep(LATE_S + CALM_S + KNOWN_S)
    if len(site.starts) != 4:
        raise standin.NotRun("a job has begun")
    low = []
    for entry in site.entries:
        for _ in range(2):
            status, body = await entry.call("GET", site.prefix)
            site.record.line(f"client GET {site.prefix} at {entry.name}: {status} {body}")
            if status == 200 and body.get("waiting", 0) < 6:
                low.append(f"{entry.name} gives {body.get('waiting')}")
            await asyncio.sleep(1)
    return (f"MIXED: {len(low)} of 6 answers give under half of the 12 jobs that have waited for "
            f"over {KNOWN_S} s: {', '.join(low)}") if low else None


standin.run_case(FOLDER, play, entries=3, workers=4)
