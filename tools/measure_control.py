"""Measures what control costs an entry host as hosts, pools, entry hosts and changes grow.

    python3 tools/measure_control.py [--seconds 20] [--json FILE] [series ...]

Series: hosts, pools, entries, changes, moves. Each point starts the platform stand-in and entry hosts in six
availability zones without backend servers or load, waits until all are ready, and reads processor time, memory and bytes
from the status pages before and after the measured time. Prints each point and the slope by least squares.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import fleet  # noqa: E402

ZONES = 6
BASE = {"hosts": 48, "pools": 5, "entries": 6, "changes": 0, "moves": 0}
POINTS = {
    "hosts": [48, 240, 480, 960],
    "pools": [5, 12, 24, 36],
    "entries": [6, 12, 24, 48],
    "changes": [0, 6, 12, 24],
    "moves": [0, 6, 12, 24],
}
UNITS = {"hosts": "host", "pools": "pool", "entries": "entry host", "changes": "change a minute",
         "moves": "move a minute"}


def make_note(hosts, pools):
    """A first release note with the given numbers of hosts and pools over six zones."""
    added = []
    settings = {"kind": "settings", "weights": {"move": 1, "buffer_host_hour": 1, "missed_request": 1},
                "veto_window_ms": 1000}
    for number in range(pools):
        added.append({"kind": "pool", "name": f"pool{number}", "min_hosts": 0, "buffer_hosts": 0,
                      "host_hour_cost": 1.0, "spare": number == 0})
        added.append({"kind": "service", "name": f"service{number}", "pool": f"pool{number}", "slo": 0.999})
    for number in range(hosts):
        zone = number % ZONES
        added.append({"kind": "host", "name": f"host{number}", "availability_zone": f"zone{zone}",
                      "rack": f"zone{zone}-rack{number // (4 * ZONES)}",
                      "address": f"127.3.{number // 200}.{number % 200 + 1}:8000",
                      "initial_pool": f"pool{(number // ZONES) % pools}"})
    return {"id": "first", "base_epoch": 0, "author": "measure", "reason": "first", "added": added,
            "changed": [settings], "withdrawn": []}


def change_note(number, epoch):
    """A small change: another buffer for one pool."""
    return {"id": f"change-{number}", "base_epoch": epoch, "author": "measure", "reason": "buffer",
            "added": [], "withdrawn": [],
            "changed": [{"kind": "pool", "name": "pool1", "min_hosts": 0, "buffer_hosts": number % 5,
                         "host_hour_cost": 1.0, "spare": False}]}


class Run:
    """One point: a fleet without backend servers."""

    def __init__(self, directory, sizes):
        self.sizes = sizes
        self.fleet = fleet.Fleet("finland", directory, entries_per_zone=max(1, sizes["entries"] // ZONES))

    def start(self):
        running = self.fleet
        running.start_platform()
        note = make_note(self.sizes["hosts"], self.sizes["pools"])
        path = running.directory / "first.json"
        path.write_text(json.dumps(note))
        for entry in note["added"]:
            if entry["kind"] == "host":
                running.hosts[entry["name"]] = entry
        running.plan_entries()
        running.note("propose", str(path))
        running.note("accept", "first")
        for entry in running.entries:
            running.start_entry(entry)
        running.wait_ready(timeout=60.0)

    def sample(self):
        return {entry.id: self.fleet.status(entry) for entry in self.fleet.entries}

    def measure(self, seconds):
        """Spends the measured time, with changes and moves spread evenly; returns means over entry hosts."""
        before, start = self.sample(), time.monotonic()
        epoch = 1
        total = int(self.sizes["changes"] * seconds / 60)
        moves = int(self.sizes["moves"] * seconds / 60)
        events = sorted([(seconds * (i + 0.5) / total, "change") for i in range(total)]
                        + [(seconds * (i + 0.5) / moves, "move") for i in range(moves)])
        for number, (due, kind) in enumerate(events):
            time.sleep(max(0.0, start + due - time.monotonic()))
            if kind == "change":
                path = self.fleet.directory / "change.json"
                path.write_text(json.dumps(change_note(number, epoch)))
                self.fleet.note("propose", str(path))
                self.fleet.note("accept", f"change-{number}")
                epoch += 1
            else:
                host = f"host{number}"
                self.fleet.run("host", "move", host, "--to", "pool2", "--platform", fleet.PLATFORM)
        time.sleep(max(0.0, start + seconds - time.monotonic()))
        after, elapsed = self.sample(), time.monotonic() - start
        return self.summarize(before, after, elapsed)

    @staticmethod
    def summarize(before, after, elapsed):
        def per_second(*fields):
            return [sum(after[key][field] - before[key][field] for field in fields) / elapsed for key in after]

        control = per_second("control_cpu_seconds")
        dispatch = per_second("dispatch_cpu_seconds")
        peer = per_second("peer_bytes_sent", "peer_bytes_received")
        platform = per_second("platform_bytes_sent", "platform_bytes_received")
        requests = per_second("platform_requests")
        memory = [status["resident_bytes"] for status in after.values()]
        mean = lambda values: sum(values) / len(values)  # noqa: E731
        return {"control_cpu_percent": 100 * mean(control), "control_cpu_percent_max": 100 * max(control),
                "dispatch_cpu_percent": 100 * mean(dispatch), "peer_kb_s": mean(peer) / 1000,
                "platform_kb_s": mean(platform) / 1000,
                "total_kb_s_max": max(a + b for a, b in zip(peer, platform)) / 1000,
                "platform_requests_s": mean(requests), "memory_mb": mean(memory) / 1e6,
                "memory_mb_max": max(memory) / 1e6}


def slope(points, measure):
    """Least-squares slope and value at zero of a measure over the points."""
    xs = [float(x) for x, _ in points]
    ys = [values[measure] for _, values in points]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    gradient = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / spread
    return gradient, mean_y - gradient * mean_x


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--json", default="")
    parser.add_argument("series", nargs="*", default=list(POINTS))
    arguments = parser.parse_args()
    results = {}
    for series in arguments.series or list(POINTS):
        results[series] = []
        for point in POINTS[series]:
            sizes = dict(BASE, **{series: point})
            with tempfile.TemporaryDirectory() as directory:
                run = Run(directory, sizes)
                with run.fleet:
                    run.start()
                    time.sleep(3.0)
                    values = run.measure(arguments.seconds)
            results[series].append((point, values))
            print(f"{series}={point}: " + ", ".join(f"{key} {value:.3f}" for key, value in values.items()),
                  flush=True)
        for measure in ("control_cpu_percent", "peer_kb_s", "platform_kb_s", "memory_mb", "platform_requests_s"):
            gradient, base = slope(results[series], measure)
            print(f"  {measure}: {base:.4f} + {gradient:.6f} per {UNITS[series]}", flush=True)
    if arguments.json:
        pathlib.Path(arguments.json).write_text(json.dumps(results, indent=1))


if __name__ == "__main__":
    main()
