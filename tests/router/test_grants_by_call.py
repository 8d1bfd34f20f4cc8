"""Keys granted by calls to the target: real nodes on the emulated platform."""

import pytest
import trio

from jujuberudder_emulator import run_deployment


async def wait_for_owner(deployment, limit_s=20.0):
    await deployment.wait_until(deployment.serves_keys, limit_s)


async def test_keys_are_served():
    """Guards against nodes that grant keys by heartbeats only."""
    async with run_deployment("sheets", "sheets", "jobs") as deployment:
        await wait_for_owner(deployment)
        assert deployment.double_owners() == []
        fences = [run.fence for run in deployment.runs if run.service == "sheets"]
        assert fences and None not in fences


@pytest.mark.parametrize("lost, late", [(3, 0), (0, 3)])
async def test_calls_without_a_response(lost, late):
    """Guards against keys that stay unserved after calls without a response.

    It also guards against a second owner, if such a call is applied after newer ones.
    """
    async with run_deployment("sheets", "sheets") as deployment:
        await wait_for_owner(deployment)
        faults = deployment.vms["vm-0"].target.call_faults
        faults.lost, faults.late, faults.delay_s = lost, late, 2.0
        with trio.fail_after(3.0):
            while faults.lost or faults.late:
                await trio.sleep(0.02)
        deployment.vms["vm-0"].target.state = "draining"
        await wait_for_owner(deployment, limit_s=6.0)
        await trio.sleep(1.5)
        assert await deployment.serves_keys()
        assert deployment.double_owners() == []


async def test_leaving_target_hands_its_keys_over():
    """Guards against keys of a leaving target that wait for the end of its grant."""
    async with run_deployment("sheets", "sheets") as deployment:
        await wait_for_owner(deployment)
        leaving = deployment.vms["vm-1"].target
        leaving.state = "draining"
        started = trio.current_time()
        while leaving.granted_ranges(trio.current_time()):
            await trio.sleep(0.01)
        assert trio.current_time() - started < 1.0
        await wait_for_owner(deployment, limit_s=1.5)
        keymap = deployment.store.partition("keyed.fleet").newest["keys/sheets"]
        assert keymap is not None
        assert deployment.double_owners() == []


async def test_restarted_node_grants_again_soon():
    """Guards against keys that stay unserved after a restart of their node."""
    async with run_deployment("sheets", "sheets") as deployment:
        await wait_for_owner(deployment)
        vm = deployment.vms["vm-0"]
        vm.node_scope.cancel()
        await trio.sleep(0.1)
        vm.start_node()
        await wait_for_owner(deployment, limit_s=3.0)
        assert deployment.double_owners() == []


@pytest.mark.parametrize("service", ["jobs", "sheets"])
async def test_target_that_does_not_hold_its_keys_gets_few_requests(service):
    """Guards against a node that keeps sending requests for keys not held.

    The clients are told at once that their requests have not run.
    """
    async with run_deployment(service) as deployment:
        await wait_for_owner(deployment)
        vm = deployment.vms["vm-0"]
        target, before = vm.target, len(vm.target.arrivals)
        target.ignores_grants = True
        target.forget_keys()
        responses, ends = [], []

        async def send(key):
            started = trio.current_time()
            responses.append(await vm.send_request(f"/{service}/x", key=key))
            ends.append(trio.current_time() - started)

        async with trio.open_nursery() as nursery:
            for number in range(100):
                nursery.start_soon(send, number * 600)
                await trio.sleep(0.02)
        assert {response.status for response in responses} == {503}
        assert all(b"retry-after" in response.headers for response in responses)
        assert len(target.arrivals) - before < 25
        assert sorted(ends)[90] < 1.0
        target.ignores_grants = False
        await wait_for_owner(deployment, limit_s=6.0)


async def test_refused_fence_gets_a_higher_one_by_the_key_map():
    """Guards against keys that stay unserved because their target saw a higher fence.

    A node never raises the fence by itself: the next one stands in the key map.
    """
    async with run_deployment("sheets", "sheets") as deployment:
        await wait_for_owner(deployment)
        target = deployment.vms["vm-0"].target
        target.forget_keys()
        seen = max(run.fence for run in deployment.runs) + 2
        target.see_fence(seen)
        await wait_for_owner(deployment, limit_s=8.0)
        served = [run for run in deployment.runs if run.target == target.id]
        assert served[-1].fence >= seen
        assert deployment.double_owners() == []


async def test_target_that_resets_when_full():
    """Guards against a request that is repeated, or refused, after it may have run."""
    async with run_deployment("orders") as deployment:
        vm = deployment.vms["vm-0"]

        async def serves():
            return (await vm.send_request("/orders/1", method=b"POST")).status == 200

        await deployment.wait_until(serves)
        vm.target_scope.cancel()
        await trio.sleep(0.1)  # The port is free once the tasks have ended.
        vm.start_target(work_s=0.3, slots=1)
        vm.target.resets_when_full = True
        await deployment.wait_until(serves)
        responses = []

        async def send():
            responses.append(
                await vm.send_request("/orders/x", method=b"POST", body=b"b")
            )

        async with trio.open_nursery() as nursery:
            for _ in range(30):
                nursery.start_soon(send)
        # The node never sends more than the target has slots, so none is reset.
        assert {response.status for response in responses} <= {200, 503}
        ids = [run.request_id for run in deployment.runs]
        assert len(ids) == len(set(ids))
