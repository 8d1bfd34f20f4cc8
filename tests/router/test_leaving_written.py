"""What a target that is leaving was told counts for the next process of its node."""

import msgspec
import pytest
import trio

from jujuberudder_emulator import run_deployment
from jujuberudder_router import VM, Record
from jujuberudder_router._frames import LeavingNotice
from jujuberudder_router._kept_leavings import enough_keepers

from .test_deregistration import DRAIN_S
from .test_reused_address import make_node as make_keyed_node
from .test_store_out_of_reach import make_node

# Time after the end of an outage within which a call that was not acknowledged is, in
# seconds: the time-outs of two calls to the store.
WRITTEN_S = 5.0
# Faults of a store that takes no writes.
AWAY = ("silent", "busy", "many")


async def say_leaving(vm, verb):
    """Let the target of a VM say that it is leaving; return whether it was told so."""
    if verb == "deregister":
        return await vm.target.deregister() == 200
    vm.target.state = "draining"
    await vm.target.send_heartbeat()
    return "draining" in vm.target.acknowledged


def set_store(deployment, mode):
    """Set the faults of the store for all VMs."""
    for vm in deployment.vms.values():
        vm.faults.lost_responses = 1 if mode == "lost" else 0
        vm.faults.mode = "" if mode == "lost" else mode


async def end_node(vm, how):
    """End the node of a VM."""
    if how == "kill":
        vm.node_scope.cancel()
        await trio.sleep(0.1)
    else:
        vm.stopping.set()
        await trio.sleep(4.0)


async def send_until(vms, end):
    """Send more requests at a time than a target has slots, until a time."""
    while trio.current_time() < end:
        async with trio.open_nursery() as nursery:
            for vm in vms * 10:
                nursery.start_soon(vm.send_request, "/orders/1")


@pytest.mark.parametrize("how", ["kill", "terminate"])
@pytest.mark.parametrize(
    "mode, back",
    [*((m, b) for m in AWAY for b in (True, False)), ("lost", True), ("", True)],
)
@pytest.mark.parametrize("verb", ["deregister", "heartbeat"])
async def test_leaving_that_was_acknowledged_is_known_after_a_restart(
    verb, mode, back, how
):
    """Guards against a node that forgets a leaving which it has acknowledged.

    A heartbeat from before arrives late at its next process; the store has come back by
    then, or has not.
    """
    async with run_deployment("orders", "orders") as deployment:
        vm, other = deployment.vms.values()

        async def serves():
            responses = [await v.send_request("/orders/1") for v in (vm, other)]
            linked = all("peer_link_up" in "".join(v.lines) for v in (vm, other))
            return linked and all(response.status == 200 for response in responses)

        await deployment.wait_until(serves)
        vm.target.stop_heartbeats()
        set_store(deployment, mode)
        assert await say_leaving(vm, verb)
        acknowledged_at = trio.current_time()
        await end_node(vm, how)
        if back:
            set_store(deployment, "")
        vm.start_node()
        await trio.sleep(1.5)
        vm.target.state = "ready"
        await vm.target.send_heartbeat()
        await send_until([vm, other], acknowledged_at + DRAIN_S)
        count = len(vm.target.arrivals)
        await send_until([vm, other], trio.current_time() + 1.0)
        assert len(vm.target.arrivals) == count
        responses = [await other.send_request("/orders/1") for _ in range(10)]
        assert {response.status for response in responses} == {200}
        set_store(deployment, "")

        async def written():
            entry = deployment.store.partition("keyed.fleet").newest["vm/vm-0"][1]
            vm_entry = msgspec.msgpack.decode(entry, type=VM)
            return vm_entry.target_leaving and vm_entry.target_incarnation.startswith(
                vm.target.id
            )

        await deployment.wait_until(written, WRITTEN_S)


async def test_leaving_is_kept_when_all_nodes_restart_in_turn():
    """Guards against an announcement that is lost when its keeper has restarted."""
    async with run_deployment("orders", "orders") as deployment:
        vm, other = deployment.vms.values()

        async def linked():
            return all("peer_link_up" in "".join(v.lines) for v in (vm, other))

        await deployment.wait_until(linked)
        vm.target.stop_heartbeats()
        set_store(deployment, "silent")
        assert await say_leaving(vm, "deregister")
        acknowledged_at = trio.current_time()
        for restarted in (other, vm):
            await end_node(restarted, "kill")
            restarted.start_node()
            await trio.sleep(2.5)
        set_store(deployment, "")
        await trio.sleep(3.0)
        await vm.target.send_heartbeat()
        assert trio.current_time() > acknowledged_at + DRAIN_S
        count = len(vm.target.arrivals)
        await send_until([vm, other], trio.current_time() + 1.5)
        assert len(vm.target.arrivals) == count


async def test_deregistration_at_a_new_node_of_a_keyed_service(autojump_clock):
    """Guards against a queue that is opened without slots.

    The first call that the node gets from its target says that it is leaving.
    """
    node = make_keyed_node()
    assert not await node.handle_deregister("i", 5)
    assert node.admission.closed_reason


@pytest.mark.parametrize("mode", AWAY)
@pytest.mark.parametrize("verb", ["deregister", "heartbeat"])
async def test_leaving_that_nobody_keeps_is_not_acknowledged(verb, mode):
    """Guards against a leaving that is acknowledged and known to one process only.

    It is acknowledged once the store is back.
    """
    async with run_deployment("orders") as deployment:
        vm = deployment.vms["vm-0"]

        async def serves():
            return (await vm.send_request("/orders/1")).status == 200

        await deployment.wait_until(serves)
        set_store(deployment, mode)
        for _ in range(2):
            assert not await say_leaving(vm, verb)
        set_store(deployment, "")
        with trio.fail_after(WRITTEN_S):
            while not await say_leaving(vm, verb):
                await trio.sleep(0.1)


@pytest.mark.parametrize(
    "keepers, others, enough",
    [(0, 0, False), (0, 1, False), (1, 1, True), (1, 2, False), (2, 2, True)]
    + [(1, 9, False), (2, 9, True), (3, 9, True)],
)
def test_enough_keepers(keepers, others, enough):
    """Guards against an announcement that is lost with one VM."""
    assert enough_keepers(keepers, others) == enough


ENTRY = VM("vm-1", "p", "127.0.0.1:1", "z", "orders", "i@5")


def changed_entry(**fields):
    """Return the entry with other fields."""
    return msgspec.structs.replace(ENTRY, **fields)


@pytest.mark.parametrize(
    "announced, entry, kept, leaving",
    [
        (["i@5"], ENTRY, "i@5", True),
        (["i@5"], changed_entry(leaving=True, target_leaving=True), None, False),
        (["i@5"], changed_entry(target_incarnation="j@6"), None, False),
        (["i@5"], changed_entry(target_incarnation="h@4"), "i@5", False),
        (["i@5", "h@4"], ENTRY, "i@5", True),
        (["h@4", "i@5"], ENTRY, "i@5", True),
        (["j@6"], ENTRY, "j@6", False),
        ([], ENTRY, None, False),
    ],
    ids=[
        "not written", "written", "later start", "late entry", "late announcement",
        "two starts", "not announced as ready", "nothing kept",
    ],
)  # fmt: skip
async def test_kept_leaving_counts_until_the_store_has_it(
    autojump_clock, announced, entry, kept, leaving
):
    """Guards against a kept announcement that ends too early, or never."""
    node = make_node("vm-0", None)
    node.vms.put(ENTRY)
    for incarnation in announced:
        node.on_leaving_notice(LeavingNotice("vm-1", incarnation))
    node.membership.apply(Record(1, "vm/vm-1", msgspec.msgpack.encode(entry)))
    assert node.leavings.kept("vm-1") == kept
    assert node.vms.get("vm-1").leaving == (leaving or entry.target_leaving)


@pytest.mark.parametrize("verb", ["deregister", "heartbeat"])
async def test_keys_stay_with_a_leaving_target_while_the_store_is_away(verb):
    """Guards against keys that a target releases though nobody can be given them.

    They are handed over when the store is back.
    """
    async with run_deployment("jobs", "jobs") as deployment:
        vm, other = deployment.vms.values()
        await deployment.wait_until(deployment.serves_keys)
        held = vm.target.granted_ranges(trio.current_time())
        set_store(deployment, "silent")
        assert not await say_leaving(vm, verb)
        assert vm.target.granted_ranges(trio.current_time()).keys() == held.keys()
        key = next(iter(held))[0]
        for _ in range(10):
            response = await other.send_request("/jobs/1", key=key)
            assert response.status == 200
        set_store(deployment, "")
        with trio.fail_after(WRITTEN_S):
            while not await say_leaving(vm, verb):
                await trio.sleep(0.1)
        await deployment.wait_until(deployment.serves_keys)
        assert other.target.granted_ranges(trio.current_time())
        assert deployment.double_owners() == []


@pytest.mark.parametrize("mode", ["silent", "busy"])
async def test_heartbeats_of_a_ready_target_do_not_wait_for_the_store(mode):
    """Guards against a store that is away and takes the service of a target with it."""
    async with run_deployment("jobs", "jobs") as deployment:
        await deployment.wait_until(deployment.serves_keys)
        set_store(deployment, mode)
        started = trio.current_time()
        while trio.current_time() < started + 5.0:
            assert await deployment.serves_keys()
            await trio.sleep(0.1)
