#!/usr/bin/env python3
"""Fault soak: real daemons as processes, faults from outside them, and a check of what callers and servers see.

    soak.py [--seed N] [--seeds COUNT] [--regressions] [--restarts] [--seconds S] [--hosts N] [--servers N]
            [--parallel N] [--logs DIR]

Plays one run a seed: callers hand in, ask for and cancel jobs through random entry hosts while processes are killed,
paused, stopped and told to reload, and their calls to the store and to backend servers are disturbed. Faults come in
series and overlap. A calm phase follows, after which every accepted job has to be finished. Prints each breach.
With --restarts, the faults are servers that restart under their ids and are cut off soon after, while tasks that last
start there.
"""
import argparse
import asyncio
import concurrent.futures
import json
import os
import pathlib
import random
import signal
import sys
import tempfile
import time

import standin

ROOT = pathlib.Path(__file__).resolve().parents[2]
PROGRAM = pathlib.Path(os.environ.get("LACEWINGQUAY_PROGRAM", ROOT / "build" / "lacewingquay"))
QUEUES = {"/batch/": "pool-a", "/orders/": "pool-b"}
CALL_HOST = "quay.example"
# Bounds of the users' pages, in seconds.
FINISH = 14.0
VISIBLE = 3.0
GRACE = 6.0
HEARTBEAT = 1.5


# Each process and stand-in of a run has an address of its own, so the ports can be fixed. They lie below the range from
# which the kernel takes the ports of outgoing connections.
PORT, READY_PORT, STORE_PORT = 7001, 7002, 7003


def run_address(seed, number):
    """Address of a run; runs with other seeds use other addresses, as each daemon serves metrics at one port."""
    return f"127.{1 + seed // 250 % 250}.{seed % 250}.{number}"


class Checks:
    """What backend servers saw and callers were told, and what of it must not be."""

    def __init__(self):
        self.servers, self.jobs, self.breaches = [], {}, []
        self.done, self.noted_done, self.starts = {}, set(), 0

    def breach(self, rule, text):
        self.breaches.append(f"{rule}: {text}")

    def step(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["steps"][int(step)] if job in self.jobs else {"cpu": 0, "ms": 0, "count": 0}

    def cpu(self, task):
        return self.step(task)["cpu"]

    def duration(self, task):
        return self.step(task)["ms"] / 1000

    def booked(self, server):
        return sum(self.cpu(task) for task in server.running)

    def started(self, server, run, body):
        self.starts += 1
        job, _, step, _ = run.task.split(".")
        if job not in self.jobs or body["spec"] != self.jobs[job]["spec"]:
            return self.breach("UNASKED", f"{run.task} on {server.id}")
        if self.jobs[job]["refused"]:
            self.breach("REFUSED", f"{run.task} was refused and starts")
        for other in self.servers:
            if other is not server:
                other.advance()
                if run.task in other.running:
                    self.breach("TWICE", f"{run.task} run {run.number} on {server.id}, run "
                                         f"{other.running[run.task].number} on {other.id}")
        if run.task in self.noted_done:
            self.breach("TWICE", f"{run.task} run {run.number} starts after a noted end as done")
        for earlier in self.jobs[job]["steps"][int(step)].get("after", []):
            for index in range(self.jobs[job]["steps"][earlier]["count"]):
                if f"{job}.0.{earlier}.{index}" not in self.done:
                    self.breach("ORDER", f"{run.task} starts before step {earlier} is done")

    def ended(self, server, run, how):
        if how == "done":
            self.done[run.task] = (server.id, server.born)

    def noted(self, server, end):
        if end[3] == "done" and self.done.get(end[1]) == (server.id, server.born):
            self.noted_done.add(end[1])

    def shown(self, job, state):
        if state == "completed":
            for number, step in enumerate(self.jobs[job]["steps"]):
                for index in range(step["count"]):
                    if f"{job}.0.{number}.{index}" not in self.done:
                        self.breach("MIXED", f"{job} is shown as completed before step {number} task {index} is done")


class EntryHost:
    """One daemon as a process of its own, with its own way to the store."""

    def __init__(self, number, seed, store, folder):
        self.name, self.ip = f"host-{number}", run_address(seed, number + 1)
        self.folder, self.process, self.paused = folder, None, False
        # Two faults at once must not start two processes.
        self.restarting = asyncio.Lock()
        self.store = standin.Connection(store.answer)

    async def start(self):
        if not hasattr(self.store, "server"):
            await self.store.listen(self.ip, STORE_PORT)
        settings = self.folder / f"{self.name}.json"
        settings.write_text(json.dumps({
            "node": self.name, "zone": "z1", "listen": {"front": f"{self.ip}:{PORT}",
                                                        "readiness": f"{self.ip}:{READY_PORT}"},
            "limits": {"cpu-share": 0.25, "cores": 1, "link-mbps": 1000},
            "platform": {"address": f"{self.ip}:{STORE_PORT}"},
            "bounds": {"grace-s": GRACE, "max-hold-ms": 10000, "status_s": 120, "lease-ms": 3000}}))
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                str(PROGRAM), "manage", stdout=log, stderr=log,
                env={**os.environ, "LACEWINGQUAY_SETTINGS": str(settings)})
        self.paused = False

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number):
        self.signal(number)
        if self.paused:
            self.signal(signal.SIGCONT)
        try:
            await asyncio.wait_for(self.process.wait(), GRACE + 1)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    async def call(self, method, path, body=None, patience=3.0):
        """The status and body of an answer, or nothing."""
        async def exchange():
            reader, writer = await asyncio.open_connection(self.ip, PORT)
            try:
                data = json.dumps(body).encode() if body else b""
                writer.write(f"{method} {path} HTTP/1.1\r\nhost: {CALL_HOST}\r\ndeadline-ms: {int(patience * 1000)}\r\n"
                             f"connection: close\r\ncontent-length: {len(data)}\r\n\r\n".encode() + data)
                answer = await reader.read(65536)
                head, _, rest = answer.partition(b"\r\n\r\n")
                return int(head.split(b" ")[1]), json.loads(rest or b"{}")
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(exchange(), patience)
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            return None


class Soak:
    def __init__(self, seed, options, folder):
        self.random, self.options, self.folder = random.Random(seed), options, folder
        self.checks, self.store = Checks(), standin.Store()
        self.hosts = [EntryHost(number, seed, self.store, folder) for number in range(options.hosts)]
        self.servers = [standin.BackendServer(number, list(QUEUES.values())[number % 2], run_address(seed, 100 + number),
                                              self.checks, seed * 1000 + number) for number in range(options.servers)]
        self.checks.servers = self.servers
        self.lives = 0
        self.faults = []

    async def heartbeats(self):
        while True:
            for server in self.servers:
                server.advance()
                if server.connection.mode != "silent" and time.monotonic() >= server.quiet_until:
                    self.store.write("servers", "", server.id, server.registration())
            await asyncio.sleep(HEARTBEAT / 3)

    async def caller(self, number, until):
        chance = random.Random(self.random.random())
        await asyncio.sleep(chance.uniform(0, 0.5))
        while time.monotonic() < until:
            await self.hand_in(chance)
            await asyncio.sleep(chance.uniform(0.2, 1.2))

    async def hand_in(self, chance):
        prefix = chance.choice(list(QUEUES))
        name = f"{chance.getrandbits(64):016x}"
        steps = [{"count": chance.randint(1, 4), "cpu": chance.choice([500, 1000, 2000]), "ms": chance.randint(100, 900)}
                 for _ in range(chance.randint(1, 3))]
        for index, step in enumerate(steps[1:]):
            step["after"] = [index]
        job = {"steps": steps, "spec": "spec " + name, "path": prefix + name, "refused": False, "state": None}
        self.checks.jobs[name] = job
        body = {"spec": job["spec"], "steps": [
            {"cpu": step["cpu"], "mem-mb": 64, "count": step["count"], "est-duration-ms": step["ms"],
             **({"after": step["after"]} if "after" in step else {})} for step in steps]}
        answers = []
        for _ in range(4):
            answer = await chance.choice(self.hosts).call("POST", job["path"], body)
            answers.append(answer[0] if answer else None)
            if answers[-1] == 200:
                break
            await asyncio.sleep(chance.uniform(0.1, 0.6))
        job["accepted"] = answers[-1] == 200
        job["refused"] = all(answer in (404, 429, 503) for answer in answers)
        job["accepted_at"] = time.monotonic()
        if job["accepted"] and chance.random() < 0.15:
            answer = await chance.choice(self.hosts).call("DELETE", job["path"])
            job["cancel"] = True
            job["cancelled"] = bool(answer and answer[0] == 200)
        if job["accepted"] and chance.random() < 0.5:
            await self.ask(name, chance.choice(self.hosts))

    async def ask(self, name, host):
        job = self.checks.jobs[name]
        asked = time.monotonic()
        answer = await host.call("GET", job["path"])
        if not answer:
            return None
        if answer[0] == 410 and asked - job["accepted_at"] > VISIBLE and not job.get("cancel"):
            self.checks.breach("LOST", f"{name} is unknown at {host.name}")
        state = answer[1].get("state") if answer[0] == 200 else None
        if state:
            self.checks.shown(name, state)
            if state == "cancelled" and not job.get("cancel"):
                self.checks.breach("LOST", f"{name} is shown as cancelled, and nobody cancelled it")
        return state

    async def fault(self):
        """One fault at a random place, undone after a random time."""
        chance = self.random
        host, server = chance.choice(self.hosts), chance.choice(self.servers)
        kind = chance.choice(["kill", "kill", "pause", "stop", "reload", "store", "store", "store_all", "crash", "cut",
                              "late", "fail", "reset"])
        length = chance.uniform(0.3, 5.0)
        mode = chance.choice(["delay", "reset", "silent", "lost", "busy"])
        where = server.id if kind in ("crash", "cut", "late", "fail", "reset") else host.name
        self.faults.append(f"{time.monotonic() - self.begin:.2f} {kind} {where} {mode} {length:.1f}")
        if kind in ("kill", "stop"):
            async with host.restarting:
                await host.end(signal.SIGKILL if kind == "kill" else signal.SIGTERM)
                await asyncio.sleep(chance.uniform(0.1, 1.0))
                await host.start()
        elif kind == "pause":
            host.paused = True
            host.signal(signal.SIGSTOP)
            await asyncio.sleep(length)
            host.signal(signal.SIGCONT)
        elif kind == "reload":
            host.signal(signal.SIGHUP)
        elif kind in ("store", "store_all"):
            touched = self.hosts if kind == "store_all" else [host]
            for each in touched:
                each.store.mode, each.store.delay = mode, chance.uniform(0.05, 0.4)
            await asyncio.sleep(length)
            for each in touched:
                each.store.mode = "ok"
        elif kind == "crash":
            for run in list(server.running.values()):
                server.end(run, "lost")
            if chance.random() < 0.5:
                self.store.remove("servers", "", server.id)
                self.lives += 1
                server.id = f"i-{1000 + self.lives:04d}"
            server.begin_life()
        elif kind in ("cut", "reset"):
            server.connection.mode = "silent" if kind == "cut" else "reset"
            await asyncio.sleep(length)
            server.connection.mode = "ok"
        elif kind == "late":
            server.late_share = 0.5
            await asyncio.sleep(length)
            server.late_share = 0.0
        else:
            server.fail_share = 0.3
            await asyncio.sleep(length)
            server.fail_share = 0.0

    async def hand_in_lasting(self, server):
        """Hands in a job of tasks that last, whose data is in the rack of the server."""
        name = f"{self.random.getrandbits(64):016x}"
        prefix = next(prefix for prefix, pool in QUEUES.items() if pool == server.pool)
        # Longer than any run of the soak.
        job = {"steps": [{"count": 3, "cpu": 500, "ms": 3_600_000}], "spec": "spec " + name, "path": prefix + name,
               "refused": False, "state": None, "accepted": False, "accepted_at": time.monotonic()}
        self.checks.jobs[name] = job
        body = {"spec": job["spec"], "steps": [{"cpu": 500, "mem-mb": 64, "count": 3, "est-duration-ms": 1000,
                                                "long-running": True, "may-miss": 1, "data-rack": server.rack}]}
        for host in self.random.sample(self.hosts, len(self.hosts)):
            answer = await host.call("POST", job["path"], body)
            if answer and answer[0] == 200:
                job["accepted"], job["accepted_at"] = True, time.monotonic()
                return
            await asyncio.sleep(0.2)

    async def restart_and_cut(self, server):
        chance = self.random
        quiet, cut = chance.uniform(0.1, 1.5), chance.uniform(0.1, 2.0)
        handover = chance.choice([None, None, signal.SIGTERM, signal.SIGKILL])
        self.faults.append(f"{time.monotonic() - self.begin:.2f} restart {server.id} registers after {quiet:.1f}, "
                           f"cut after {cut:.1f}, owner {handover}")
        for run in list(server.running.values()):
            server.end(run, "lost")
        server.quiet_until = time.monotonic() + quiet
        server.begin_life()
        submitted = asyncio.create_task(self.hand_in_lasting(server))
        await asyncio.sleep(cut)
        server.connection.mode = "silent"
        row = self.store.rows.get(("owner", "q", "owner"))
        owner = json.loads(row[0])["host"] if row else None
        host = next((host for host in self.hosts if host.name == owner), None)
        if handover and host:
            async with host.restarting:
                await host.end(handover)
                await host.start()
        await asyncio.sleep(12.0)
        server.connection.mode = "ok"
        await submitted

    async def play_restarts(self):
        """Restarts one server after the other; each is cut off for longer than its longest lease."""
        await asyncio.sleep(5.0)
        rounds = []
        for server in self.random.sample(self.servers, len(self.servers) // 2):
            rounds.append(asyncio.create_task(self.restart_and_cut(server)))
            await asyncio.sleep(self.random.uniform(0.5, 4.0))
        await asyncio.gather(*rounds)
        for name, job in self.checks.jobs.items():
            job["cancel"] = True
            while job["accepted"] and await self.ask(name, self.hosts[0]) != "cancelled":
                await self.random.choice(self.hosts).call("DELETE", job["path"])
                await asyncio.sleep(0.2)

    async def play_faults(self):
        until = self.begin + self.options.seconds
        callers = [asyncio.create_task(self.caller(number, until)) for number in range(6)]
        open_faults = []
        while time.monotonic() < until:
            open_faults.append(asyncio.create_task(self.fault()))
            await asyncio.sleep(self.random.choice([0.05, 0.3, 0.8, 2.0]))
        await asyncio.gather(*callers, *open_faults)

    async def play(self):
        for server in self.servers:
            await server.connection.listen(server.ip, standin.SERVER_PORT)
        self.store.write("op", "", "config", {
            "version": 3, "limits": {}, "services": [{"name": pool} for pool in QUEUES.values()],
            "routes": [{"host": CALL_HOST, "prefix": prefix, "service": pool, "stretch": 3, "max-attempts": 50,
                        "target-completion-ms": 30000, "priority": 0} for prefix, pool in QUEUES.items()]})
        beats = asyncio.create_task(self.heartbeats())
        await asyncio.gather(*(host.start() for host in self.hosts))
        await asyncio.sleep(1.5)
        self.begin = time.monotonic()
        await (self.play_restarts() if self.options.restarts else self.play_faults())
        for host in self.hosts:
            if host.process.returncode is not None:
                self.checks.breach("FAULT", f"{host.name} ended by itself with {host.process.returncode}")
                await host.start()
        await self.finish()
        beats.cancel()
        for host in self.hosts:
            await host.end(signal.SIGTERM)
            await host.store.close()
        for server in self.servers:
            await server.connection.close()
        for connection in [host.store for host in self.hosts] + [server.connection for server in self.servers]:
            for failure in connection.failures:
                self.checks.breach("STANDIN", failure)

    async def finish(self):
        """In calm, every accepted job that nobody cancelled is completed, and shown so by every host."""
        deadline = time.monotonic() + FINISH
        left = [name for name, job in self.checks.jobs.items() if job.get("accepted")]
        while left and time.monotonic() < deadline:
            states = await asyncio.gather(*(self.ask(name, self.random.choice(self.hosts)) for name in left))
            left = [name for name, state in zip(left, states)
                    if state != "completed" and not (state == "cancelled" and self.checks.jobs[name].get("cancel"))]
            await asyncio.sleep(0.5)
        for name in left:
            self.checks.breach("LOST", f"{name} is not finished {FINISH} s after the last fault")


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=15)
    parser.add_argument("--hosts", type=int, default=4)
    parser.add_argument("--servers", type=int, default=8)
    parser.add_argument("--regressions", action="store_true", help="play the seeds of regressions.txt")
    parser.add_argument("--restarts", action="store_true", help="restart servers under their ids, and cut them off")
    parser.add_argument("--parallel", type=int, default=1)
    parser.add_argument("--logs", type=pathlib.Path)
    options = parser.parse_args()
    seeds = range(options.seed, options.seed + options.seeds)
    if options.regressions:
        lines = (pathlib.Path(__file__).parent / "regressions.txt").read_text().splitlines()
        seeds = [int(line.split()[0]) for line in lines if line and not line.startswith("#")]
    with concurrent.futures.ProcessPoolExecutor(options.parallel) as pool:
        return 1 if sum(pool.map(play_seed, seeds, [options] * len(seeds))) else 0


def play_seed(seed, options):
    """Plays one seed; true if something was breached."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = options.logs / f"seed-{seed}" if options.logs else pathlib.Path(temporary)
        folder.mkdir(parents=True, exist_ok=True)
        soak = Soak(seed, options, folder)
        try:
            asyncio.run(soak.play())
        finally:
            for host in soak.hosts:
                if host.process and host.process.returncode is None:
                    os.kill(host.process.pid, signal.SIGKILL)
        breaches = soak.checks.breaches
        (folder / "faults.txt").write_text("\n".join(soak.faults + breaches) + "\n")
        accepted = sum(job.get("accepted", False) for job in soak.checks.jobs.values())
        print(f"seed {seed}: {len(soak.checks.jobs)} jobs, {accepted} accepted, {soak.checks.starts} starts, "
              f"{len(soak.faults)} faults, {len(breaches)} breaches", flush=True)
        for breach in breaches[:10]:
            print("  " + breach, flush=True)
        return bool(breaches)


if __name__ == "__main__":
    sys.exit(main())
