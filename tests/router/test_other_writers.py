"""Heartbeats, deregistrations and entries of the store that another writer sent."""

import json
import time

import msgspec
import pytest
import trio

from jujuberudder_emulator import run_deployment
from jujuberudder_platform.__main__ import ADAPTER
from jujuberudder_router import VM, ConnectionPool, HttpMessage, KeyMap, Record
from jujuberudder_router._ownership import SAFETY_MARGIN_S

from .test_deregistration import write_entries_at_once
from .test_reused_address import make_node

MISSING = object()
# Start of the sound target, and of another one that started later, in ms.
START_MS = int(time.time() * 1000) - 60_000
LATER_MS = START_MS + 30_000
DAY_MS = 86_400_000
NO_STRING = [MISSING, None, 5, True, [], {}]
NO_COUNT = [MISSING, None, "4", 1.5, True, [], {}, -1, 2**64, 10**30]
NO_LIST = [None, 5, "[]", {}, [[]], [[0]], [[0, 9]], [0, 9, "t"]]
# Values of each field that no target states.
ODD_VALUES = {
    "address": [*NO_STRING, "", "x", ":1", "127.0.0.1", "127.0.0.1:0", "127.0.0.9:1"],
    "born": [*NO_COUNT, 0, str(START_MS), START_MS + DAY_MS, 2**62],
    "info": [*NO_STRING, ""],
    "info.service": [*NO_STRING, "", "orders"],
    "info.version": NO_STRING,
    "info.zone": [*NO_STRING, "", "y"],
    "info.slots": [*NO_COUNT, 0, 2**31],
    "status": [*NO_STRING, ""],
    "status.state": [*NO_STRING, "", "asleep", "READY"],
    "status.sequence": [*NO_COUNT, 2**62],
    "status.coldRemainingS": [MISSING, None, "0", True, [], -1, 1e9, 10**400],
    "holds": [*NO_LIST, [[9, 0, 1]], [[0, 65536, 1]], [[0, 9, -1]], [[0, 9, "t"]]],
    "freed": [*NO_LIST, [[9, 0, "t"]], [[0, 65536, "t"]], [[0, 9, 1]], [[0, 9, None]]],
}
ODD_FIELDS = [(field, value) for field in ODD_VALUES for value in ODD_VALUES[field]]


def heartbeat(address, started_ms=START_MS, sequence=5, state="ready", **fields):
    """Return the document of a heartbeat."""
    return {
        "address": address, "born": started_ms, "holds": [], "freed": [],
        "info": {"service": "jobs", "version": "v1", "zone": "z", "slots": 4},
        "status": {"state": state, "sequence": sequence, "coldRemainingS": 0},
    } | fields  # fmt: skip


def change(document, field, value):
    """Return a document with one field changed or removed."""
    document = json.loads(json.dumps(document))
    *parents, last = field.split(".")
    parent = document
    for name in parents:
        parent = parent[name]
    parent[last] = value
    if value is MISSING:
        del parent[last]
    return document


def call(verb, target, document):
    """Return a call of a target; a document of bytes is its body as it is."""
    body = document if isinstance(document, bytes) else json.dumps(document).encode()
    path = f"/instances/{target}/{verb}".encode()
    return HttpMessage(b"POST", path, 0, [], body, True)


async def make_node_with_target():
    """Return a node, the handler of its target's calls, and the target's address."""
    node = make_node()
    handle = ADAPTER.make_heartbeat_handler(node)
    address = node.settings.target_address
    status, _, _ = await handle(call("heartbeat", "i", heartbeat(address)))
    assert status == 200
    # As if the target had been granted keys.
    now = trio.current_time()
    node.target.held.confirm(0, 99, 1, now + 2.4, now + 2.5)
    return node, handle, address


def state_of(node):
    """Return what a node believes of its target."""
    target, now = node.target, trio.current_time()
    return (
        target.incarnation, target.sequence, target.leaving, target.slots,
        target.heartbeat_at, node.admission.closed_reason, target.held.usable,
        target.held.possible(now), node.ownership._released,
    )  # fmt: skip


def describe(value):
    """Return the id of a test case."""
    return "missing" if value is MISSING else ascii(value)[:24]


@pytest.mark.parametrize("state", ["ready", "draining"])
@pytest.mark.parametrize("target", ["i", "i-other"])
@pytest.mark.parametrize("field, value", ODD_FIELDS, ids=describe)
async def test_odd_heartbeat_changes_nothing(
    autojump_clock, field, value, target, state
):
    """Guards against a heartbeat of another writer that replaces the sound target."""
    node, handle, address = await make_node_with_target()
    before = state_of(node)
    started_ms, freed = START_MS, [[0, 99, "token"]]
    if target == "i-other":
        started_ms = LATER_MS
    document = heartbeat(address, started_ms, 6, state, freed=freed)
    status, _, body = await handle(
        call("heartbeat", target, change(document, field, value))
    )
    assert (status, body) in ((400, b"{}"), (503, b"{}"))
    assert state_of(node) == before
    # The heartbeats of the sound target count as before.
    await trio.sleep(0.87)
    status, _, _ = await handle(call("heartbeat", "i", heartbeat(address, sequence=6)))
    assert (status, node.target.sequence) == (200, 6)
    assert node.target.heartbeat_at == trio.current_time()
    assert not node.admission.closed_reason


@pytest.mark.parametrize("target", ["i", "i-other", ""])
@pytest.mark.parametrize(
    "body",
    [b"\xff", b"not JSON", b"[]", b"5", b'"born"', b"{}", b"[" * 5000]
    + [
        {"born": value} for value in ODD_VALUES["born"] if value is not MISSING
    ],
    ids=describe,
)  # fmt: skip
async def test_odd_deregistration_changes_nothing(autojump_clock, body, target):
    """Guards against a deregistration of another writer that ends the sound target."""
    node, handle, _ = await make_node_with_target()
    before = state_of(node)
    status, _, _ = await handle(call("deregister", target, body))
    assert status == 503
    assert state_of(node) == before


@pytest.mark.parametrize(
    "target",
    ["", "a" * 300, "\u00e9"],
    ids=["empty", "long", "no ASCII"],
)
async def test_odd_id_changes_nothing(autojump_clock, target):
    """Guards against an id that no request to the target can name."""
    node, handle, address = await make_node_with_target()
    before = state_of(node)
    document = heartbeat(address, LATER_MS)
    path = b"/instances/%s/heartbeat" % target.encode("latin-1")
    message = HttpMessage(b"POST", path, 0, [], json.dumps(document).encode(), True)
    assert (await handle(message))[0] == 400
    assert state_of(node) == before


async def test_sequence_number_that_the_target_has_not_reached(autojump_clock):
    """Guards against heartbeats of the sound target that count as late for ever.

    Another writer stated a sequence number that the target may have reached.
    """
    node, handle, address = await make_node_with_target()
    await handle(call("heartbeat", "i", heartbeat(address, sequence=500)))
    used = []
    for sequence in range(6, 12):
        await trio.sleep(0.87)
        await handle(call("heartbeat", "i", heartbeat(address, sequence=sequence)))
        used.append(node.target.heartbeat_at == trio.current_time())
    assert used == [False, False, True, True, True, True]


@pytest.mark.parametrize("state", ["ready", "draining"])
@pytest.mark.parametrize("released", [[], [[0, 65535, "token"]]])
async def test_new_incarnation_frees_no_keys(autojump_clock, released, state):
    """Guards against keys for others while the last incarnation may hold them."""
    node, handle, address = await make_node_with_target()
    write_entries_at_once(node)
    ownership, ends_at = node.ownership, trio.current_time() + 2.5
    document = heartbeat(address, LATER_MS, 1, state, freed=released)
    await handle(call("heartbeat", "i-other", document))
    assert node.target.incarnation == f"i-other@{LATER_MS}"
    assert node.target.gives_up_keys == (state == "draining")
    assert node.target.held.expiry(0, 99) == ends_at
    assert not node.target.held.covers(50, trio.current_time())
    for now in (trio.current_time(), ends_at - 0.01):
        assert ownership._other_releases(now, []) == []
        assert (0, 99) in ownership.view(now).earlier_held
    assert ownership.view(ends_at).earlier_held == []
    freed = ownership._other_releases(ends_at + SAFETY_MARGIN_S + 0.01, [])
    assert [(r.start, r.end) for r in freed] == [(0, 99)]


async def post(vm, verb, target, document):
    """Send a call of a target to a node; return the status of the response."""
    body = json.dumps(document).encode()
    head = f"POST /instances/{target}/{verb} HTTP/1.1\r\ncontent-length: {len(body)}"
    response = await ConnectionPool(vm.heartbeat_address, 1.0, 1.0).exchange(
        head.encode() + b"\r\n\r\n" + body, verb
    )
    return response.status


async def test_heartbeat_without_address_gives_no_key_two_owners():
    """Guards against a heartbeat without address that frees the keys of a target.

    Other VMs were granted them while the sound target still held them.
    """
    async with run_deployment("jobs", "jobs") as deployment:
        await deployment.wait_until(deployment.serves_keys)
        vm, other = deployment.vms.values()
        held = vm.target.granted_ranges(trio.current_time())
        document = heartbeat(MISSING, int(time.time() * 1000), 1, "draining")
        del document["address"]
        await post(vm, "heartbeat", "i-other", document)
        ends_at = trio.current_time() + 4.0
        while (now := trio.current_time()) < ends_at:
            assert all(
                end < start or stop < low
                for low, end in vm.target.granted_ranges(now)
                for start, stop in other.target.granted_ranges(now)
            )
            await trio.sleep(0.05)
        assert vm.target.granted_ranges(ends_at).keys() == held.keys()
        assert await deployment.serves_keys()


ENTRY = VM("vm-b", "1", "127.0.0.1:5", "z", "jobs", "i@2", 4)


@pytest.mark.parametrize(
    "value",
    [
        b"\xff", b"\x90", msgspec.msgpack.encode({}), msgspec.msgpack.encode("vm-b"),
        *(
            msgspec.msgpack.encode(msgspec.structs.replace(ENTRY, **fields))
            for fields in (
                {"name": "vm-c"}, {"name": 5}, {"node_incarnation": ""},
                {"address": ""}, {"address": "vm-b:http"}, {"address": "127.0.0.1:0"},
                {"address": "127.0.0.1:70000"}, {"address": "a..b:1"},
                {"zone": ""}, {"zone": None}, {"service": ""}, {"slots": -1},
                {"slots": 2**40}, {"slots": "4"}, {"leaving": 1},
                {"target_leaving": "x"}, {"target_incarnation": 7},
                {"link_mbps": -1.0}, {"link_mbps": float("nan")},
            )
        ),
    ],
    ids=describe,
)  # fmt: skip
async def test_odd_entry_changes_nothing(autojump_clock, value):
    """Guards against an entry of another writer that replaces that of a sound VM."""
    node = make_node()
    node.membership.apply(Record(1, "vm/vm-b", msgspec.msgpack.encode(ENTRY)))
    node.membership.apply(Record(2, "vm/vm-b", value))
    assert node.vms.get("vm-b") == ENTRY


async def test_key_map_of_another_service_is_not_applied(autojump_clock):
    """Guards against a key map that takes the keys of another service."""
    node = make_node()
    known = node.keymaps["jobs"]
    value = msgspec.msgpack.encode(KeyMap("orders", 9))
    node.membership.apply(Record(1, "keys/jobs", value))
    assert node.keymaps["jobs"] is known


@pytest.mark.parametrize("value", [b"", b"\xff"], ids=["deleted", "unreadable"])
async def test_entry_that_another_writer_replaced_is_written_again(value):
    """Guards against a VM that nodes do not know of that start later."""
    async with run_deployment("orders") as deployment:
        vm = deployment.vms["vm-0"]

        async def serves():
            return (await vm.send_request("/orders/1")).status == 200

        await deployment.wait_until(serves)
        newest = deployment.store.partition("keyed.fleet").newest
        deployment.store.put("keyed.fleet", "vm/vm-0", value)

        async def written():
            offset, entry = newest.get("vm/vm-0", (0, b""))
            return entry not in (b"", b"\xff")

        await deployment.wait_until(written, 5.0)
        assert await serves()
