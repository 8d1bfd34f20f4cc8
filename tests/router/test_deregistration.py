"""Targets that deregister before they stop, at a node that has just started."""

import json

import pytest
import trio

from jujuberudder_emulator import run_deployment
from jujuberudder_platform.__main__ import ADAPTER
from jujuberudder_router import HttpMessage

from .test_store_out_of_reach import make_node

# Time after the response to a deregistration from which the users require that the
# target gets no more requests, in seconds.
DRAIN_S = 2.0


def call(verb, target, started_ms, sequence=0):
    """Return a heartbeat that says that the target is ready, or a deregistration."""
    body = {"born": started_ms}
    if started_ms is None:
        body = None
    if verb == "heartbeat":
        body["address"] = "127.0.0.1:1"
        body["info"] = {"service": "orders", "zone": "z", "version": "v", "slots": 4}
        body["status"] = {"state": "ready", "sequence": sequence, "coldRemainingS": 0}
    path = f"/instances/{target}/{verb}".encode()
    data = b"" if body is None else json.dumps(body).encode()
    return HttpMessage(b"POST", path, 0, [], data, True)


def write_entries_at_once(node):
    """Let a node without a store write its membership entry when it changes."""
    membership = node.membership
    membership.announce = lambda: membership._record_written(membership.entry())


@pytest.mark.parametrize("written", [True, False])
@pytest.mark.parametrize(
    "calls, incarnation, leaving",
    [
        ([("deregister", "i", 5), ("heartbeat", "i", 5, 9)], "i@5", True),
        ([("deregister", "i", 5), ("heartbeat", "i", 4, 9)], "i@5", True),
        ([("deregister", "i", 5), ("heartbeat", "h", 4, 9)], "i@5", True),
        ([("deregister", "i", 5), ("heartbeat", "i", 6, 0)], "i@6", False),
        ([("deregister", "i", 5), ("heartbeat", "j", 6, 0)], "j@6", False),
        (
            [("heartbeat", "h", 4, 9), ("deregister", "i", 5), ("heartbeat", "i", 5)],
            "i@5", True,
        ),
        (
            [("heartbeat", "h", 4, 9), ("deregister", "h", 4), ("deregister", "i", 5)],
            "i@5", True,
        ),
        ([("heartbeat", "i", 5, 9), ("deregister", "h", 4)], "i@5", False),
        ([("heartbeat", "i", 5, 9), ("deregister", "i", 4)], "i@5", False),
        ([("deregister", "i", None), ("heartbeat", "i", 5, 9)], "i@5", False),
    ],
    ids=[
        "late heartbeat", "of an earlier start", "of an earlier target",
        "next start", "next target", "unknown target beside a known one",
        "unknown target after one that left",
        "late call of an earlier target", "late call of an earlier start",
        "start not stated",
    ],
)  # fmt: skip
async def test_target_that_deregistered_stays_out_of_use(
    autojump_clock, calls, incarnation, leaving, written
):
    """Guards against a late heartbeat that brings back a target that deregistered.

    Nor is a deregistration acknowledged that is not written.
    """
    left = []

    def log(event, **fields):
        if event == "target_leaves":
            left.append(fields["target"])

    node = make_node("vm-0", None, log)
    if written:
        write_entries_at_once(node)
    handle = ADAPTER.make_heartbeat_handler(node)
    for verb, target, started_ms, *rest in calls:
        status, _, _ = await handle(call(verb, target, started_ms, *rest))
        # A call that identifies no process is not acknowledged.
        applied = f"{target}@{started_ms}" == node.target.incarnation
        refused = verb == "deregister" and applied and not written
        assert status == (503 if started_ms is None or refused else 200)
    assert (node.target.incarnation, node.target.leaving) == (incarnation, leaving)
    assert (left[-1:] == [incarnation]) == leaving
    assert bool(node.admission.closed_reason) == leaving
    entry = node.membership.entry()
    assert (entry.target_incarnation, entry.target_leaving) == (incarnation, leaving)


async def restart(vm):
    """Kill the node of a VM and start it again."""
    vm.node_scope.cancel()
    await trio.sleep(0.1)
    vm.start_node()


@pytest.mark.parametrize("restarts", [0, 1])
async def test_deregistration_after_a_restart_of_the_node(restarts):
    """Guards against requests to a target that deregistered at a new node process.

    Its last heartbeat from before arrives late, and the node may be killed once more
    just after its response.
    """
    async with run_deployment("orders", "orders") as deployment:
        leaving, other = deployment.vms.values()

        async def serves(vm):
            return (await vm.send_request("/orders/1")).status == 200

        async def send_until(end):
            # More requests at a time than one target has slots, so that both are used.
            while trio.current_time() < end:
                async with trio.open_nursery() as nursery:
                    for vm in [leaving, other] * 20:
                        nursery.start_soon(serves, vm)

        for vm in (leaving, other):
            await deployment.wait_until(lambda: serves(vm))
        target = leaving.target
        target.stop_heartbeats()
        await restart(leaving)
        with trio.fail_after(5):
            while await target.deregister() != 200:
                await trio.sleep(0.02)
        acknowledged_at = trio.current_time()
        for _ in range(restarts):
            await restart(leaving)
        await send_until(acknowledged_at + 1.0)
        await target.send_heartbeat()
        await send_until(acknowledged_at + DRAIN_S + 2.0)
        assert all(at < acknowledged_at + DRAIN_S for at in target.arrivals)
        assert await serves(other)
