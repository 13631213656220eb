"""A worker that the store can't reach starts again under its id; two polls of it
get no answer and are carried out 2 s later. A client's job comes meanwhile, beside
a stream of others."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fleet_standin as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
IDLE_POLL_S = 4.0
# srv_cut: at most 5 s, a share of 0.2 of the workers; here one of six.
CUT_S = 4.5
# applied_late: a share of 0.055 of the orders for 5.5 s, 2 to 12 s late.
LATE_S = 2.05
MAX_LATE_SHARE = 0.055
LATE_SPAN_S = 5.5
LATE_POLLS_S = 2.0


class Worker(standin.Worker):
    late_until = None
    watch_poll = False

    async def handle(self, request):
        now = self.record.now()
        self.site.orders.append(now)
        if request.path == "/hold" and self.watch_poll:
            body = json.loads(request.body)
            if body.get("last_seen", 0) >= 1:
                self.watch_poll = False
                self.record.line(f"{self.id} gets a poll with last_seen {body['last_seen']}")
                if TROUBLE:
                    self.late_until = now + LATE_POLLS_S
                self.site.poll_seen.set()
        if request.path == "/hold" and self.late_until and now < self.late_until:
            self.record.line(f"{self.id} leaves a poll unanswered: {request.body.decode()}")
            self.site.late_orders.append(now)
            asyncio.ensure_future(self.carry_out_late(request))
            await asyncio.sleep(20)
            return standin.DROP
        return await super().handle(request)

    async def carry_out_late(self, request):
        born = self.born
        await asyncio.sleep(LATE_S)
        # An order that reached one incarnation isn't carried out by the next.
        if self.up and self.born == born:
            self.record.line(f"{self.id} carries out the poll late: {request.body.decode()}")
            await self.hold(dict(json.loads(request.body), wait_ms=0))


class Site(standin.Site):
    """Two workers of kind b, the others of kind a."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.orders = []
        self.late_orders = []
        for worker in self.workers[:2]:
            worker.labels[0] = "b"


standin.Worker = Worker
standin.Site = Site


def job_steps(kind):
    return [{"count": 1, "cpu": 500, "estimate_ms": 500, "constraints": kind}]


async def send_others(site):
    number = 0
    while True:
        asyncio.ensure_future(site.post(site.entries[number % 3], job_steps("a"),
                                        "work_s=0.3 cpu=500"))
        number += 1
        await asyncio.sleep(0.08)


async def cut_and_restart(site, worker):
    began = site.record.now()
    worker.cut_from_store = True
    site.record.line(f"worker {worker.id} is cut off from the store")
    worker.crash()
    await asyncio.sleep(0.3)
    await worker.start()
    await asyncio.sleep(CUT_S - (site.record.now() - began))
    worker.cut_from_store = False
    site.record.line(f"the cut of {worker.id} heals")


def check_dose(site):
    first = site.late_orders[0]
    orders = sum(1 for at in site.orders if abs(at - first) <= LATE_SPAN_S / 2)
    share = len(site.late_orders) / orders
    site.record.line(f"{len(site.late_orders)} of {orders} orders within {LATE_SPAN_S} s are late")
    if share > MAX_LATE_SHARE:
        raise standin.NotRun(f"a share of {share:.3f} of the orders was late")


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
    first = await site.post(site.entries[0], job_steps("b"), "work_s=0.5 cpu=500")
    while not site.ends:
        await asyncio.sleep(0.01)
    ended_at, chosen = site.ends[0][0], site.ends[0][1]
    chosen.watch_poll = True
    others = asyncio.ensure_future(send_others(site))
    await asyncio.sleep(IDLE_POLL_S - 0.8 - (site.record.now() - ended_at))
    if TROUBLE:
        cut = asyncio.ensure_future(cut_and_restart(site, chosen))
    try:
        await asyncio.wait_for(site.poll_seen.wait(), 3)
    except asyncio.TimeoutError:
        raise standin.NotRun("no poll took note of the first end")
    await asyncio.sleep(0.05)
    job = await site.post(site.entries[1], job_steps("b"), "work_s=0.5 cpu=500")
    await asyncio.sleep(4)
    others.cancel()
    if TROUBLE:
        await cut
        check_dose(site)
    await asyncio.sleep(5)
    await site.state(site.entries[2], job)
    if not any(run.task.startswith(job) and worker is chosen for _, worker, run, _ in site.starts):
        raise standin.NotRun("the job wasn't started on the worker that started again")
    return f"TWICE: {'; '.join(twice)}" if twice else None


standin.run_case(FOLDER, play, entries=3, workers=6)
