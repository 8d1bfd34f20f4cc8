"""Records of the store that can be decoded, but hold unexpected values."""

import json

import msgspec
import pytest
import trio

from jujuberudder_emulator import run_deployment
from jujuberudder_router import VM, ConnectionPool, KeyMap, KeyRange, Record
from jujuberudder_router._frames import FrameBuffer, encode_frame
from jujuberudder_router._http import dial

from .test_store_out_of_reach import make_node

ODD_ADDRESSES = [
    "", "vm-9", "vm-9:", "vm-9:http", "127.0.0.1:0", "127.0.0.1:70000",
    "127.0.0.1:-1", f"{'9' * 5000}:1", "\u00e9" * 70 + ":1", "a..b:1", "\0:1",
]  # fmt: skip


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda a: ascii(a)[:20])
async def test_odd_address_cannot_be_dialed(address):
    """Guards against an address whose error ends the task that dials it."""
    with pytest.raises(OSError):
        await dial(address, 1.0, 1.0)


@pytest.mark.parametrize("address", ODD_ADDRESSES, ids=lambda a: ascii(a)[:20])
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
            while not any("record_unreadable" in line for line in vm.lines):
                await trio.sleep(0.05)
        await trio.sleep(0.5)
        assert not any("peer_connect_failed" in line for line in vm.lines)
        assert await serves()


def key_map(*ranges, next_fence=2):
    """Return a key map of ranges (start, end, fence) of two VMs."""
    key_ranges = [KeyRange(*r, f"vm-{n}", f"t{n}@1") for n, r in enumerate(ranges)]
    return KeyMap("orders", next_fence, tuple(key_ranges))


@pytest.mark.parametrize(
    "odd",
    [
        key_map(next_fence=2**64 - 1),
        key_map(next_fence=-1),
        key_map((0, 9, 5)),
        key_map((0, 9, -1)),
        key_map((-1, 9, 1)),
        key_map((0, 65536, 1)),
        key_map((9, 0, 1)),
        key_map((5, 9, 1), (0, 4, 1)),
        key_map((0, 9, 1), (9, 12, 1)),
    ],
    ids=repr,
)
def test_odd_key_map_is_not_applied(odd):
    """Guards against a key map that ends all nodes of its service, or has two owners.

    A fence that cannot be raised and written ends the task that changes the key map.
    """
    events = []

    async def apply():
        node = make_node("vm-0", None, lambda event, **fields: events.append(event))
        for offset, keymap in enumerate((key_map((0, 9, 1)), odd)):
            value = msgspec.msgpack.encode(keymap)
            node.membership.apply(Record(offset, "keys/orders", value))
        assert node.keymaps["orders"] == key_map((0, 9, 1))

    trio.run(apply)
    assert events == ["key_map", "record_unreadable"]


@pytest.mark.parametrize("field", ["slots", "sequence"])
async def test_odd_count_in_a_heartbeat_does_not_end_the_node(field):
    """Guards against a heartbeat of another writer that ends the node beside it.

    Its slots go into the membership entry and into the loads for other nodes, where a
    number of more than 64 bits cannot be written.
    """
    async with run_deployment("orders") as deployment:
        vm = deployment.vms["vm-0"]

        async def serves():
            return (await vm.send_request("/orders/1")).status == 200

        await deployment.wait_until(serves)
        counts = {"slots": 4, "sequence": 1000} | {field: 10**30}
        body = json.dumps(
            {
                "born": vm.target.started_ms,
                "address": vm.target_address,
                "info": {
                    "service": "orders", "version": "v1", "zone": "z",
                    "slots": counts["slots"],
                },
                "status": {
                    "state": "ready", "sequence": counts["sequence"],
                    "coldRemainingS": 0,
                },
            }
        ).encode()  # fmt: skip
        pool = ConnectionPool(vm.heartbeat_address, 1.0, 1.0)
        await pool.exchange(
            b"POST /instances/%s/heartbeat HTTP/1.1\r\ncontent-length: %d\r\n\r\n%s"
            % (vm.target.id.encode(), len(body), body),
            "beat",
        )
        await trio.sleep(0.5)
        assert await serves()


async def test_key_map_is_not_sent_while_all_records_are_read_again():
    """Guards against a frame that no node can decode, so that it closes the link.

    Older records may be removed while a change of the key map is being written.
    """
    node, sent = make_node("vm-0", None), []
    node.peers.send_soon = lambda vm, frame: sent.append(frame)
    node.membership_follower.end = None
    node.ownership._inform(KeyMap("orders"), key_map((0, 9, 1), (10, 19, 1)), 5)
    for frame in sent:
        FrameBuffer().feed(encode_frame(frame))
