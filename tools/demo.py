"""The path end to end on stand-ins, with kills: `scripts/demo [finland|wales]`."""

import json
import pathlib
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

import fleet  # noqa: E402


def say(text):
    print(text, flush=True)


def print_load(title, result):
    total = result["all"]
    say(f"  {title}: {total['total']} requests, {total['completed']} completed, {total['not_run']} not run, "
        f"{total['may_have_run']} may have run, {total['lost']} lost, {total['wrong_answer']} wrong answers, "
        f"p50 {total['latency_p50_ms']:.1f} ms, p99 {total['latency_p99_ms']:.1f} ms")


def propose_move_of_service(running, number):
    """A release note that gives the first service the spare pool; returns the note."""
    head = json.loads(running.run("note", "list", "--platform", fleet.PLATFORM, "--json")[1])
    epoch = head["head"]["epoch"]
    service = running.services[0]
    spare = next(name for name, pool in running.pools.items() if pool.get("spare"))
    entry = next(entry for entry in running.preset()["added"]
                 if entry["kind"] == "service" and entry["name"] == service)
    entry["pool"] = spare
    return service, spare, {"id": f"demo-{number}", "base_epoch": epoch, "author": "demo",
                            "reason": f"serve {service} from {spare}", "added": [], "changed": [entry],
                            "withdrawn": []}


def hosts_that_answer(running, service):
    """Pools whose hosts start requests of a service in a short load."""
    before = {name: running.journal(name).stat().st_size for name in running.hosts}
    running.load(f"probe-{time.monotonic_ns()}", {service: 40}, duration="1s", deadline="1s")
    pools = {}
    for name, host in running.hosts.items():
        if running.journal(name).stat().st_size > before[name]:
            pools[host["initial_pool"]] = pools.get(host["initial_pool"], 0) + 1
    return pools


def main():
    deployment = sys.argv[1] if len(sys.argv) > 1 else "wales"
    if deployment not in ("finland", "wales"):
        print("usage: scripts/demo [finland|wales]", file=sys.stderr)
        return 2
    with tempfile.TemporaryDirectory() as directory, \
            fleet.Fleet(deployment, directory, hosts_per_pool=4, entries_per_zone=2,
                        service_time="20ms") as running:
        say(f"1. {deployment}: platform, backend servers and entry hosts as processes of their own")
        running.start()
        say(f"  {len(running.hosts)} backend servers in {len(running.pools)} pools, "
            f"{len(running.entries)} entry hosts in {len(running.zones())} availability zones are ready")

        service = running.services[0]
        say("  waiting 7 s: a new owner of idempotency keys cannot tell fresh keys from repeats for the clock skew of 5 s")
        time.sleep(7.0)
        say("2. Callers through the entry hosts to backend servers and back")
        rates = {name: 30 for name in running.services}
        print_load("load", running.load("steady", rates, duration="3s", write_share=0.3))
        say(f"  pools that serve {service}: {hosts_that_answer(running, service)}")

        say("3. A release note: the finance chief reads its cost and lets it pass")
        service, spare, note = propose_move_of_service(running, 1)
        path = pathlib.Path(directory) / "note.json"
        path.write_text(json.dumps(note))
        say("  " + running.note("propose", str(path))[1].strip().replace("\n", "\n  "))
        running.wait(lambda: all(running.status(entry)["config_epoch"] == note["base_epoch"] + 1
                                 for entry in running.entries), 15.0, "the note is not in force everywhere")
        say(f"  in force on all {len(running.entries)} entry hosts at epoch {note['base_epoch'] + 1}")
        say(f"  pools that serve {service} now: {hosts_that_answer(running, service)}")

        say("4. One entry host is killed and another frozen for 3 s under load")
        victim, frozen = running.entries[0], running.entries[3]
        running.start_load("faults", rates, duration="9s", write_share=0.3, repeats=3, deadline="3s")
        time.sleep(2.0)
        running.kill(victim.id)
        running.processes.pop(victim.id)
        running.freeze(frozen.id)
        time.sleep(3.0)
        running.thaw(frozen.id)
        print_load(f"load with {victim.id} killed and {frozen.id} frozen", running.finish_load("faults"))

        say("5. The killed entry host is replaced; another stops as planned under load")
        running.start_entry(victim)
        started = time.monotonic()
        running.wait_ready([victim])
        say(f"  {victim.id} is ready {time.monotonic() - started:.2f} s after its start")
        running.start_load("planned", rates, duration="5s", write_share=0.3, deadline="3s")
        time.sleep(1.5)
        planned = running.entries[1]
        code = running.stop(planned.id)
        running.processes.pop(planned.id)
        result = running.finish_load("planned")
        print_load(f"load with {planned.id} stopped as planned (exit code {code})", result)

        say("6. What callers were told, compared with what backend servers started")
        audit = running.audit(["steady", "faults", "planned"])
        say("  " + json.dumps(audit))
        running.check_running()
        say("7. Reports")
        time.sleep(1.0)
        say("  " + running.run("report", "burn", "--platform", fleet.PLATFORM)[1].replace("\n", "\n  "))
        clean = (audit["doubled"] == 0 and audit["false_not_run"] == 0 and audit["wrong_answers"] == 0
                 and audit["max_in_progress"] <= 8 and result["all"]["lost"] == 0)
        say("RESULT: " + ("every promise was kept" if clean else "a promise was broken"))
        return 0 if clean else 1


if __name__ == "__main__":
    sys.exit(main())
