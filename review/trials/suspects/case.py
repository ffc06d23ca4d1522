"""A minion with ten new long-running jobs is lost for good: each of them has to be at work again within 10 s."""
import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))
import standins  # noqa: E402

MINIONS = int(os.environ.get("MINIONS", "3"))
JOBS = 10
# From 6 s after its last run, if the 3 s without a run and the 4 s before them are calm; calm begins 3 s after the crash.
LONGEST_S = 10.0


async def play(trouble):
    stage = standins.Deployment(hosts=3, minions=MINIONS, jobs=lambda task: (1000, 3600.0), cpu=16000)
    record, starts, broken = stage.record, {}, []
    for minion in stage.minions:
        minion.on_start = lambda _minion, task, _run, _body: starts.setdefault(task, []).append(record.now())
    try:
        await stage.start([stage.route("desk", "/desk/")])
        for number in range(JOBS):
            await stage.ask(0, "POST", f"/desk/{0x5c0e7a2400000000 + number:016x}", {"spec": "x", "steps": [
                {"count": 1, "cpu": 1000, "mem-mb": 64, "est-duration-ms": 1000, "long-running": True, "may-miss": 1}]})
        while len(starts) < JOBS:
            await asyncio.sleep(0.05)
        await asyncio.sleep(1.0)
        if trouble:
            lost = max(stage.minions, key=lambda minion: len(minion.running))
            crashed = record.now()
            await lost.crash()
            await asyncio.sleep(4.5)
            stage.store.operator_remove("servers", lost.id)
            await asyncio.sleep(30.0)
            waits = sorted(round(times[-1] - crashed, 1) for times in starts.values() if len(times) > 1)
            record.add(f"seconds from the crash to the next start: {waits}")
            broken = [f"LOST: a long-running task had no run for {wait} s" for wait in waits if wait > LONGEST_S]
        return stage, broken
    finally:
        await stage.end()


standins.run_case(play, FOLDER)
