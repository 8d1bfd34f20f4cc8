"""Frames of other nodes that can be decoded, but hold unexpected values."""

from types import SimpleNamespace

import msgspec
import pytest
import trio
from result import Err

from jujuberudder_base import Failure
from jujuberudder_emulator import run_deployment
from jujuberudder_router import VM, Store, parse_address
from jujuberudder_router._frames import (
    Hello,
    Pong,
    StoreCall,
    StoreCallResult,
    encode_frame,
)
from jujuberudder_router._peer_link import LinkCallbacks, PeerLink

from .test_store_out_of_reach import make_node


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


@pytest.mark.parametrize(
    "result",
    [
        [], ["page"], ["page", 1], ["page", "1", []], ["page", 1, [[1]]],
        ["page", 1, [[1, "k", None]]], ["page", 2**63, []], ["page", -1, []],
        ["conflict", None], ["newest", 1], 7,
    ],
    ids=repr,
)  # fmt: skip
async def test_odd_result_of_a_relayed_call_is_a_failed_call(result):
    """Guards against a peer's result of a store call that ends the node.

    An exception out of the call ends the task that reads the topic.
    """
    events = []

    async def fail(*arguments, **callbacks):
        return Err(Failure("newest", "store", "status 503"))

    async def call_store(payload):
        return StoreCallResult(1, msgspec.msgpack.encode(result))

    node = make_node(
        "vm-0", Store(fail, fail, fail), lambda event, **fields: events.append(event)
    )
    node.links["vm-1"] = SimpleNamespace(
        up=True, lost=False, round_trip_s=0.0, call_store=call_store
    )
    await node.store.newest("fleet")
    assert isinstance(await node.store.newest("fleet"), Err)
    assert "relay_failed" in events


@pytest.mark.parametrize("sent_at", [float("nan"), float("inf"), -1.0, 1e300])
async def test_pong_to_no_ping_is_ignored(sent_at):
    """Guards against a pong that ends the node by a time-out that is no number.

    One from the future would also renew leases by a read that was not sent yet.
    """
    events, progress = [], []
    callbacks = LinkCallbacks(
        lambda: 0.5, None, None, lambda *values: progress.append(values), None,
        lambda vm, load: None, lambda event, **fields: events.append(event),
    )  # fmt: skip
    vm = VM("vm-1", "1", "127.0.0.1:1", "z", "orders")
    link = PeerLink(vm, Hello("vm-0", "1", "vm-1"), callbacks)
    link._handle_frame(Pong(sent_at))
    assert (link.round_trip_s, progress, events) == (0.0, [], ["pong_unreadable"])
    link._handle_frame(Pong(trio.current_time()))
    assert len(progress) == 1
