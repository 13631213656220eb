"""Finding, no case. Scheduled jobs that repeat often, and the memory of a machine."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import small_site  # noqa: E402

SERVICES = ("counter-desk", "fittings-desk")
SCHEDULES = 720        # for each service
OFTEN = 2000           # repeat_count of the disruption
SELDOM = 6             # `times` of the site file
INTERVAL_MS = 30_000
PAUSE_S = 0.03
LAST_SUBMISSION_S = 65.0
MEMORY_MB = 260        # memory_mb of the settings
RESTART_S = 1.0
WATCH_S = 20.0
# A tenth of the machines in use, two at least, three times in the day.
MACHINES = 2
ENDS = 3


def memory_mb(pid):
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


class Platform:
    """Kills a process that exceeds `memory_mb`, and starts processes again."""

    def __init__(self, site, record):
        self.site, self.record = site, record
        self.kills = {entry.name: 0 for entry in site.entries}
        self.most = 0.0

    async def run(self):
        while True:
            await asyncio.sleep(0.05)
            for entry in self.site.entries:
                await self.look(entry)

    async def look(self, entry):
        if entry.process.returncode is not None:
            return
        try:
            used = memory_mb(entry.process.pid)
        except OSError:
            return
        self.most = max(self.most, used)
        if used > MEMORY_MB:
            self.kills[entry.name] += 1
            self.record.line(f"platform: {entry.name} holds {used:.0f} MB of "
                             f"{MEMORY_MB}")
            entry.signal(signal.SIGKILL)
            await entry.process.wait()
            asyncio.ensure_future(self.restart(entry))

    async def restart(self, entry):
        await asyncio.sleep(RESTART_S)
        await entry.start()


async def submit_schedules(site, service, trouble, start_ms):
    accepted = 0
    for _ in range(SCHEDULES):
        if site.record.seconds() > LAST_SUBMISSION_S:
            break
        _, status = await site.submit(service, {
            "spec": "schedule", "repeat_count": OFTEN if trouble else SELDOM,
            "start_at_ms": start_ms, "interval_ms": INTERVAL_MS,
            "steps": [{"count": 1, "cpu": 1800, "mem_mb": 256,
                       "estimate_ms": 640}]}, tries=2)
        accepted += status == 200
        await asyncio.sleep(PAUSE_S)
    return accepted


async def play(record, trouble):
    site = small_site.Site(record, entries=3, services=SERVICES, workers=4)
    platform = Platform(site, record)
    watch = None
    try:
        await site.start()
        watch = asyncio.ensure_future(platform.run())
        start_ms = int(time.time() * 1000) + 3_600_000
        accepted = await asyncio.gather(
            *[submit_schedules(site, service, trouble, start_ms)
              for service in SERVICES])
        record.say(f"schedules accepted: {dict(zip(SERVICES, accepted))}, "
                   f"{record.seconds():.0f} s after the start")
        await asyncio.sleep(WATCH_S)
        record.say(f"at most {platform.most:.0f} MB in one process; processes that "
                   f"ended by themselves (memory over the limit): {platform.kills}")
        often = [name for name, kills in platform.kills.items() if kills >= ENDS]
        record.say(f"{len(often)} of {len(site.entries)} machines with {ENDS} such "
                   f"ends or more")
        return len(often) < max(MACHINES, len(site.entries) / 10)
    finally:
        if watch is not None:
            watch.cancel()
        await site.stop()


if __name__ == "__main__":
    small_site.main(play, HERE)
