"""Targets that state in their responses that they are about to stop."""

import pytest
import trio

from jujuberudder_emulator import run_deployment

# Time after such a response from which the users require that the target gets no more
# requests, in seconds.
DRAIN_S = 2.0
LEAVING = [(b"Server-Leaving", b"1")]


@pytest.mark.parametrize(
    "service, key, store_mode",
    [("orders", None, ""), ("orders", None, "silent"), ("jobs", 7, "")],
    ids=["no keys", "no keys, store away", "keys"],
)
async def test_target_that_states_that_it_leaves_gets_no_requests(
    service, key, store_mode
):
    """Guards against requests to a leaving target whose heartbeats do not say so."""
    async with run_deployment(service, service) as deployment:
        vms = list(deployment.vms.values())

        async def serves(vm):
            return (await vm.send_request(f"/{service}/1", key=key)).status == 200

        async def all_serve():
            return all([await serves(vm) for vm in vms])

        await deployment.wait_until(all_serve)
        for vm in vms:
            vm.faults.mode = store_mode
        leaving = next(vm for vm in vms if vm.target.id == deployment.runs[-1].target)
        leaving.target.stated_headers = LEAVING
        count = len(leaving.target.arrivals)
        with trio.fail_after(5):
            while len(leaving.target.arrivals) == count:
                await serves(leaving)
        stated_at = trio.current_time()
        while trio.current_time() < stated_at + DRAIN_S:
            for vm in vms:
                await serves(vm)
            await trio.sleep(0.02)
        for _ in range(20):
            assert await all_serve()
        assert all(t < stated_at + DRAIN_S for t in leaving.target.arrivals)
        assert leaving.target.state == "ready"
        assert deployment.double_owners() == []


async def test_next_start_of_a_target_that_left_gets_requests():
    """Guards against a target that is refused for what its previous start stated."""
    async with run_deployment("orders") as deployment:
        vm = deployment.vms["vm-0"]

        async def serves():
            return (await vm.send_request("/orders/1")).status == 200

        await deployment.wait_until(serves)
        vm.target.stated_headers = LEAVING
        await serves()
        assert not await serves()
        vm.target_scope.cancel()
        await trio.sleep(0.2)
        vm.start_target()
        await deployment.wait_until(serves)


@pytest.mark.parametrize("silent_s", [0.0, 0.6])
@pytest.mark.parametrize("left", [True, False])
async def test_next_process_of_a_node_knows_that_its_target_leaves(left, silent_s):
    """Guards against requests to a leaving target after its node has restarted.

    The heartbeats of the target do not say that it leaves. If the store is silent at
    first, they arrive before the node has read the entry of its earlier process. If the
    target does not leave, the restarted node sends requests to it as before.
    """
    async with run_deployment("orders") as deployment:
        vm = deployment.vms["vm-0"]

        async def serves():
            return (await vm.send_request("/orders/1")).status == 200

        await deployment.wait_until(serves)
        if left:
            vm.target.stated_headers = LEAVING
            await serves()
            vm.target.stated_headers = []
            assert not await serves()
        vm.stopping.set()
        await trio.sleep(4.0)
        count = len(vm.target.arrivals)
        vm.faults.mode = "silent" if silent_s else ""
        vm.start_node()
        await trio.sleep(silent_s)
        vm.faults.mode = ""
        await trio.sleep(4.0)
        assert await serves() != left
        assert (len(vm.target.arrivals) == count) == left
