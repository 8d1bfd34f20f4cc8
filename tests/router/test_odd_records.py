"""Records of the store that can be decoded, but hold unexpected values."""

import msgspec
import pytest
import trio

from jujuberudder_emulator import run_deployment
from jujuberudder_router import VM


@pytest.mark.parametrize(
    "address",
    [
        "", "vm-9", "vm-9:", "vm-9:http", "127.0.0.1:0", "127.0.0.1:70000",
        "127.0.0.1:-1", f"{'9' * 5000}:1", "\u00e9" * 70 + ":1", "a..b:1", "\0:1",
    ],
    ids=lambda address: ascii(address)[:20],
)  # fmt: skip
async def test_odd_address_of_a_vm_does_not_end_the_node(address):
    """Guards against a membership entry that ends each node that dials its address."""
    async with run_deployment("orders") as deployment:
        vm = deployment.vms["vm-0"]

        async def serves():
            return (await vm.send_request("/orders/1")).status == 200

        await deployment.wait_until(serves)
        entry = VM("vm-9", "1", address, "z", "orders", "t@1", 4)
        value = msgspec.msgpack.encode(entry)
        deployment.store.put("keyed.fleet", "vm/vm-9", value)
        with trio.fail_after(5):
            while not any("peer_connect_failed" in line for line in vm.lines):
                await trio.sleep(0.05)
        assert await serves()
