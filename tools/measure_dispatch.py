"""Measures waits for a slot and work done in time, with real processes, beside one shared queue.

    python3 tools/measure_dispatch.py [--seconds 20] [--seeds 1,2,3] [scene ...]

Scenes: even90, uneven90 (two entry hosts get three times the load), burst, burst_kill (the dispatching entry host is
killed in the burst). One pool of 10 hosts with 8 slots, exponential service of 50 ms, four availability zones with two
entry hosts each. The shared queue is one entry host in one zone over the same hosts, slots, service times and arrivals.
"""

import argparse
import json
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import fleet  # noqa: E402

HOSTS = 10
SLOTS = 8 * HOSTS
SERVICE_TIME = 0.05
DEADLINE = "1s"


def make_note(zones):
    """One service on one pool of ten hosts over the zones; the spare pool has no hosts."""
    added = [{"kind": "pool", "name": "main", "min_hosts": 0, "buffer_hosts": 0, "host_hour_cost": 1.0, "spare": False},
             {"kind": "pool", "name": "spare", "min_hosts": 0, "buffer_hosts": 0, "host_hour_cost": 1.0, "spare": True},
             {"kind": "service", "name": "main", "pool": "main", "slo": 0.999, "latency_target_ms": 1000,
              "request_timeout_ms": 2000}]
    for number in range(HOSTS):
        zone = f"zone{number % zones}"
        added.append({"kind": "host", "name": f"host{number}", "availability_zone": zone, "rack": f"{zone}-r{number}",
                      "address": f"127.{fleet.NET}.100.1:{20000 + number}", "initial_pool": "main"})
    return {"id": "first", "base_epoch": 0, "author": "measure", "reason": "first", "added": added, "changed": [],
            "withdrawn": []}


def start(directory, zones, entries_per_zone):
    running = fleet.Fleet("wales", directory, entries_per_zone=entries_per_zone, service_time="50ms")
    note = make_note(zones)
    running.preset = lambda: note
    running.start()
    time.sleep(1.0)
    return running


def dispatching_entry(running):
    """The entry host that dispatches most requests: the one with the most processor time on its dispatch thread."""
    return max(running.entries, key=lambda entry: running.status(entry)["dispatch_cpu_seconds"])


def run(scene, zones, entries_per_zone, seconds, seed):
    """One run of a scene; returns the load tool's totals."""
    with tempfile.TemporaryDirectory() as directory:
        running = start(directory, zones, entries_per_zone)
        with running:
            rate = 0.9 * SLOTS / SERVICE_TIME
            flags = {"duration": f"{seconds}s", "warm_up": "2s", "deadline": DEADLINE, "seed": seed}
            weights = {}
            if scene == "uneven90" and len(running.entries) > 1:
                weights = {running.entries[0].id: 3, running.entries[1].id: 3}
            if scene.startswith("burst"):
                rate = 0.3 * SLOTS / SERVICE_TIME
                flags["burst"] = f"main=5@4s+{seconds // 2}s"
            running.start_load(scene, {"main": rate}, weights=weights, **flags)
            if scene == "burst_kill" and len(running.entries) > 1:
                time.sleep(6.0)
                victim = dispatching_entry(running)
                running.kill(victim.id)
                running.processes.pop(victim.id)
            result = running.finish_load(scene)["all"]
            audit = running.audit([scene])
            result.update({key: audit[key] for key in ("doubled", "false_not_run", "wrong_answers", "max_in_progress")})
            return result


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--seeds", default="1")
    parser.add_argument("scenes", nargs="*")
    arguments = parser.parse_args()
    scenes = arguments.scenes or ["even90", "uneven90", "burst", "burst_kill"]
    columns = ("total", "completed", "not_run", "may_have_run", "lost", "wait_p50_ms", "wait_p99_ms", "latency_p99_ms",
               "refusal_p99_ms", "max_in_progress", "doubled", "false_not_run", "wrong_answers")
    for seed in (int(text) for text in arguments.seeds.split(",")):
        for scene in scenes:
            results = {}
            for name, zones, entries in (("shared queue", 1, 1), ("lacewingquay", 4, 2)):
                results[name] = run(scene, zones, entries, arguments.seconds, seed)
                print(f"seed {seed} {scene:12} {name:12} "
                      + ", ".join(f"{key} {results[name][key]:.4g}" for key in columns), flush=True)
            shared, ours = results["shared queue"], results["lacewingquay"]
            print(f"  wait p99 ratio {ours['wait_p99_ms'] / max(0.001, shared['wait_p99_ms']):.2f}, completed ratio "
                  f"{ours['completed'] / max(1, shared['completed']):.3f}", flush=True)


if __name__ == "__main__":
    main()
