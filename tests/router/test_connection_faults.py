"""Errors in the connection of one other node."""

import msgspec
import pytest
import trio

from jujuberudder_emulator import run_deployment
from jujuberudder_router import _relay, _sharing, parse_address
from jujuberudder_router._frames import Hello, Ping, StoreCall, Subscribe, encode_frame
from jujuberudder_router._node import Node

STORE_CALL = StoreCall(1, msgspec.msgpack.encode(["newest", "fleet"]))


@pytest.mark.parametrize(
    "owner, function, frame",
    [
        (_sharing.RecordSharing, "_publish_to", Subscribe(0, 0)),
        (Node, "_observe_ends", Ping(1.0)),
        (_relay, "encode_result", STORE_CALL),
    ],
    ids=["subscribe", "ping", "store call"],
)
async def test_error_in_the_connection_of_a_peer_does_not_end_the_node(
    owner, function, frame, monkeypatch
):
    """Guards against requests cut off by a fault that concerns one other node."""

    def fail(*arguments):
        raise KeyError("fault")

    async with run_deployment("orders") as deployment:
        vm = deployment.vms["vm-0"]

        async def serves():
            return (await vm.send_request("/orders/1")).status == 200

        await deployment.wait_until(serves)
        monkeypatch.setattr(owner, function, fail)
        stream = await trio.open_tcp_stream(*parse_address(vm.peer_address))
        await stream.send_all(encode_frame(Hello("vm-9", "1", "vm-0")))
        await stream.receive_some()
        await stream.send_all(encode_frame(frame))
        with trio.fail_after(5):
            while not any("event=connection_fault" in line for line in vm.lines):
                await trio.sleep(0.05)
        assert await serves()
