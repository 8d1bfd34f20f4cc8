"""``make demo``: a small Lango Gatefix deployment in one process on loopback."""

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
LOST, DRAINED = "jobs-dar-b", "fieldmedia-dar-c"

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
    """State of the demo: deployment, client and what was measured."""

    def __init__(self, nursery):
        self.deployment = Deployment("lango", nursery)
        self.client = Client()
        self.availability = Availability()
        self.random = random.Random(SEED)
        self.versions = {}
        self.lost = set()
        self.section_in_force_s = 0.0

    def address(self):
        """Return the client address of a random node that is up."""
        names = [name for name in self.deployment.members if name not in self.lost]
        return self.deployment.members[self.random.choice(names)].addresses.client


def say(text):
    """Print what happens, with the time since the start."""
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
                load.start_soon(lookups, demo, stop)
                load.start_soon(bookings, demo, stop)
                load.start_soon(uploads, demo, stop)
                await events(demo)
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
    say("log service, 9 targets and 9 nodes are up")
    for number in range(KEYS):
        await demo.client.send(demo.address(), "GET", f"/jobs/gate-{number}", b"", True)
    say(f"{KEYS} job cards looked up; load starts")


async def events(demo):
    """Lose a node, drain a target and publish a section, one after the other."""
    await trio.sleep(2)
    say(f"node {LOST} is lost")
    demo.lost.add(LOST)
    demo.deployment.kill(LOST)
    await trio.sleep(4)
    say(f"target {DRAINED} is drained by a line in the section fieldmedia")
    text = SECTIONS["fieldmedia"] + f"drain: [{DRAINED}]\n"
    demo.deployment.publish("fieldmedia", text, demo.versions["fieldmedia"])
    await trio.sleep(4)
    text = SECTIONS["dispatch"] + "deadline_ms: 8000\n"
    version = demo.deployment.publish("dispatch", text, demo.versions["dispatch"])
    say(f"section dispatch version {version} is published")
    demo.section_in_force_s = await in_force(demo, "dispatch", version)
    say(f"it is in force on every node after {demo.section_in_force_s * 1000:.0f} ms")
    await trio.sleep(4)


async def in_force(demo, name, version):
    """Return the seconds until every node reports a version of a section."""
    started = time.monotonic()
    async with httpcore.AsyncConnectionPool() as pool:
        for member in demo.deployment.members.values():
            while member.name not in demo.lost:
                url = f"http://{member.addresses.operator}/v1/status"
                answer = await pool.request("GET", url)
                if msgspec.json.decode(answer.content)["sections"][name] >= version:
                    break
                await trio.sleep(0.005)
    return time.monotonic() - started


async def lookups(demo, stop):
    """Look up job cards at a fixed rate, each in a task of its own."""
    async with trio.open_nursery() as nursery:
        number = 0
        while not stop.is_set():
            nursery.start_soon(lookup, demo, f"gate-{number % KEYS}")
            number += 1
            await trio.sleep(PROBE_INTERVAL_S)


async def lookup(demo, key):
    """Look up one job card and note how long its key was not served."""
    started = time.monotonic()
    told = await demo.client.send(demo.address(), "GET", f"/jobs/{key}", b"", True)
    demo.availability.record_request(key, started, told.outcome == "completed")


async def bookings(demo, stop):
    """Book technicians, keyed and unkeyed; neither is idempotent."""
    while not stop.is_set():
        key = demo.random.randrange(KEYS)
        service = demo.random.choice(("jobs", "dispatch"))
        body = demo.random.randbytes(200)
        await demo.client.send(demo.address(), "POST", f"/{service}/gate-{key}", body)
        await trio.sleep(0.02)


async def uploads(demo, stop):
    """Upload photos of 1 MiB."""
    while not stop.is_set():
        body = demo.random.randbytes(UPLOAD_BYTES)
        path = f"/fieldmedia/{demo.random.randrange(1000)}.jpg"
        await demo.client.send(demo.address(), "PUT", path, body, True)
        await trio.sleep(0.3)


def report(demo):
    """Print the closing line and return the exit code."""
    runs = [run for m in demo.deployment.members.values() for run in m.target.runs]
    told = demo.client.told
    violations = audit(runs, told)
    outcomes = [one.outcome for one in told]
    summary = {
        "requests": len(told),
        "completed": outcomes.count("completed"),
        "not_run": outcomes.count("not-run"),
        "unknown": outcomes.count("unknown"),
        **violations._asdict(),
        "max_unavailable_ms": round(demo.availability.worst_s * 1000),
        "section_in_force_ms": round(demo.section_in_force_s * 1000),
        "seed": SEED,
    }
    say("compared the targets' records with what the clients were told")
    print(msgspec.json.encode(summary).decode(), flush=True)
    return 1 if any(violations) else 0


def main():
    """Run the demo; its log goes to a temporary file."""
    with tempfile.NamedTemporaryFile("w", suffix=".log", delete=False) as log:
        say(f"log lines go to {log.name}")
        start_logging(log)
        sys.exit(trio.run(run, clock=BoottimeClock()))


if __name__ == "__main__":
    main()
