"""The operator replaces a route by one of another name at the same host and
path, which leads to another service. A client's request arrives again."""
import asyncio
import json
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fleet_standin as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def write_config(site, version, route, service):
    config = {"version": version, "routes": [
        {"name": route, "host": site.host, "path_prefix": site.prefix, "service": service,
         "priority": 0, "max_attempts": 4, "stretch": 3.0, "latency_slo_ms": 600}],
        "services": [{"name": name, "rejects_overload": False} for name in ("desk", "yard")],
        "limits": {}}
    site.store.put("op", "", "config", json.dumps(config))
    site.record.line(f"operator: version {version}, route {route} at {site.host}{site.prefix} "
                     f"leads to {service}")


class Site(standin.Site):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        for worker in self.workers[len(self.workers) // 2:]:
            worker.service = "yard"

    def write_config(self, attempts=4):
        write_config(self, 7, "quote", "desk")


standin.Site = Site


async def play(site):
    twice = []

    def watch(worker, run, body):
        for _, other, known, _ in site.starts:
            if known is run or known.task != run.task:
                continue
            if other.running.get(known.task) is known:
                twice.append(f"{run.task} starts on {worker.id} ({worker.service}) while it runs "
                             f"on {other.id} ({other.service})")
            elif (known.task, known.run, "done") in site.acknowledged:
                twice.append(f"{run.task} starts on {worker.id} ({worker.service}) after its end "
                             f"`done` on {other.id} ({other.service}) was taken note of")

    site.watchers.append(watch)
    steps = [{"count": 2, "cpu": 500, "estimate_ms": 500},
             {"count": 1, "cpu": 500, "estimate_ms": 6000, "after": [0]}]
    spec = "work_s=0.5 work_s.1=9 cpu=500"
    job = await site.post(site.entries[0], steps, spec)
    await asyncio.sleep(2)
    if TROUBLE:
        write_config(site, 9, "quote-2", "yard")
    # Longer than `config_apply_ms`.
    await asyncio.sleep(3)
    status, _ = await site.entries[1].call("POST", site.prefix + job,
                                           {"spec": spec, "steps": steps})
    site.record.line(f"client POST {job} again at {site.entries[1].name}: {status}")
    await asyncio.sleep(6)
    await site.state(site.entries[2], job)
    return f"TWICE: {len(twice)} starts; {'; '.join(twice)}" if twice else None


class Run(standin.Run):
    def __init__(self, worker, body):
        super().__init__(worker, body)
        step = self.task.split(".")[2]
        self.work_s = float(self.spec.get(f"work_s.{step}", self.work_s))


standin.Run = Run
standin.run_case(FOLDER, play, entries=3, workers=8)
