"""A heartbeat of another writer, without an address, names an upstream that leaves."""

import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-3"))

import standins
from standins import TROUBLE

FOLDER = pathlib.Path(__file__).resolve().parent
KEYS = (5, 30000, 60000)
# "Two upstreams that are up hold the same keys for over half a second".
MAX_OVERLAP_S = 0.5


async def case(world):
    host, names = "h.example", ("m00", "m01", "m02")
    world.publish(3, [(host, "/j/", "idempotent", "jobs", 2.0, 2)], {"jobs": True})
    for name, zone in zip(names, "abc"):
        await world.add_machine_running(name, zone, "jobs", keyed=True)

    async def send_all():
        answers = await asyncio.gather(
            *(
                world.request(name, host, "/j/1", 2000, key=key)
                for name in names
                for key in KEYS
            )
        )
        return [status for _, status, _ in answers]

    async def all_served():
        return set(await send_all()) == {200}

    await world.wait(all_served, 30, "service on all machines")
    asyncio.create_task(world.watch_owners())
    await asyncio.sleep(3)
    upstream = world.upstreams["m01"]
    world.record(f"{upstream.id} holds {upstream.held()} and serves")
    if TROUBLE:
        # All fields of a heartbeat but its address.
        body = {
            "born": int(time.time() * 1000),
            "info": {
                "service": "jobs", "version": "v1", "zone": "b", "slots": 6,
            },
            "status": {"state": "draining", "sequence": 1, "coldRemainingS": 0},
        }  # fmt: skip
        answer = await standins.post(
            upstream.machine["control"], "/instances/i-other/heartbeat",
            json.dumps(body).encode(), 1.0,
        )  # fmt: skip
        first, content = (answer.first, answer.body) if answer else (None, None)
        world.record(f"heartbeat of i-other without address: {first} {content}")
    statuses = []
    for _ in range(60):
        statuses += await send_all()
        await asyncio.sleep(0.1)
    served = statuses.count(200)
    world.record(
        f"{served} of {len(statuses)} requests served; longest time in which two "
        f"upstreams held the same keys: {world.overlap_s:.2f} s; {upstream.id} holds "
        f"{upstream.held()}"
    )
    print(f"two upstreams held the same keys for {world.overlap_s:.2f} s")
    return world.overlap_s > MAX_OVERLAP_S


standins.run_case(case, FOLDER)
