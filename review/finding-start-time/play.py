"""Finding, no case. A scheduled job that is parked until the end of the year 9999."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import small_site  # noqa: E402

# 9999-12-31T23:59:59.999Z, the customary date for "not until further notice".
END_OF_9999_MS = 253_402_300_799_999
HOUR_MS = 3_600_000
EARLY_MS = 250
WATCH_S = 15.0


async def play(record, trouble):
    site = small_site.Site(record, entries=3, workers=3)
    try:
        await site.start()
        due_ms = END_OF_9999_MS if trouble else int(time.time() * 1000) + HOUR_MS
        job, status = await site.submit("desk", {
            "spec": "parked", "repeat_count": 1, "start_at_ms": due_ms,
            "interval_ms": 1000,
            "steps": [{"count": 2, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500}]},
            work_s=0.5)
        record.say(f"job {job}, due at {due_ms}: {status}")
        if status is None or status >= 500:
            raise RuntimeError("the job was not answered")
        await asyncio.sleep(WATCH_S)
        record.say(f"GET {job} -> {await site.state(job)}")
        early = [run for run in site.runs_of(job)
                 if time.time() * 1000 < due_ms - EARLY_MS]
        record.say(f"{len(early)} starts within {WATCH_S} s, "
                   f"{(due_ms / 1000 - time.time()) / 86400 / 365.25:.1f} years early")
        return not early
    finally:
        await site.stop()


if __name__ == "__main__":
    small_site.main(play, HERE)
