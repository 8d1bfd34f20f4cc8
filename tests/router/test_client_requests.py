"""Handling of client requests, with scripted replies of the other VMs."""

from types import SimpleNamespace

import pytest
import trio

from jujuberudder_platform.__main__ import ADAPTER
from jujuberudder_router import (
    Configuration,
    HttpMessage,
    KeyMap,
    KeyRange,
    Limits,
    Route,
    WeightedService,
)
from jujuberudder_router._choice import Candidate
from jujuberudder_router._client_requests import make_client_handler
from jujuberudder_router._frames import ANSWERED, NOT_RUN, UNKNOWN, ForwardReply
from jujuberudder_router._routes import RetryBudget, TrafficSplitter, order_routes

OK = ForwardReply(0, ANSWERED, 200, [], b"done")
ERROR = ForwardReply(0, ANSWERED, 500, [], b"failed")
BUSY = ForwardReply(0, NOT_RUN, reason="queue", retry_after_s=0.25)
CLOSED = ForwardReply(0, NOT_RUN, reason="closed")
SHED = ForwardReply(0, NOT_RUN, reason="shed", reached_target=True)
IN_DOUBT = ForwardReply(0, UNKNOWN, reason="reset")
MOVED = ForwardReply(0, NOT_RUN, reason="not the owner", owner="b")


def make_node(replies, keyed=False, retryable=True, slack=100):
    """Return a node with scripted replies of its VMs, and the list of VMs sent to."""
    sent_to = []

    async def forward(vm, request, hold):
        sent_to.append(vm)
        await trio.sleep(0.001)
        return replies[vm].pop(0) if len(replies[vm]) > 1 else replies[vm][0]

    route = Route("r", "h", "/", (WeightedService("s", 1),), retryable, 1.0, 0.5, 2, 1)
    node = SimpleNamespace(
        adapter=ADAPTER, log=lambda event, **fields: None,
        metrics=SimpleNamespace(
            count=lambda event: None, observe=lambda name, value, route=None: None
        ),
        settings=SimpleNamespace(vm="self", service="s"),
        configuration=Configuration(1, order_routes([route]), {}, Limits()),
        config_version=1, splitter=TrafficSplitter(),
        retry_budget=RetryBudget(0.2, slack, 10.0), vms=dict.fromkeys(replies),
        is_keyed=lambda service: keyed, drain_deadline=None, active_scopes=set(),
        stopping=False, hedging=None,
        owner_may_change=lambda service, key: True,
        accepts_requests=lambda vm: vm in replies, jitter=lambda: 0.0,
        candidates=lambda service, refused=(), route=None: [
            Candidate(vm, True, 0, 0, 4, 0.1, 0, 0.0)
            for vm in replies
            if vm not in refused
        ],
        keymaps={"s": KeyMap("s", 2, (KeyRange(0, 65535, 1, "a", "i@1"),))},
        peers=SimpleNamespace(forward=forward),
        draw_other_vm=lambda service, refused: None,
        record_result=lambda vm, success: None, entry_room=None,
        evacuated=lambda service: False,
    )  # fmt: skip
    return node, sent_to


MESSAGE = HttpMessage(
    b"GET", b"/x", 0,
    [
        (b"host", b"h"), (b"jujuberudder-request-id", b"q"),
        (b"jujuberudder-shard-key", b"7"),
    ],
    b"", True,
)  # fmt: skip


@pytest.mark.parametrize(
    "script, options, status, expected_vms",
    [
        ({"a": [OK]}, {}, 200, "a"),
        ({"a": [BUSY], "b": [OK]}, {}, 200, "ab"),
        ({"a": [BUSY], "b": [BUSY]}, {}, 503, "ab"),
        ({vm: [BUSY] for vm in "abcdefgh"}, {}, 503, "abc"),
        ({"a": [BUSY], "b": [CLOSED], "c": [BUSY], "d": [OK]}, {}, 200, "abcd"),
        ({"a": [SHED], "b": [OK]}, {}, 200, "ab"),
        ({"a": [SHED], "b": [OK]}, {"slack": 0}, 503, "a"),
        ({"a": [IN_DOUBT], "b": [OK]}, {}, 200, "ab"),
        ({"a": [IN_DOUBT], "b": [OK]}, {"retryable": False}, 502, "a"),
        ({"a": [IN_DOUBT], "b": [BUSY]}, {}, 502, "ab"),
        ({"a": [ERROR], "b": [OK]}, {}, 200, "ab"),
        ({"a": [ERROR], "b": [BUSY]}, {}, 500, "ab"),
        ({"a": [ERROR], "b": [OK]}, {"retryable": False}, 500, "a"),
        ({"a": [MOVED], "b": [OK]}, {"keyed": True}, 200, "ab"),
        ({"a": [MOVED], "b": [MOVED, OK]}, {"keyed": True}, 200, "abb"),
        ({"a": [CLOSED, CLOSED, OK]}, {"keyed": True}, 200, "aaa"),
        ({"a": [BUSY]}, {"keyed": True}, 503, "a"),
        ({"a": [IN_DOUBT]}, {"keyed": True}, 502, "a"),
        ({}, {}, 503, ""),
    ],
    ids=[
        "answered", "busy, then served by another VM", "all VMs busy",
        "many VMs busy", "busy twice, then served",
        "shed, then served by another VM", "shed without retry budget",
        "in doubt, retried", "in doubt, not retryable", "in doubt, then busy",
        "error, retried", "error, then busy", "error, not retryable",
        "owner hint", "repeated owner hint", "owner closed", "owner busy",
        "owner in doubt", "no VM",
    ],
)  # fmt: skip
async def test_response_and_retries(
    autojump_clock, script, options, status, expected_vms
):
    """Guards against wrong responses and wrong retries after a reply of a VM.

    A 503 must mean that the request has not run, a request that is not retryable must
    not run twice, and a previous owner must not get a request again and again.
    """
    node, sent_to = make_node({vm: list(r) for vm, r in script.items()}, **options)
    response_status, headers, _ = await make_client_handler(node)(MESSAGE)
    assert (response_status, "".join(sent_to)) == (status, expected_vms)
    assert (b"Retry-After" in dict(headers)) == (status == 503)


def stopping(node_s):
    """Return the refusal of a node that stops."""
    return ForwardReply(0, NOT_RUN, reason="the node stops", node_s=node_s)


@pytest.mark.parametrize(
    "script, status, expected_vms",
    [
        ({"a": [stopping(2.0)], "b": [OK]}, 200, "ab"),
        ({"a": [stopping(2.0), OK]}, 200, "aA"),
        ({"a": [stopping(2.0), OK], "b": [stopping(3.0), OK]}, 200, "abB"),
        ({"a": [stopping(2.0), OK], "b": [stopping(3.0)]}, 200, "abBA"),
        ({vm: [stopping(2.0)] for vm in "abcde"}, 503, "abcdeEDC"),
        ({"a": [stopping(2.0), OK], "b": [BUSY]}, 200, "abA"),
        ({"a": [stopping(2.0), OK], **dict.fromkeys("bcde", [BUSY])}, 200, "abcdA"),
        ({"a": [stopping(2.0), BUSY], **dict.fromkeys("bcde", [BUSY])}, 503, "abcdA"),
        ({"a": [stopping(2.0), OK], "b": [IN_DOUBT, BUSY]}, 200, "abA"),
    ],
    ids=[
        "another VM", "the only VM", "the VM that stops last", "the next one",
        "all stop too early",
        "the others are busy", "many others are busy", "it is busy as well",
        "after a retry",
    ],
)  # fmt: skip
async def test_stopping_vm_takes_a_request_that_no_other_does(
    script, status, expected_vms, autojump_clock
):
    """Guards against 503 for a request that a VM which stops can still serve.

    VMs in capitals are told that no other VM takes it, and are told so only once.
    """
    node, _ = make_node({vm: list(replies) for vm, replies in script.items()})
    node.stopping, forward, sent_to = False, node.peers.forward, []

    async def record(vm, request, hold):
        sent_to.append(vm.upper() if request.no_other_vm else vm)
        return await forward(vm, request, hold)

    node.peers.forward = record
    response_status, _, _ = await make_client_handler(node)(MESSAGE)
    assert (response_status, "".join(sent_to)) == (status, expected_vms)


RETURNED = ForwardReply(0, NOT_RUN, reason="slow", returned=True)


@pytest.mark.parametrize(
    "script, options, status, expected_vms",
    [
        ({"a": [RETURNED], "b": [OK]}, {}, 200, "Ab"),
        ({"a": [OK]}, {}, 200, "a"),
        ({"a": [RETURNED], "b": [BUSY], "c": [BUSY], "d": [OK]}, {}, 200, "Abcd"),
        ({"a": [RETURNED, OK], "b": [CLOSED]}, {}, 200, "Aba"),
        ({"a": [RETURNED, BUSY], "b": [CLOSED]}, {}, 503, "Aba"),
        ({"a": [RETURNED], "b": [OK]}, {"slack": 0}, 200, "Ab"),
        ({"a": [CLOSED], "b": [OK]}, {}, 200, "Ab"),
        ({"a": [OK], "b": [OK]}, {"keyed": True}, 200, "a"),
    ],
    ids=[
        "another VM", "no other VM", "not counted as a queue", "the other VM is closed",
        "none takes it", "no retry budget", "refused, not returned", "a key",
    ],
)  # fmt: skip
async def test_request_is_returned_by_a_slow_target_once(
    script, options, status, expected_vms, autojump_clock
):
    """Guards against requests that are passed on again and again, or lost so.

    VMs in capitals may return the request.
    """
    node, _ = make_node(
        {vm: list(replies) for vm, replies in script.items()}, **options
    )
    forward, sent_to = node.peers.forward, []

    async def record(vm, request, hold):
        sent_to.append(vm.upper() if request.may_return else vm)
        return await forward(vm, request, hold)

    node.peers.forward = record
    response_status, _, _ = await make_client_handler(node)(MESSAGE)
    assert (response_status, "".join(sent_to)) == (status, expected_vms)


@pytest.mark.parametrize("has_nursery", [False, True])
async def test_request_that_is_cut_off_is_logged_with_its_cause(
    autojump_clock, has_nursery
):
    """Guards against requests that end without a response and without a log line."""
    node, _ = make_node({"a": [OK]})
    lines = []
    node.log = lambda event, **fields: lines.append((event, fields))

    async def forward(vm, request, hold):
        async with trio.open_nursery() as nursery:
            if has_nursery:
                nursery.start_soon(trio.sleep_forever)
            await trio.sleep_forever()

    node.peers.forward = forward
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(make_client_handler(node), MESSAGE)
            await trio.sleep(0.5)
            scope.cancel("the client left")
    ((event, fields),) = lines
    assert (event, fields["id"], fields["cause"]) == (
        "unanswered", "q", "the client left"
    )  # fmt: skip
    assert fields["in_doubt"] and fields["sends"] == 1
