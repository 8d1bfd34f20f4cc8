"""A server says that it leaves just after the node beside it has started again.

Its last heartbeat from before arrives seconds late.
"""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import standins as s  # noqa: E402

ZONES = ("dar-a", "dar-b", "dar-c")
# Seconds by which the heartbeat is late, after the acknowledgement of the leaving.
LATE_S = 2.5
# Seconds that a booking takes.
WORK_S = 0.2
# Seconds from the acknowledgement to the server's exit, and to the end of the traffic.
SERVES_ON_S, TRAFFIC_S = 4.5, 7.0


async def case(record, temporary, nodes):
    store = s.Store(record)
    await store.start()
    servers = [s.Server(record, "orders", zone, WORK_S) for zone in ZONES[:2]]
    servers.append(s.Server(record, "media", ZONES[2]))
    for server in servers:
        name = f"sidecar-{server.service}-{server.zone}"
        node = s.Node(temporary, record, name, server, store.address)
        nodes.append(node)
        await server.start(node.control)
    routes = [s.route("book", "/book/", "orders")]
    value = s.configuration(1, routes, ["orders", "media"])
    store.put("keyed.op", "config", value)
    for node in nodes:
        node.start()
    await s.wait_until(lambda: all_ready(nodes), 20, "the start")
    await asyncio.sleep(5.0)
    leaving, (node, _, entry) = servers[0], nodes
    traffic = asyncio.ensure_future(send_traffic(entry, record))

    # The heartbeat that will be late is made before the server decides to leave.
    late_body = leaving.heartbeat_body()
    leaving.beating = False
    node.kill()
    await asyncio.sleep(0.5)
    node.start()
    acknowledged_at = await deregister(leaving, record)
    await asyncio.sleep(LATE_S)
    if s.trouble():
        status = await leaving.send("heartbeat", late_body)
        record.show("late_heartbeat", server=leaving.id, status=status)
    await asyncio.sleep(acknowledged_at + SERVES_ON_S - record.now())
    cut = leaving.end()
    await asyncio.sleep(acknowledged_at + TRAFFIC_S - record.now())
    traffic.cancel()
    return judge(record, leaving, node, acknowledged_at, cut)


async def all_ready(nodes):
    return all([await node.is_ready() for node in nodes])


async def deregister(server, record):
    """Say that the server leaves until that is acknowledged; return when it was."""
    body = f'{{"born":{server.born}}}'.encode()
    while await server.send("deregister", body) != 200:
        await asyncio.sleep(0.02)
    record.show("leaving_acknowledged", server=server.id)
    return record.now()


async def send_traffic(node, record):
    """Send bookings to a node in touch, as its clients do."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(send(node, record))
            await asyncio.sleep(0.02)


async def send(node, record):
    sent_at = record.now()
    request_id, status, _, _ = await s.request(node, "/book/x", b"b")
    record("request", id=request_id, sent_at=round(sent_at, 3), status=status)


def judge(record, leaving, node, acknowledged_at, cut):
    """Return whether requests reached the server over ``drainS`` after its leaving.

    They count once the node beside it has been in touch again for ``contactS``.
    """
    bound = (
        max(acknowledged_at + s.DRAIN_S, node.started_at + s.CONTACT_S) + 0.1
    )  # for the clock of this script
    late = [at for _, _, at in leaving.runs if at > bound]
    record.show(
        "reached_after_drain", count=len(late),
        latest_s=round(max(late, default=acknowledged_at) - acknowledged_at, 2),
        cut_by_its_exit=len(cut),
    )  # fmt: skip
    return len(late) > 0


s.run_case(case, FOLDER)
