"""``make demo-sections``: a Lango Gatefix deployment in one process on loopback."""

import random
import sys
import tempfile
import time

import httpcore
import msgspec
import trio

from jujuberudder_core import BoottimeClock, start_logging

from ._audit import audit
from ._deployment import Deployment
from ._load import Availability, Client

SEED = 20261204
ZONES = ("dar-a", "dar-b", "dar-c")
SERVICES = ("jobs", "dispatch", "fieldmedia")
KEYS = 24
UPLOAD_BYTES = 1024 * 1024
PROBE_INTERVAL_S = 0.05
LOAD_S = 14.0
KILLED_NODE, DRAINED_TARGET = "jobs-dar-b", "fieldmedia-dar-c"

SECTIONS = {
    "jobs": """\
service: jobs
team: dispatching
routes: [{path_prefix: /jobs/}]
key: {source: path_segment, index: 1}
idempotent_methods: [GET]
slots: 20
""",
    "dispatch": """\
service: dispatch
routes: [{path_prefix: /dispatch/}]
idempotent_methods: [GET]
slots: 20
""",
    "fieldmedia": """\
service: fieldmedia
routes: [{path_prefix: /fieldmedia/}]
idempotent_methods: [GET, PUT]
slots: 20
""",
}


class Demo:
    """Deployment, client and measurements of the demo."""

    def __init__(self, nursery):
        self.deployment = Deployment("lango", nursery)
        self.client = Client()
        self.availability = Availability()
        self.rng = random.Random(SEED)
        self.versions = {}
        self.killed = set()
        self.section_in_force_s = 0.0

    def address(self):
        """Return the client address of a random node that is not killed."""
        names = [name for name in self.deployment.members if name not in self.killed]
        return self.deployment.members[self.rng.choice(names)].addresses.client


def print_progress(text):
    """Print a message with the seconds since the start."""
    print(f"[{time.monotonic() - STARTED:6.2f} s] {text}", flush=True)


STARTED = time.monotonic()


async def run():
    """Run the demo and return its exit code."""
    async with trio.open_nursery() as nursery:
        demo = Demo(nursery)
        await start(demo)
        with trio.move_on_after(LOAD_S + 30):
            async with trio.open_nursery() as load:
                stop = trio.Event()
                load.start_soon(send_lookups, demo, stop)
                load.start_soon(send_bookings, demo, stop)
                load.start_soon(send_uploads, demo, stop)
                await inject_events(demo)
                stop.set()
        code = report(demo)
        nursery.cancel_scope.cancel()
    return code


async def start(demo):
    """Start the log service, nine targets and their nodes."""
    await demo.deployment.start_log()
    for name, text in SECTIONS.items():
        demo.versions[name] = demo.deployment.publish(name, text)
    for service in SERVICES:
        for zone in ZONES:
            await demo.deployment.start_member(service, zone)
    print_progress("log service, 9 targets and 9 nodes are up")
    for number in range(KEYS):
        await demo.client.send(demo.address(), "GET", f"/jobs/gate-{number}", b"", True)
    print_progress(f"{KEYS} job cards looked up; load starts")


async def inject_events(demo):
    """Kill a node, drain a target and publish a section, one after the other."""
    await trio.sleep(2)
    print_progress(f"node {KILLED_NODE} is killed")
    demo.killed.add(KILLED_NODE)
    demo.deployment.kill(KILLED_NODE)
    await trio.sleep(4)
    print_progress(
        f"target {DRAINED_TARGET} is drained by a line in the section fieldmedia"
    )
    text = SECTIONS["fieldmedia"] + f"drain: [{DRAINED_TARGET}]\n"
    demo.deployment.publish("fieldmedia", text, demo.versions["fieldmedia"])
    await trio.sleep(4)
    text = SECTIONS["dispatch"] + "deadline_ms: 8000\n"
    version = demo.deployment.publish("dispatch", text, demo.versions["dispatch"])
    print_progress(f"section dispatch version {version} is published")
    demo.section_in_force_s = await wait_in_force(demo, "dispatch", version)
    print_progress(
        f"it is in force on every node after {demo.section_in_force_s * 1000:.0f} ms"
    )
    await trio.sleep(4)


async def wait_in_force(demo, name, version):
    """Return the seconds until every live node reports a version of a section."""
    started = time.monotonic()
    async with httpcore.AsyncConnectionPool() as pool:
        for member in demo.deployment.members.values():
            while member.name not in demo.killed:
                url = f"http://{member.addresses.operator}/v1/status"
                response = await pool.request("GET", url)
                if msgspec.json.decode(response.content)["sections"][name] >= version:
                    break
                await trio.sleep(0.005)
    return time.monotonic() - started


async def send_lookups(demo, stop):
    """Look up job cards at a fixed rate, each in a separate task."""
    async with trio.open_nursery() as nursery:
        number = 0
        while not stop.is_set():
            nursery.start_soon(send_lookup, demo, f"gate-{number % KEYS}")
            number += 1
            await trio.sleep(PROBE_INTERVAL_S)


async def send_lookup(demo, key):
    """Look up one job card and record the availability of its key."""
    started = time.monotonic()
    record = await demo.client.send(demo.address(), "GET", f"/jobs/{key}", b"", True)
    demo.availability.record_request(key, started, record.outcome == "completed")


async def send_bookings(demo, stop):
    """Book technicians with keyed and unkeyed requests that are not idempotent."""
    while not stop.is_set():
        key = demo.rng.randrange(KEYS)
        service = demo.rng.choice(("jobs", "dispatch"))
        body = demo.rng.randbytes(200)
        await demo.client.send(demo.address(), "POST", f"/{service}/gate-{key}", body)
        await trio.sleep(0.02)


async def send_uploads(demo, stop):
    """Upload photos of 1 MiB."""
    while not stop.is_set():
        body = demo.rng.randbytes(UPLOAD_BYTES)
        path = f"/fieldmedia/{demo.rng.randrange(1000)}.jpg"
        await demo.client.send(demo.address(), "PUT", path, body, True)
        await trio.sleep(0.3)


def report(demo):
    """Print the summary and return the exit code, 1 if the audit finds violations."""
    runs = [run for m in demo.deployment.members.values() for run in m.target.runs]
    records = demo.client.records
    violations = audit(runs, records)
    outcomes = [record.outcome for record in records]
    summary = {
        "requests": len(records),
        "completed": outcomes.count("completed"),
        "not_run": outcomes.count("not-run"),
        "unknown": outcomes.count("unknown"),
        **violations._asdict(),
        "max_unavailable_ms": round(demo.availability.worst_s * 1000),
        "section_in_force_ms": round(demo.section_in_force_s * 1000),
        "seed": SEED,
    }
    print_progress(
        "compared the targets' records with the outcomes that the clients recorded"
    )
    print(msgspec.json.encode(summary).decode(), flush=True)
    return 1 if any(violations) else 0


def main():
    """Run the demo and write the log to a temporary file."""
    with tempfile.NamedTemporaryFile("w", suffix=".log", delete=False) as log:
        print_progress(f"the log is written to {log.name}")
        start_logging(log)
        sys.exit(trio.run(run, clock=BoottimeClock()))


if __name__ == "__main__":
    main()
