"""Open connections to the store go silent for good; new ones work."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standins as s  # noqa: E402

ZONES = ("dar-a", "dar-b", "dar-c")
# Seconds from a version to the silence, and from the silence to the next version: by
# then the machines are in touch again.
BEFORE_S, AFTER_S = 0.4, s.CONTACT_S + 0.1
ROUNDS, SAMPLE_S, REST_S = 7, 2.0, 4.0


async def case(record, temporary, nodes):
    store, proxy = s.Store(record), None
    await store.start()
    proxy = s.Proxy(store.address)
    await proxy.start()
    servers = [s.Server(record, name, z) for name in ("orders", "media") for z in ZONES]
    for server in servers:
        node = s.Node(
            temporary, record, f"sidecar-{server.service}-{server.zone}", server,
            proxy.address,
        )  # fmt: skip
        nodes.append(node)
        await server.start(node.control)
    publish(store, record, 1, "orders")
    for node in nodes:
        node.start()
    await s.wait_until(lambda: all_ready(nodes), 20, "the start")
    await asyncio.sleep(4.0)
    version, service = 1, "orders"
    for _ in range(ROUNDS):
        version, service = version + 1, other(service)
        publish(store, record, version, service)
        await asyncio.sleep(BEFORE_S)
        if s.trouble():
            record.show("silence", connections=proxy.silence())
        await asyncio.sleep(AFTER_S)
        version, service = version + 1, other(service)
        acknowledged = publish(store, record, version, service)
        await asyncio.sleep(s.CONFIG_APPLY_S + 0.05)
        wrong = await sample(nodes, servers, service, record)
        record.show(
            "round", version=version, wrong=len(wrong),
            latest_s=round(max(wrong, default=acknowledged) - acknowledged, 2),
        )  # fmt: skip
        if wrong:
            return True
        await asyncio.sleep(REST_S)
    return False


def other(service):
    return "media" if service == "orders" else "orders"


def publish(store, record, version, service):
    """Move the route of the bookings to a service; return when it was acknowledged."""
    value = s.configuration(
        version, [s.route("book", "/book/", service)], ["orders", "media"]
    )
    store.put("keyed.op", "config", value)
    record.show("acknowledged", version=version, route="/book/", service=service)
    return record.now()


async def all_ready(nodes):
    return all([await node.is_ready() for node in nodes])


async def sample(nodes, servers, service, record):
    """Send bookings through all nodes; return when those for the old service came."""
    wrong, until = [], record.now() + SAMPLE_S

    async def send(node):
        sent_at = record.now()
        request_id, status, _, _ = await s.request(node, "/book/x", b"b")
        ran = [
            server.service
            for server in servers
            for run_id, _, _ in server.runs
            if run_id == request_id
        ]
        record("request", id=request_id, node=node.name, sent_at=round(sent_at, 3),
               status=status, ran_at=ran)  # fmt: skip
        if other(service) in ran:
            wrong.append(sent_at)

    async with asyncio.TaskGroup() as group:
        while record.now() < until:
            for node in nodes:
                group.create_task(send(node))
            await asyncio.sleep(0.2)
    return wrong


s.run_case(case, FOLDER)
