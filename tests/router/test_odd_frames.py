"""Frames of other nodes that can be decoded, but hold unexpected values."""

import msgspec
import pytest
import trio

from jujuberudder_emulator import run_deployment
from jujuberudder_router import parse_address
from jujuberudder_router._frames import Hello, StoreCall, encode_frame


@pytest.mark.parametrize(
    "call",
    [
        [], ["read"], ["newest", "nowhere"], ["newest", ["fleet"]], [["newest"]],
        ["read", "fleet", 0, float("nan")], ["read", "fleet", "0", 0.0],
        ["append", "fleet", "k" * 256, b"v", None], ["append", "fleet", 1, 2, 3],
    ],
    ids=lambda call: repr(call)[:30],
)  # fmt: skip
async def test_odd_store_call_of_a_peer_does_not_end_the_node(call):
    """Guards against a store call of a peer that ends the node and its requests."""
    async with run_deployment("orders") as deployment:
        vm = deployment.vms["vm-0"]

        async def serves():
            return (await vm.send_request("/orders/1")).status == 200

        await deployment.wait_until(serves)
        stream = await trio.open_tcp_stream(*parse_address(vm.peer_address))
        await stream.send_all(encode_frame(Hello("vm-9", "1", "vm-0")))
        await stream.receive_some()
        await stream.send_all(encode_frame(StoreCall(1, msgspec.msgpack.encode(call))))
        with trio.move_on_after(3):
            await stream.receive_some()
        assert await serves()
