"""Finding, no case. Gangs, while the system moves machines between pools."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import small_site  # noqa: E402
from small_site import BOUNDS, now  # noqa: E402

SERVICES = ("counter-desk", "fittings-desk")
SPARE = "works-misc"
WORKERS = 9
SPARE_MACHINES = 8     # of the disruption; without them no pool can change
MEMBERS = 6
MEMBER_CPU = 1800      # of 32,000
WORK_S = 0.64
STEPS = 2
ENTRIES = 8
GANG_TIMEOUT_S = 3.0
# The mean of the site's elbow-quote; its collar-quote has 13.8.
JOBS_S = 11.0
TRAFFIC_S = 80.0
FINISH_S = 10.0


class Machines:
    """The machine service: moves machines between the pools."""

    def __init__(self, site, spare_machines):
        self.site = site
        self.http = small_site.HttpServer(self.handle)
        self.machines = {}   # machine -> {pool, state, worker, rack}
        self.fences = {}
        self.moves = 0
        self.next_worker = 0x5a100000
        for worker in site.workers:
            self.machines[worker.machine] = {
                "pool": worker.service, "state": "up", "worker": worker,
                "labels": worker.labels}
        for index in range(spare_machines):
            self.machines[f"m-9{index:04x}"] = {
                "pool": SPARE, "state": "up", "worker": None,
                "labels": ["a", f"r9-{index // 4}"]}

    async def handle(self, request):
        if request.path == "/machines":
            return 200, {"machines": [
                {"machine": name, "pool": machine["pool"], "state": machine["state"],
                 "zone": "z1", "labels": machine["labels"],
                 "capacity": {"cpu": 32000, "mem_mb": 65536, "gpu": 0},
                 "id": machine["worker"].id if machine["worker"] else ""}
                for name, machine in self.machines.items()], "next_token": ""}
        if request.path != "/machine-move":
            return 400, {}
        body = request.json()
        machine = self.machines.get(body["machine"])
        if machine is None or body["pool"] not in SERVICES + (SPARE,):
            return 400, {}
        token = int(request.headers.get("fireflythread-fencing-token", 0))
        if token < self.fences.get(body["machine"], 0):
            return 409, {"reason": "fence"}
        self.fences[body["machine"]] = token
        if machine["pool"] == body["pool"]:
            return 200, {}
        if machine["state"] != "up":
            return 409, {"reason": "busy"}
        self.moves += 1
        self.site.record.line(f"machine service: {body['machine']} goes from "
                              f"{machine['pool']} to {body['pool']}")
        self.leave(machine)
        machine["pool"], machine["state"] = body["pool"], "moving"
        asyncio.ensure_future(self.join(body["machine"], machine))
        return 200, {}

    def leave(self, machine):
        worker = machine["worker"]
        if worker is not None:
            worker.stop()
            self.site.store.put("servers", "", worker.id, None)
            self.site.workers.remove(worker)
            machine["worker"] = None

    async def join(self, name, machine):
        await asyncio.sleep(BOUNDS["move_s"])
        machine["state"] = "up"
        if machine["pool"] == SPARE:
            return
        self.next_worker += 1
        worker = small_site.Worker(self.site, f"i-{self.next_worker:08x}",
                                   machine["pool"], name, machine["labels"][1])
        await worker.start()
        self.site.workers.append(worker)
        machine["worker"] = worker


class SerialStore(small_site.Store):
    """A part handles its transactions one after another, each in `tx_ms`."""

    def __init__(self, record):
        super().__init__(record)
        self.parts = {}

    async def transact(self, request):
        body = request.json()
        entries = (body.get("writes", []) + body.get("remove", [])
                   + body.get("expected_rev", []))
        part = entries[0]["part"] if entries else ""
        async with self.parts.setdefault(part, asyncio.Lock()):
            return await super().transact(request)


class GangSite(small_site.Site):
    """The members of a run work together from the moment when all of them are
    present. A member that waits for the others for `gang_timeout_ms` ends
    `alone`; the others of its run end `broken` then."""

    def __init__(self, spare_machines, **kwargs):
        super().__init__(**kwargs)
        self.members = {}    # (step, run) -> runs of the members
        self.spare_machines = spare_machines
        self.store = SerialStore(self.record)
        self.cloud = Machines(self, spare_machines)

    def configuration(self):
        configuration = super().configuration()
        if self.spare_machines:
            configuration["services"].append(dict(configuration["services"][0],
                                                  name=SPARE, spare=True))
        return configuration

    def key_of(self, run):
        return run.task.rsplit(".", 1)[0], run.number

    def started(self, run, body):
        self.runs.append(run)
        run.at_work = False
        members = self.members.setdefault(self.key_of(run), [])
        members.append(run)
        loop = asyncio.get_running_loop()
        loop.call_later(GANG_TIMEOUT_S, self.give_up, run)
        if len(members) == MEMBERS and all(m.ended is None for m in members):
            for member in members:
                member.at_work = True
                loop.call_later(WORK_S, member.worker.end, member, "done")

    def give_up(self, run):
        if run.ended is None and not run.at_work:
            run.worker.end(run, "alone")

    def ended(self, run):
        members = self.members[self.key_of(run)]
        if run.how != "done":
            for member in members:
                if member.ended is None:
                    member.worker.end(member, "broken")
        elif all(member.ended for member in members):
            step, number = self.key_of(run)
            self.record.line(f"workers: all members of {step} run {number} ended "
                             f"'done'")

    def write_down(self, members):
        began = self.record.began
        for run in members:
            self.record.line(
                f"  {run.worker.id} ({run.worker.service}) started {run.task} run "
                f"{run.number} at {run.began - began:.3f} and listed its end "
                f"'{run.how}' at {(run.ended or now()) - began:.3f}")


async def send_jobs(site, index):
    began = now()
    sent = []
    while now() - began < TRAFFIC_S:
        await asyncio.sleep(random.expovariate(JOBS_S))
        sent.append(asyncio.ensure_future(site.submit(SERVICES[index], {
            "spec": "gang", "steps": [
                {"count": MEMBERS, "cpu": MEMBER_CPU, "mem_mb": 1800,
                 "estimate_ms": int(WORK_S * 1000), "gang": True,
                 "after": list(range(step))} for step in range(STEPS)]}, tries=2)))
    return [job for job, status in await asyncio.gather(*sent) if status == 200]


async def play(record, trouble):
    site = GangSite(SPARE_MACHINES if trouble else 0, record=record,
                    entries=ENTRIES, services=SERVICES, workers=WORKERS)
    try:
        await site.start()
        accepted = await asyncio.gather(
            *[send_jobs(site, index) for index in range(len(SERVICES))])
        await asyncio.sleep(FINISH_S)
        record.say(f"{sum(map(len, accepted))} gangs accepted; "
                   f"{site.cloud.moves} machines moved by the system")
        broken = {}
        for run in site.runs:
            if run.how == "alone":
                broken.setdefault(site.key_of(run), []).append(run)
        for (step, number), alone in broken.items():
            record.say(f"run {number} of {step}: {len(site.members[step, number])} of "
                       f"{MEMBERS} members were started; {len(alone)} ended 'alone'")
            site.write_down(site.members[step, number])
        ups = [entry.process.returncode is None for entry in site.entries]
        record.say(f"{len(broken)} runs ended 'alone'; entries up: {ups}")
        return not broken
    finally:
        await site.stop()


if __name__ == "__main__":
    small_site.main(play, HERE)
