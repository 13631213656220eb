"""A gang that checkpoints: one member of its first run fails by its own fault.
The next run has to resume from one checkpoint, the same for all members."""
import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
import fleet_standin as standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COUNT = 4
WORK_S = 4.0
FAILS_AFTER_S = 1.7
TIMEOUT_S = standin.BOUNDS["gang_timeout_ms"] / 1000


class Site(standin.Site):
    """Adds what PROTOCOL.md says of gangs: the tasks work from the moment when
    all tasks of one run are present, all of them with the same checkpoint; they
    end together; a member that waits for `gang_timeout_ms` ends `alone`."""

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self.failed_at = None
        self.alone = []
        self.mixed = []

    def follow_gang(self, worker, run, now):
        key = (run.task.rsplit(".", 1)[0], run.run)
        members = [(its_worker, member, value)
                   for its_worker, member, value in self.gangs[key].values()
                   if its_worker.running.get(member.task) is member]
        values = {value for _, _, value in self.gangs[key].values()}
        if run.at_work_since is None:
            if len(members) == run.gang and len(values) == 1:
                self.record.line(f"gang {key[0]} run {key[1]} is at work")
                for _, member, _ in members:
                    member.at_work_since = now
            elif now - run.began >= TIMEOUT_S:
                self.alone.append((now, run.task, run.run))
                if len(members) == run.gang:
                    self.record.line(f"all members of {key[0]} run {key[1]} were present, with "
                                     f"the checkpoints {sorted(values)}")
                    self.mixed.append(key)
                worker.end(run, "alone")
            return
        if len(members) < run.gang:
            worker.end(run, "broken")
            return
        restored = int(members[0][2][:8], 16) / 1000 if members[0][2] else 0
        worked = now - run.at_work_since
        if TROUBLE and run.run == 1 and worked >= FAILS_AFTER_S and run.task.endswith(".0"):
            self.failed_at = now
            worker.end(run, "failed")
        elif restored + worked >= WORK_S:
            self.record.line(f"gang {key[0]} run {key[1]} is done")
            for its_worker, member, _ in members:
                its_worker.end(member, "done")


standin.Site = Site


async def play(site):
    step = {"count": COUNT, "cpu": 2000, "estimate_ms": 4000, "gang": True,
            "checkpointing": True, "anti_affinity": 1}
    job = await site.post(site.entries[0], [step],
                          f"work_s={WORK_S} cpu=2000 checkpoints=1 gang={COUNT}")
    for _ in range(25):
        await asyncio.sleep(1)
        status, state = await site.state(site.entries[1], job)
        if state in ("completed", "failed"):
            break
    calm = standin.BOUNDS["contact_ms"] / 1000
    late = [end for end in site.alone
            if site.failed_at is None or end[0] - site.failed_at > calm]
    if late:
        return (f"GANG: {len(late)} runs ended alone, the last "
                f"{late[-1][0] - (site.failed_at or 0):.1f} s after the failure; in "
                f"{len(set(site.mixed))} runs all {COUNT} members were present, with different "
                f"checkpoints; the job is {state}")
    return None


standin.run_case(FOLDER, play, entries=3, workers=9)
