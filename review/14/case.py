"""A node forgets that its upstream has deregistered, and takes a late heartbeat."""

import asyncio
import json
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

import standins
from standins import DRAIN_S, TROUBLE, now

FOLDER = pathlib.Path(__file__).resolve().parent
# contactS, with a margin; for how long the upstream serves after its leaving was
# acknowledged; and how much later its last heartbeat arrives.
CONTACT_S, SERVES_S, LATE_S = 3.2, 8.0, 3.5
RATE = 30
random_ = random.Random(14)


async def case(world):
    host, names = "h.example", ("m00", "m01", "m02")
    route = (host, "/o/", "non_idempotent", "orders", 2.0, 2)
    world.publish(3, [route], {"orders": False})
    for name, zone in zip(names, "abc"):
        await world.add_machine_running(name, zone, "orders", work_s=0.1)
    tasks = []

    async def send():
        name = random_.choice(names)
        _, status, _ = await world.request(
            name, host, "/o/1", 2000, method="POST", body=b"one booking"
        )
        return status

    async def load():
        while True:
            tasks.append(asyncio.create_task(send()))
            await asyncio.sleep(1 / RATE)

    async def all_served():
        return {await send() for _ in range(9)} == {200}

    await world.wait(all_served, 30, "service on all machines")
    asyncio.create_task(load())
    await asyncio.sleep(2)
    upstream = world.upstreams["m01"]
    late_beat = json.dumps(upstream.beat_body()).encode()
    upstream.beats = False
    down = TROUBLE

    async def intercept(method, path, query, body):
        if not down:
            return ""
        while down:
            await asyncio.sleep(0.05)
        return "refuse"

    world.store.intercept = intercept
    world.record(f"the store is silent: {down}")
    path = f"/instances/{upstream.id}/deregister"
    body = json.dumps({"born": upstream.born}).encode()
    answer = await standins.post(upstream.machine["control"], path, body, 1.0)
    acknowledged_at = now()
    if answer is None or " 200 " not in answer.first:
        raise standins.CouldNotRun("the leaving was not acknowledged")
    world.record(f"{upstream.id} has deregistered, acknowledged with 200")
    sound_at = acknowledged_at
    if TROUBLE:
        world.kill_node("m01")
        world.nodes["m01"].wait()
        await asyncio.sleep(0.5)
        world.start_node("m01")
        await asyncio.sleep(1.0)
        down = False
        sound_at = now()
        world.record("the store answers again")
        await asyncio.sleep(max(0.0, acknowledged_at + LATE_S - now()))
        control = upstream.machine["control"]
        path = f"/instances/{upstream.id}/heartbeat"
        answer = await standins.post(control, path, late_beat, 1.0)
        first = answer and answer.first
        world.record(f"a heartbeat from before arrives {LATE_S} s late: {first}")
    await asyncio.sleep(max(0.0, acknowledged_at + SERVES_S - now()))
    world.record(f"{upstream.id} exits")
    await upstream.crash()
    await asyncio.sleep(2)
    # All machines are in touch, and more than drainS has passed.
    counts_from = max(sound_at + CONTACT_S, acknowledged_at + DRAIN_S)
    late = sum(
        at > counts_from
        for runs in world.runs.values()
        for at, target, _ in runs
        if target == upstream.id
    )
    world.record(
        f"{late} requests ran there later than {counts_from - acknowledged_at:.1f} s"
    )
    print(
        f"{late} requests reached the upstream later than drainS after its leaving was "
        "acknowledged, with all machines in touch"
    )
    return late > 0


standins.run_case(case, FOLDER)
