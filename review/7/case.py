"""Minions crash, one at a time, twice: the job whose task was at work there is given up."""
import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import deployment2 as d  # pylint: disable=wrong-import-position

DOWN_S = 1.0


async def crash_twice(world, task):
    """Twice, the minion at which the task is at work is down for a second, one second after the task's start."""
    number = 1
    for _ in range(2):
        run = await world.wait_for_run(task, number)
        if run is None:
            raise RuntimeError(f"{task} does not start")
        await asyncio.sleep(max(0.0, run["from"] + 1.0 - time.monotonic()))
        minion = run["minion"]
        minion.crash()
        await asyncio.sleep(DOWN_S)
        await minion.start()
        number = run["run"] + 1


async def play(world, trouble):
    breaches = []
    finite = await world.submit("stampline", [{"count": 1, "cpu": 2000, "mem-mb": 512, "est-duration-ms": 4000,
                                               "work-s": 4.0}])
    if trouble:
        await crash_twice(world, f"{finite}.0.0.0")
    await asyncio.sleep(3)
    lasting = await world.submit("stampline", [{"count": 2, "cpu": 2000, "mem-mb": 512, "est-duration-ms": 1000,
                                                "long-running": True, "may-miss": 1, "max-per-server": 1}])
    if trouble:
        await crash_twice(world, f"{lasting}.0.0.0")
    # Calm: 7 s and 10 s more.
    await asyncio.sleep(17)
    for name in (finite, lasting):
        if world.jobs[name]["accepted"] is None:
            raise RuntimeError("a job was not accepted")
        state = await world.state(name)
        failed = [run for run in world.runs if run["task"].startswith(name) and run["how"] == "failed"]
        if state == "failed" and len(failed) < 4:
            breaches.append(f"LOST: job {name} is shown as failed; {len(failed)} runs of it have ended failed, and 4 may")
        elif state not in ("running", "completed"):
            raise RuntimeError(f"state {state}")
    for run in world.runs_of(f"{lasting}.0.0.1"):
        others = [other for other in world.runs_of(f"{lasting}.0.0.0")
                  if other["from"] <= run["to"] and (other["to"] is None or other["to"] > run["to"])] if run["to"] else []
        if run["how"] == "stopped" and not others:
            breaches.append(f"AVAIL: task 1 of the lasting job {lasting} is at work on a sound minion and is stopped, "
                            "while task 0 is away and 1 may be")
    for index in range(2):
        runs = world.runs_of(f"{lasting}.0.0.{index}")
        if all(run["to"] is not None for run in runs):
            away = time.monotonic() - max(run["to"] for run in runs)
            how = max(runs, key=lambda run: run["to"])["how"] or "its minion crashed"
            if away > 9:
                breaches.append(f"LOST: task {index} of the lasting job {lasting}, which nobody cancelled, has not been "
                                f"at work for {away:.1f} s; its last run: {how}")
    return breaches


d.run(__file__, play, ["stampline", "registry-misc"],
      [("stampline", 16000, f"r{number % 2}") for number in range(4)] + [("registry-misc", 16000, "r0")])
