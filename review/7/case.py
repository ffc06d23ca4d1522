"""The owner's zone is cut off, is back for a moment, and is cut off again: the former owner extends leases once more."""
import asyncio
import base64
import json
import logging
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import deployment2 as d  # pylint: disable=wrong-import-position

ZONES = ["fi-south-a", "fi-south-b", "fi-south-c"]
# Cuts of the owner's zone, and the time between them. The site's longest cut of a zone is 6.3 s.
FIRST_S, BACK_S, SECOND_S = 5.0, 0.4, 6.3
ATTEMPTS, TIME_S = 8, 85.0
# Connections that are cut off when the case ends are of no interest.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)


class Path:
    """What lies between one host and one address that it calls. While it is cut, bytes are lost: a connection that is
    under way stays silent for good, and one that is opened comes about when its first packet is sent again."""

    def __init__(self, is_cut, target):
        self.is_cut, self.target = is_cut, target

    async def open(self, ip, port):
        await asyncio.start_server(self.serve, ip, port)

    async def serve(self, reader, writer):
        try:
            await self.connect(reader, writer)
        except asyncio.CancelledError:
            pass

    async def connect(self, reader, writer):
        opened = time.monotonic()
        for again in (0.0, 1.0, 3.0, 7.0):
            await asyncio.sleep(max(0.0, opened + again - time.monotonic()))
            if not self.is_cut() and not writer.transport.is_closing():
                break
        else:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self.pump(reader, far_writer), self.pump(far_reader, writer))

    async def pump(self, reader, writer):
        silent = False
        try:
            while True:
                data = await reader.read(65536)
                silent = silent or self.is_cut()
                if not data:
                    break
                if not silent:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        if not silent:
            writer.transport.abort()


class Zones(d.World):
    """Each zone has a host and two minions. Each host reaches the store, minions and other hosts by paths of its own."""

    cut = None

    def zone_of_host(self, number):
        return ZONES[number]

    def store_of_host(self, number):
        return f"{self.ip(30 + number)}:{d.PLATFORM}"

    def cloud_of_host(self, number):
        return f"{self.ip(40 + number)}:{d.PLATFORM}"

    async def prepare(self):
        for number, minion in enumerate(self.minions):
            minion.zone = ZONES[number % len(ZONES)]
        for host, zone in enumerate(ZONES):
            at_store = d.Listener(self.view(host), 0.004)
            await at_store.open(self.ip(50 + host), d.PLATFORM)
            outside = self.between(zone, None)
            await Path(outside, (self.ip(50 + host), d.PLATFORM)).open(self.ip(30 + host), d.PLATFORM)
            await Path(outside, (self.ip(201), d.PLATFORM)).open(self.ip(40 + host), d.PLATFORM)
            for number, minion in enumerate(self.minions):
                await Path(self.between(zone, minion.zone), (minion.ip, d.MINION)).open(self.ip(60 + host), 9000 + number)
            for other, far in enumerate(ZONES):
                await Path(self.between(zone, far), (self.ip(10 + other), d.READINESS)).open(self.ip(60 + host),
                                                                                             9100 + other)

    def between(self, zone, other):
        return lambda: self.cut is not None and zone != other and self.cut in (zone, other)

    def view(self, host):
        """The store's answers for a host, with the addresses of its paths."""
        async def answer(method, target, headers, body):
            status, result = await self.store.answer(method, target, headers, body)
            rows = [self.seen(host, row) for row in result.get("rows", [])]
            return status, {**result, "rows": rows} if "rows" in result else result
        return answer

    def seen(self, host, row):
        if "value" not in row:
            return row
        if row["table"] == "servers":
            value = json.loads(base64.b64decode(row["value"]))
            number = [minion.ip for minion in self.minions].index(value["address"].split(":")[0])
            value["address"] = f"{self.ip(60 + host)}:{9000 + number}"
        elif row["table"] == "owner" and row["key"].startswith("host/"):
            value = json.loads(base64.b64decode(row["value"]))
            number = [self.ip(10 + each) for each in range(self.hosts)].index(value["readiness"].split(":")[0])
            value["readiness"] = f"{self.ip(60 + host)}:{9100 + number}"
        else:
            return row
        return {**row, "value": base64.b64encode(json.dumps(value).encode()).decode()}

    def set_cut(self, zone):
        self.note("zone cut" if zone else "zone back", zone or self.cut)
        self.cut = zone
        for minion in self.minions:
            minion.connected = minion.zone != zone


async def attempt(world, trouble):
    zone = world.owner()[len("edge-"):-2]
    name = await world.submit("certdesk", [{"count": 2, "cpu": 1000, "mem-mb": 256, "est-duration-ms": 1000,
                                            "long-running": True, "may-miss": 1, "data-rack": "rack-" + zone}])
    for index in range(2):
        if await world.wait_for_run(f"{name}.0.0.{index}") is None:
            raise RuntimeError("a task does not start")
    await asyncio.sleep(random.uniform(1, 2))
    for cut, length in ((zone, FIRST_S), (None, BACK_S), (zone, 0.0)):
        if trouble:
            world.set_cut(cut)
        await asyncio.sleep(length)
    # The second cut; shorter if the runs have lapsed, as none can be at work twice then.
    until = time.monotonic() + SECOND_S
    runs = [run for run in world.runs if run["task"].startswith(name)]
    while time.monotonic() < until and any(run["to"] is None for run in runs):
        await asyncio.sleep(0.05)
    if trouble:
        world.set_cut(None)
    await asyncio.sleep(1.5)
    breaches = [f"TWICE: {first['task']} run {first['run']} on {first['minion'].id} and run {second['run']} on "
                f"{second['minion'].id} are both at work for {end - begin:.3f} s"
                for first, second, begin, end in d.overlaps(world.runs)]
    for host in range(world.hosts):
        if (await world.call(host, "DELETE", world.jobs[name]["path"]))[0] == 200:
            break
    await asyncio.sleep(1.5)
    return breaches


async def play(world, trouble):
    begun = time.monotonic()
    for _ in range(ATTEMPTS):
        if time.monotonic() - begun > TIME_S:
            break
        breaches = await attempt(world, trouble)
        if breaches:
            return breaches
    return []


d.run(__file__, play, ["certdesk"], [("certdesk", 8000, "rack-" + ZONES[number % 3]) for number in range(6)],
      world_type=Zones)
