"""Minions crash and start again while the store is slow: no task of a gang may run twice at the same time."""
import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))
import standins  # noqa: E402

WINDOWS = 7
WINDOW_S = 4.5
PAUSE_S = 5.0
SLOW = 60.0
CALLERS = 6
TASK_S = 0.3
CPU = 1000
DOWN_S = 0.05
CRASH_EVERY_S = 0.4
GANG_TIMEOUT_S = 3.0


class GangMinion(standins.Minion):
    """A minion whose tasks work from the moment when all tasks of their gang's run are present."""
    gangs = {}
    sizes = {}

    def gang_of(self, task, run):
        job, occurrence, step, _ = task.split(".")
        return self.gangs.setdefault((job, occurrence, step, run), {})

    def is_complete(self, task, run):
        gang = self.gang_of(task, run)
        return len(gang) == self.sizes[task.split(".")[0]] and all(
            name in minion.running and minion.running[name]["run"] == run for name, minion in gang.items())

    def run(self, body):
        task, run = body["task"], body["run"]
        is_new = task not in self.running
        answer = super().run(body)
        if answer[0] == 200 and is_new:
            self.running[task]["timer"].cancel()
            loop = asyncio.get_running_loop()
            gang = self.gang_of(task, run)
            gang[task] = self
            if self.is_complete(task, run):
                for name, minion in gang.items():
                    minion.running[name]["timer"].cancel()
                self.running[task]["timer"] = loop.call_later(TASK_S, self.end_gang, task, run)
            else:
                self.running[task]["timer"] = loop.call_later(GANG_TIMEOUT_S, self.give_up, task, run, self.born)
        return answer

    def give_up(self, task, run, born):
        if born == self.born and task in self.running and self.running[task]["run"] == run:
            super().end(task, "alone")

    def end_gang(self, task, run):
        if self.is_complete(task, run):
            for name, minion in self.gang_of(task, run).items():
                standins.Minion.end(minion, name, "done")

    def break_others(self, task, run):
        gang = self.gang_of(task, run)
        if len(gang) == self.sizes[task.split(".")[0]]:
            for name, minion in gang.items():
                if name in minion.running and minion.running[name]["run"] == run:
                    standins.Minion.end(minion, name, "broken")

    def end(self, task, how):
        run = self.running[task]["run"]
        super().end(task, how)
        self.break_others(task, run)

    async def crash(self):
        lost = [(task, run["run"]) for task, run in self.running.items()]
        await super().crash()
        for task, run in lost:
            self.break_others(task, run)


async def play(trouble):
    stage = standins.Deployment(hosts=3, minions=9, services=("desk",))
    record, broken, begin = stage.record, [], time.monotonic()
    stage.minions = [GangMinion(each.number, each.service, each.ip, each.port, stage.store, record,
                                lambda task: (CPU, 3600.0)) for each in stage.minions]
    chance = random.Random(28)

    def on_start(minion, task, run, _body):
        for other in stage.minions:
            if other is not minion and other.up:
                other.lapse()
                if task in other.running:
                    broken.append(f"TWICE: {task} run {run} starts on {minion.id} while run {other.running[task]['run']} "
                                  f"is on {other.id}")
                    record.add(broken[-1])

    for minion in stage.minions:
        minion.on_start = on_start
    until = 0.0

    async def caller():
        while time.monotonic() < until:
            name, count = f"{chance.getrandbits(64):016x}", chance.randint(2, 5)
            GangMinion.sizes[name] = count
            answer = await stage.ask(chance.randrange(3), "POST", "/desk/" + name, {"spec": "spec " + name, "steps": [
                {"count": count, "cpu": CPU, "mem-mb": 64, "est-duration-ms": int(TASK_S * 1000), "gang": True,
                 "max-per-server": 1}]})
            record.add(f"POST {name} ({count} tasks): {answer}")
            await asyncio.sleep(chance.uniform(0.0, 0.3))

    async def crash_minions():
        """One minion at a time is killed and started again under its id."""
        while time.monotonic() < until:
            minion = chance.choice(stage.minions)
            await minion.crash()
            await asyncio.sleep(DOWN_S)
            await minion.start()
            record.add(f"{minion.id} is back")
            await asyncio.sleep(CRASH_EVERY_S - DOWN_S)

    try:
        await stage.start([stage.route("desk", "/desk/", **{"target-completion-ms": 30000, "max-attempts": 50})])
        until = time.monotonic() + WINDOWS * (WINDOW_S + PAUSE_S)
        tasks = [asyncio.create_task(caller()) for _ in range(CALLERS)]
        if trouble:
            tasks.append(asyncio.create_task(crash_minions()))
        for _ in range(WINDOWS):
            if trouble:
                stage.store.slow = SLOW
                record.add("the store is slow")
            await asyncio.sleep(WINDOW_S)
            stage.store.slow = 1.0
            record.add("the store is well")
            await asyncio.sleep(PAUSE_S)
        await asyncio.gather(*tasks)
        record.add(f"{len(GangMinion.sizes)} jobs, {len(broken)} tasks twice")
        return stage, broken
    finally:
        await stage.end()


standins.run_case(play, FOLDER)
