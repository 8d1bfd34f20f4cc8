"""Addresses of lost VMs that now belong to other VMs."""

import pytest
import trio

from jujuberudder_emulator import free_addresses, run_deployment
from jujuberudder_platform import parse_settings
from jujuberudder_platform.__main__ import ADAPTER
from jujuberudder_router import HttpMessage, KeyMap, KeyRange, Node, Service
from jujuberudder_router._frames import NOT_RUN, ForwardRequest

from .test_deregistration import write_entries_at_once


def make_node():
    """Return a node of the keyed service ``jobs`` that owns the keys 0 to 99."""
    addresses = free_addresses(5)
    names = ("outbound", "inbound", "ready", "control")
    document = {
        "nodeName": "vm-a", "zone": "z", "service": "jobs", "appAddr": addresses[4],
        "listenAddrs": dict(zip(names, addresses)),
        "platform": {"address": addresses[4]},
    }  # fmt: skip
    node = Node(parse_settings(document), ADAPTER, None, lambda event, **fields: None)
    services = {name: Service(name, name == "jobs", 9) for name in ("jobs", "orders")}
    node.configuration = type("Found", (), {"services": services, "version": 1})
    ranges = (KeyRange(0, 99, 1, "vm-a", "i@1"), KeyRange(100, 65535, 2, "vm-b", "i@2"))
    node.keymaps["jobs"] = KeyMap("jobs", 3, ranges)
    return node


@pytest.mark.parametrize(
    "service, key, reason, owner",
    [
        ("orders", None, "belongs to jobs", ""),
        ("jobs", 100, "does not own", "vm-b"),
        ("jobs", None, "has none", ""),
    ],
    ids=["another service", "another owner", "no key"],
)
async def test_request_for_another_vm_is_refused(
    autojump_clock, service, key, reason, owner
):
    """Guards against a request that runs at a target of the wrong service or owner."""
    request = ForwardRequest(
        1, "q", b"GET", b"/", [], b"", 1.0, 1.0, 1, key, "c", service, "r"
    )
    node = make_node()
    node.admission.open(4)
    with trio.fail_after(5):
        reply = await node.serve(request, None)
    assert (reply.outcome, reply.owner) == (NOT_RUN, owner)
    assert reason in reply.reason


@pytest.mark.parametrize(
    "target, body, status, leaves",
    [
        ("i", b"", 200, True),
        ("i", b'{"born": 2000}', 200, True),
        ("i", b'{"born": 1000}', 200, False),
        ("j", b"", 200, False),
        ("i", b'{"born": "x"}', 503, False),
        ("i", b"not JSON", 503, False),
    ],
    ids=["no body", "present", "earlier start", "another", "no number", "no JSON"],
)
async def test_deregistration_counts_for_the_process_that_sent_it(
    target, body, status, leaves
):
    """Guards against a target that stops when its predecessor's last call is late.

    Nor does it stop for a call that another writer sent: it is not acknowledged.
    """
    node = make_node()
    write_entries_at_once(node)
    handle = ADAPTER.make_heartbeat_handler(node)
    node.target.id, node.target.started_ms = "i", 2000
    call = HttpMessage(
        b"POST", b"/instances/%s/deregister" % target.encode(), 0, [], body, True
    )
    assert (await handle(call))[0] == status
    assert node.target.leaving == leaves


@pytest.mark.parametrize("service", ["orders", "jobs"])
async def test_keys_of_a_lost_vm_get_an_owner_after_its_address_is_reused(service):
    """Guards against a lost VM that stays reachable through the next at its address."""
    async with run_deployment("jobs", "jobs") as deployment:
        await deployment.wait_until(deployment.serves_keys)
        lost = deployment.vms.pop("vm-0")
        lost.target_scope.cancel()
        lost.node_scope.cancel()
        successor = deployment.add("vm-2", service)
        successor.peer_address = lost.peer_address
        successor.start_node()
        await deployment.wait_until(deployment.serves_keys)
        assert deployment.double_owners() == []
