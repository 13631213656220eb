"""A worker that the store can't reach starts again under its id; polls of it get
no answer and are carried out 2 s later. A client's job comes meanwhile."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fleet_standin as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
IDLE_POLL_S = 4.0
LATE_S = 2.05
LATE_WINDOW_S = 2.0


class Worker(standin.Worker):
    late_until = None
    watch_poll = False

    async def handle(self, request):
        now = self.record.now()
        if request.path == "/hold" and self.watch_poll:
            body = json.loads(request.body)
            if body.get("last_seen", 0) >= 1:
                self.watch_poll = False
                self.record.line(f"{self.id} gets a poll with last_seen {body['last_seen']}")
                if TROUBLE:
                    self.late_until = now + LATE_WINDOW_S
                self.site.poll_seen.set()
        if request.path == "/hold" and self.late_until and now < self.late_until:
            self.record.line(f"{self.id} leaves a poll unanswered: {request.body.decode()}")
            asyncio.ensure_future(self.carry_out_late(request))
            await asyncio.sleep(20)
            return standin.DROP
        return await super().handle(request)

    async def carry_out_late(self, request):
        born = self.born
        await asyncio.sleep(LATE_S)
        if self.up and self.born == born:
            self.record.line(f"{self.id} carries out the poll late: {request.body.decode()}")
            await self.hold(dict(json.loads(request.body), wait_ms=0))


standin.Worker = Worker


async def play(site):
    site.poll_seen = asyncio.Event()
    twice = []

    def watch(worker, run, body):
        for _, other, known, _ in site.starts:
            if known is run or known.task != run.task:
                continue
            if other.running.get(known.task) is known:
                twice.append(f"{run.task} run {run.run} starts on {worker.id} while run "
                             f"{known.run} is at work on {other.id}")
            elif (known.task, known.run, "done") in site.acknowledged:
                twice.append(f"{run.task} run {run.run} starts on {worker.id} after run "
                             f"{known.run} has ended `done` on {other.id}, which was taken note of")

    site.watchers.append(watch)
    step = [{"count": 1, "cpu": 500, "estimate_ms": 500}]
    first = await site.post(site.entries[0], step, "work_s=0.5 cpu=500")
    while not site.ends:
        await asyncio.sleep(0.01)
    ended_at, chosen = site.ends[0][0], site.ends[0][1]
    chosen.watch_poll = True
    await asyncio.sleep(IDLE_POLL_S - 0.8 - (site.record.now() - ended_at))
    if TROUBLE:
        chosen.cut_from_store = True
        site.record.line(f"worker {chosen.id} is cut off from the store")
        chosen.crash()
        await asyncio.sleep(0.3)
        await chosen.start()
    try:
        await asyncio.wait_for(site.poll_seen.wait(), 3)
    except asyncio.TimeoutError:
        raise standin.NotRun("no poll took note of the first end")
    await asyncio.sleep(0.05)
    job = await site.post(site.entries[1], step, "work_s=0.5 cpu=500")
    await asyncio.sleep(4)
    chosen.cut_from_store = False
    await asyncio.sleep(5)
    await site.state(site.entries[2], job)
    if not any(run.task.startswith(job) and worker is chosen for _, worker, run, _ in site.starts):
        raise standin.NotRun("the job wasn't started on the worker that started again")
    return f"TWICE: {'; '.join(twice)}" if twice else None


standin.run_case(FOLDER, play, entries=3, workers=6)
