"""Starts a small deployment of stand-ins and entry hosts on loopback and injects faults.

Used by the demonstration, the system tests and the measurements. Standard library only.
"""

import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent

# Second number of all loopback addresses, so that several fleets can run on one machine.
NET = os.environ.get("LACEWINGQUAY_TEST_NET", "2")

PLATFORM = f"127.{NET}.100.2:7100"
BACKEND_BASE = f"127.{NET}.100.1:20000"


class FleetError(RuntimeError):
    """A process or command did not do what the scenario needs."""


def http(method, url, body=None, timeout=5.0):
    """Sends one HTTP request; returns (status, text)."""
    data = body.encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, answer.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()


class Entry:
    """Addresses of one entry host."""

    def __init__(self, zone_index, number, zone):
        ip = f"127.{NET}.{zone_index + 1}.{number + 1}"
        self.id = f"{zone}-e{number + 1}"
        self.zone = zone
        self.caller = f"{ip}:8080"
        self.operator = f"{ip}:9090"
        self.peer = f"{ip}:7001"
        self.dispatch = f"{ip}:7002"


class Fleet:
    """One deployment: platform stand-in, backend servers and entry hosts."""

    def __init__(self, deployment, directory, *, build=os.environ.get("LACEWINGQUAY_BUILD", "build"), hosts_per_pool=None, entries_per_zone=2,
                 service_time="50ms", distribution="exponential", veto_window="1s", entry_flags=(),
                 backend_flags=(), max_entries=None):
        self.deployment = deployment
        self.directory = pathlib.Path(directory)
        self.directory.mkdir(parents=True, exist_ok=True)
        self.binary = str(ROOT / build / "lacewingquay")
        self.standins = str(ROOT / build / "lacewingquay_standins")
        self.hosts_per_pool = hosts_per_pool
        self.service_time = service_time
        self.distribution = distribution
        self.veto_window = veto_window
        self.entry_flags = list(entry_flags)
        self.backend_flags = list(backend_flags)
        self.processes = {}
        self.logs = {}
        self.hosts = {}
        self.services = []
        self.pools = {}
        self.entries = []
        self.entries_per_zone = entries_per_zone
        self.max_entries = max_entries

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.stop_all()

    # Processes

    def spawn(self, name, command):
        log = open(self.directory / f"{name}.log", "ab")
        self.logs[name] = log
        self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def freeze(self, name):
        self.signal(name, signal.SIGSTOP)

    def thaw(self, name):
        self.signal(name, signal.SIGCONT)

    def stop(self, name, timeout=40.0):
        """Planned stop; returns the exit code."""
        self.signal(name, signal.SIGTERM)
        try:
            return self.processes[name].wait(timeout)
        except subprocess.TimeoutExpired as error:
            tail = (self.directory / f"{name}.log").read_text()[-2000:]
            raise FleetError(f"{name} has not stopped within {timeout} s:\n{tail}") from error

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for log in self.logs.values():
            log.close()

    def check_running(self):
        for name, process in self.processes.items():
            if process.poll() is not None:
                tail = (self.directory / f"{name}.log").read_text()[-2000:]
                raise FleetError(f"{name} ended with code {process.returncode}:\n{tail}")

    # Commands

    def run(self, *arguments, check=True, timeout=120.0):
        """Runs one lacewingquay command; returns (exit code, standard output, standard error)."""
        done = subprocess.run([self.binary, *arguments], capture_output=True, text=True, timeout=timeout,
                              stdin=subprocess.DEVNULL, check=False)
        if check and done.returncode != 0:
            raise FleetError(f"{' '.join(arguments)}: code {done.returncode}\n{done.stdout}{done.stderr}")
        return done.returncode, done.stdout, done.stderr

    def note(self, *arguments, **options):
        return self.run("note", *arguments, "--platform", PLATFORM, **options)

    def preset(self):
        flags = ["--backend-base", BACKEND_BASE, "--veto-window", self.veto_window]
        if self.hosts_per_pool:
            flags += ["--hosts-per-pool", str(self.hosts_per_pool)]
        return json.loads(self.run("preset", self.deployment, *flags)[1])

    # Start

    def start_platform(self):
        self.spawn("platform", [self.standins, "platform", "--listen", PLATFORM, "--host-list-lag", "1s"])
        self.wait(lambda: self.platform_answers(), 5.0, "platform does not answer")

    def platform_answers(self):
        try:
            return http("GET", f"http://{PLATFORM}/_standin/stats", timeout=1.0)[0] == 200
        except OSError:
            return False

    def start_backends(self, note):
        for entry in note["added"]:
            if entry["kind"] == "host":
                self.hosts[entry["name"]] = entry
            elif entry["kind"] == "service":
                self.services.append(entry["name"])
            elif entry["kind"] == "pool":
                self.pools[entry["name"]] = entry
        for index, (name, host) in enumerate(sorted(self.hosts.items())):
            self.spawn(name, [self.standins, "backend", "--listen", f"{host['address']}", "--name", name,
                              "--service-time", self.service_time, "--service-distribution", self.distribution,
                              "--seed", str(1000 + index), "--journal", str(self.journal(name)),
                              *self.backend_flags])

    def journal(self, host):
        return self.directory / f"{host}.journal"

    def zones(self):
        return sorted({host["availability_zone"] for host in self.hosts.values()})

    def plan_entries(self):
        for zone_index, zone in enumerate(self.zones()):
            for number in range(self.entries_per_zone):
                self.entries.append(Entry(zone_index, number, zone))
        if self.max_entries:
            ordered = sorted(self.entries, key=lambda entry: entry.id[-1])
            self.entries = sorted(ordered[:self.max_entries], key=lambda entry: entry.id)

    def start_entry(self, entry):
        seeds = [f"{other.id}={other.peer}" for other in self.entries if other.id != entry.id]
        command = [self.binary, "entry", "--id", entry.id, "--availability-zone", entry.zone,
                   "--caller-listen", entry.caller, "--operator-listen", entry.operator,
                   "--peer-listen", entry.peer, "--dispatch-listen", entry.dispatch,
                   "--platform", PLATFORM, "--fault-injection", *self.entry_flags]
        for seed in seeds[:3]:
            command += ["--seed-peer", seed]
        self.spawn(entry.id, command)

    def start(self):
        """Starts everything, with the preset release note accepted; returns when all are ready."""
        self.start_platform()
        note = self.preset()
        path = self.directory / "first-note.json"
        path.write_text(json.dumps(note, indent=1))
        self.start_backends(note)
        self.plan_entries()
        self.note("propose", str(path))
        self.note("accept", note["id"])
        for entry in self.entries:
            self.start_entry(entry)
        self.wait_ready()

    def is_ready(self, entry):
        try:
            return http("GET", f"http://{entry.operator}/readyz", timeout=1.0)[0] == 200
        except OSError:
            return False

    def wait_ready(self, entries=None, timeout=20.0):
        for entry in entries or self.entries:
            self.wait(lambda entry=entry: self.is_ready(entry), timeout, f"{entry.id} is not ready")

    def wait(self, condition, timeout, message):
        deadline = time.monotonic() + timeout
        while not condition():
            self.check_running()
            if time.monotonic() > deadline:
                raise FleetError(message)
            time.sleep(0.02)

    # Observation and faults

    def entry(self, entry_id):
        return next(entry for entry in self.entries if entry.id == entry_id)

    def status(self, entry):
        return json.loads(http("GET", f"http://{entry.operator}/status")[1])

    def entry_faults(self, entry, **faults):
        """Faults of one entry host: cut_peers, cut_platform."""
        code, text = http("POST", f"http://{entry.operator}/faults", json.dumps(faults))
        if code != 200:
            raise FleetError(f"{entry.id} refused faults: {text}")

    def platform_faults(self, **faults):
        code, text = http("POST", f"http://{PLATFORM}/_standin/faults", json.dumps(faults))
        if code != 200:
            raise FleetError(f"platform refused faults: {text}")

    def backend_fault(self, host, **fault):
        url = f"http://{self.hosts[host]['address']}/_standin/faults"
        code, text = http("POST", url, json.dumps(fault))
        if code != 200:
            raise FleetError(f"{host} refused faults: {text}")

    def cut_zone(self, zone, platform=True):
        """Cuts all links between the entry hosts of a zone and those of the others."""
        inside = [entry.id for entry in self.entries if entry.zone == zone]
        outside = [entry.id for entry in self.entries if entry.zone != zone]
        for entry in self.entries:
            is_inside = entry.zone == zone
            cut = outside if is_inside else inside
            self.entry_faults(entry, cut_peers=cut, cut_platform=is_inside and platform)

    def heal(self):
        for entry in self.entries:
            self.entry_faults(entry, cut_peers=[], cut_platform=False)

    # Load

    def start_load(self, name, rates, *, weights=None, entries=None, **flags):
        """Starts the load tool; `finish_load` returns its result."""
        command = [self.binary, "load", "--json", "--records", str(self.directory / f"{name}.records")]
        for entry in entries or self.entries:
            weight = (weights or {}).get(entry.id, 1)
            command += ["--entry", f"{entry.caller}={weight}"]
        for service, rate in rates.items():
            command += ["--rate", f"{service}={rate}"]
        for flag, value in flags.items():
            values = value if isinstance(value, list) else [value]
            for item in values:
                command += [f"--{flag.replace('_', '-')}", str(item)]
        output = open(self.directory / f"{name}.result", "w+")
        errors = open(self.directory / f"{name}.errors", "w+")
        process = subprocess.Popen(command, stdout=output, stderr=errors, stdin=subprocess.DEVNULL)
        self.logs[name] = output
        self.logs[name + ".errors"] = errors
        self.processes[name] = process
        return name

    def finish_load(self, name, timeout=300.0):
        process = self.processes.pop(name)
        code = process.wait(timeout)
        text = (self.directory / f"{name}.result").read_text()
        if code != 0:
            raise FleetError(f"load {name}: code {code} " + (self.directory / f"{name}.errors").read_text())
        return json.loads(text)

    def load(self, name, rates, **options):
        return self.finish_load(self.start_load(name, rates, **options))

    def audit(self, names):
        """Compares callers' records with the journals; returns the counts."""
        command = ["audit"]
        for name in names:
            command += ["--records", str(self.directory / f"{name}.records")]
        for host in self.hosts:
            command += ["--journal", str(self.journal(host))]
        code, text, errors = self.run(*command, check=False)
        if code not in (0, 1):
            raise FleetError(errors)
        return json.loads(text)

    def slots(self, service):
        """Number of slots of the service's first pool."""
        return sum(8 for host in self.hosts.values() if host["initial_pool"] == self.pool_of(service))

    def pool_of(self, service):
        return next(entry["pool"] for entry in self.preset()["added"]
                    if entry["kind"] == "service" and entry["name"] == service)


def pid_cpu_seconds(pid):
    """CPU seconds that a process has used."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
