"""A burst of large jobs: the jobs that were accepted beside them still have to run."""
import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

TRAFFIC_S = 24.0
BURST_AT_S = 8.0
LARGE_JOBS = 3
LARGE_TASKS = 1000
LARGE_CPU = 30
LARGE_S = 60.0
SMALL_CPU = 1000
SMALL_S = 0.5
FINISH_S = 14.0
WATCH_S = 3.0


async def play(trouble):
    large = set()

    def length(task):
        return (LARGE_CPU, LARGE_S) if task.split(".")[0] in large else (SMALL_CPU, SMALL_S)

    stage = standins.Deployment(hosts=3, minions=9, services=("desk",), jobs=length)
    record, broken, jobs, states = stage.record, [], [], {}

    async def hand_in(name, steps):
        """Hands a job in as a caller does: again after no answer, 502 or 504; later if it was refused."""
        for attempt in range(5):
            answer = await stage.ask(random.randrange(3), "POST", "/desk/" + name, {"spec": "spec " + name, "steps": steps})
            record.add(f"POST {name} ({steps[0]['count']} tasks): {answer}")
            if answer and answer[0] == 200:
                jobs.append(name)
                return
            await asyncio.sleep(0.5)

    async def ask(name):
        answer = await stage.ask(random.randrange(3), "GET", "/desk/" + name)
        state = answer[1].get("state") if answer and answer[0] == 200 else None
        if state and states.get(name) != state:
            record.add(f"GET {name}: {state}")
            states[name] = state

    try:
        await stage.start([stage.route("desk", "/desk/")])
        calls, begin, number, burst = [], time.monotonic(), 0, False
        while time.monotonic() - begin < TRAFFIC_S:
            number += 1
            calls.append(asyncio.create_task(hand_in(f"{0x5c0e7a2100000000 + number:016x}", [
                {"count": 2, "cpu": SMALL_CPU, "mem-mb": 64, "est-duration-ms": 500}])))
            if trouble and not burst and time.monotonic() - begin >= BURST_AT_S:
                burst = True
                for index in range(LARGE_JOBS):
                    name = f"{0xb160000000000000 + index:016x}"
                    large.add(name)
                    calls.append(asyncio.create_task(hand_in(name, [
                        {"count": LARGE_TASKS, "cpu": LARGE_CPU, "mem-mb": 16, "est-duration-ms": int(LARGE_S * 1000)}])))
            await asyncio.sleep(0.4)
        await asyncio.gather(*calls)
        record.add(f"the traffic has ended; {len(jobs)} jobs were accepted, {len(large & set(jobs))} of them large")
        await asyncio.sleep(FINISH_S)
        await asyncio.gather(*(ask(name) for name in jobs))
        waiting = {name for name in jobs if states.get(name) not in ("completed", "failed", "cancelled")}
        most_used, until = 0, time.monotonic() + WATCH_S
        while time.monotonic() < until:
            most_used = max(most_used, sum(each.used for each in stage.minions))
            waiting -= {task.split(".")[0] for each in stage.minions for task in each.running}
            await asyncio.sleep(0.02)
        room = sum(each.cpu for each in stage.minions)
        record.add(f"{len(waiting)} accepted jobs have had nothing running for {WATCH_S} s; at most {most_used} of "
                   f"{room} in use")
        if most_used * 2 < room:
            broken += [f"LOST: job {name} was accepted, and nothing of it runs {FINISH_S} s after the end of the traffic "
                       f"(state {states.get(name)})" for name in sorted(waiting)]
        return stage, broken
    finally:
        lines = [line for line in stage.logs().splitlines() if "commit_refused" in line or '"takeover"' in line]
        record.add(f"log   {len(lines)} refused commits and takeovers; the first and the last:")
        for line in lines[:6] + lines[-6:]:
            record.add("log   " + line[:250])
        await stage.end()


standins.run_case(play, FOLDER)
