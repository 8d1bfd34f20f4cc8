"""A VM that the store doesn't answer, while other VMs read the store."""

import json
from types import SimpleNamespace

import pytest
import trio
from result import Err, Ok

from jujuberudder_base import Failure
from jujuberudder_emulator import CONFIGURATION
from jujuberudder_platform import parse_settings
from jujuberudder_platform.__main__ import ADAPTER
from jujuberudder_router import Node, Page, Record, Store
from jujuberudder_router._frames import ReadProgress, StoreCallResult
from jujuberudder_router._relay import make_relay_handler

# Time within which a confirmed configuration is in force, in seconds.
IN_FORCE_S = 2.5
# Interval at which a VM tells its read progress at 72 VMs, in seconds.
PING_S = 1.08
PEERS = ("vm-1", "vm-2", "vm-3")


class SharedStore:
    """Configurations, each readable from its time on."""

    def __init__(self):
        self.records = []

    def publish(self, version):
        """Append a configuration."""
        value = json.dumps(CONFIGURATION | {"version": f"{version:08x}"}).encode()
        self.records.append(Record(len(self.records), ADAPTER.configuration_key, value))

    def connect(self, is_answered, fail):
        """Return a client of the store; ``fail`` runs the calls without an answer."""

        async def read(topic, start, wait_s, on_data=None):
            if not is_answered():
                return await fail(wait_s + 0.5)
            deadline = trio.current_time() + wait_s
            while trio.current_time() < deadline and len(self.records) <= start:
                await trio.sleep(0.01)
                if not is_answered():
                    return await fail(deadline - trio.current_time() + 0.5)
            return Ok(Page(self.records[start:], len(self.records)))

        async def newest(topic, on_data=None):
            if not is_answered():
                return await fail(2.0)
            return Ok(Page(self.records[-1:], len(self.records)))

        return Store(None, read, newest)


async def stay_silent(timeout_s):
    """Fail at the time-out of a call."""
    await trio.sleep(timeout_s)
    return Err(Failure("read", "store", "no answer"))


async def refuse_connections(timeout_s):
    """Fail at the time-out of a connection attempt."""
    await trio.sleep(0.5)
    return Err(Failure("connect", "store", "no connection"))


async def turn_away(timeout_s):
    """Fail at once."""
    return Err(Failure("read", "store", "status 503"))


def make_node(name, store, log=lambda event, **fields: None):
    """Return a node without links, whose tasks do not run."""
    document = {
        "nodeName": name, "zone": "z", "service": "orders", "appAddr": "127.0.0.1:1",
        "listenAddrs": dict.fromkeys(
            ("outbound", "inbound", "ready", "control"), "127.0.0.1:2"
        ),
        "platform": {"address": "127.0.0.1:3"},
    }  # fmt: skip
    return Node(parse_settings(document), ADAPTER, store, log)


def link_to(node, is_silent=False, delay_s=0.004):
    """Return a link that carries store calls to another node and delays the results."""
    handle = make_relay_handler(node)

    async def call_store(payload):
        if is_silent:
            await trio.sleep_forever()
        result, reason = await handle(payload)
        await trio.sleep(delay_s)
        return StoreCallResult(0, result, reason)

    return SimpleNamespace(
        up=delay_s < 1.0, lost=False, round_trip_s=delay_s, call_store=call_store
    )


@pytest.mark.parametrize("silent_peers", [(), ("vm-1",)], ids=["", "silent peer"])
@pytest.mark.parametrize("lost_at", [0.9, 0.999], ids=["before", "at the change"])
@pytest.mark.parametrize("fail", [stay_silent, refuse_connections, turn_away])
async def test_configuration_that_other_vms_have_read_is_in_force_in_time(
    fail, lost_at, silent_peers, autojump_clock, nursery
):
    """Guards against a VM that keeps asking a store that does not answer it."""
    store = SharedStore()
    store.publish(1)
    start = trio.current_time()
    node = make_node(
        "vm-0",
        store.connect(lambda: trio.current_time() < start + lost_at, fail),
    )
    peers = {vm: make_node(vm, store.connect(lambda: True, None)) for vm in PEERS}
    for vm, peer in peers.items():
        node.links[vm] = link_to(peer, vm in silent_peers)
    for one in (node, *peers.values()):
        nursery.start_soon(one.configuration_follower.run)
    await trio.sleep_until(start + 1.0)
    assert node.config_version == 1
    for version in (2, 3, 4):
        published = trio.current_time()
        store.publish(version)
        while node.config_version < version:
            await trio.sleep(PING_S / len(PEERS))
            node.on_pong(
                "vm-1", ReadProgress(operator_end=version), trio.current_time()
            )
            late_s = trio.current_time() - published
            assert late_s <= IN_FORCE_S, (version, node.config_version)
        await trio.sleep_until(published + 5.0)


async def test_configuration_arrives_over_a_full_link(autojump_clock, nursery):
    """Guards against time-outs that are shorter than the queue at a full link.

    Connections to the store take longer than their time-out, and results of relayed
    calls take 1.2 s, as they did on a VM that received more bodies than its link holds.
    """
    store = SharedStore()
    node = make_node("vm-0", store.connect(lambda: False, refuse_connections))
    for vm in PEERS:
        peer = make_node(vm, store.connect(lambda: True, None))
        node.links[vm] = link_to(peer, delay_s=1.2)
    store.publish(1)
    nursery.start_soon(node.configuration_follower.run)
    for version in (2, 3, 4):
        await trio.sleep(6.0)
        store.publish(version)
        await trio.sleep(IN_FORCE_S)
        assert node.config_version == version
