"""The adapter: what it reads from the platform, what it writes, what it refuses."""

import json
import re
from pathlib import Path

import pytest

from jujuberudder_base import UserError
from jujuberudder_platform import (
    check_response,
    client_response_headers,
    encode_grant,
    load_settings,
    parse_configuration,
    parse_heartbeat,
    parse_request,
    router_response_headers,
    target_request_headers,
)
from jujuberudder_router import Grant, HttpError, HttpMessage, KeyRange
from jujuberudder_router._frames import ForwardRequest

ROOT = Path(__file__).parent.parent.parent
SETTINGS = """
nodeName = "vm-1"
zone = "z-a"
service = "s-1"
appAddr = "10.1.0.8:8301"
heartbeatS = 0.87
bounds = ["holdMaxS=8","graceS=5","retryBudgetSlack=184","unknown=1"]
somethingNew = { a = 1 }
[listenAddrs]
inbound = "10.1.0.8:8300"
outbound = "10.1.0.8:8304"
ready = "10.1.0.8:8302"
control = "10.1.0.8:8306"
[platform]
address = "10.200.1.7:8309"
"""


def test_settings(tmp_path):
    """Guards against settings that are read from the wrong field."""
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    found = load_settings(path)
    assert (found.vm, found.service, found.zone) == ("vm-1", "s-1", "z-a")
    assert found.client_address.endswith("8304") and found.peer_address.endswith("8300")
    assert (found.hold_limit_s, found.grace_s, found.retry_slack) == (8.0, 5.0, 184.0)
    assert found.retry_ratio == 0.2


@pytest.mark.parametrize(
    "old, new, told",
    [
        ("appAddr", "other", "appAddr is missing"),
        ("nodeName =", "nodeName", "line 2"),
        ('["holdMaxS=8"', '["holdMaxS=fast"', "fast"),
    ],
)
def test_wrong_settings_are_named(tmp_path, old, new, told):
    """Guards against a node that starts with settings it cannot use."""
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS.replace(old, new))
    with pytest.raises(UserError, match=told):
        load_settings(path)


def request(*headers, target=b"/a/b?c=1"):
    """Return a caller's message with an id and more headers."""
    given = [(b"host", b"App.Example:80"), (b"jujuberudder-request-id", b"q1")]
    return HttpMessage(b"GET", target, 0, [*given, *headers], b"", True)


def test_request_is_read_without_what_the_system_sets():
    """Guards against callers that set the target, the caller or the deadline."""
    found = parse_request(
        request(
            (b"jujuberudder-deadline-ms", b"500"),
            (b"jujuberudder-caller-service", b"forged"),
            (b"jujuberudder-target-instance", b"forged"),
            (b"jujuberudder-shard-key", b"17"),
            (b"connection", b"keep-alive, X-Hop"),
            (b"x-hop", b"1"),
            (b"x-other", b"2"),
        )
    )
    assert (found.host, found.path, found.target) == (
        "app.example", "/a/b", b"/a/b?c=1",
    )  # fmt: skip
    assert (found.client_timeout_s, found.key) == (0.5, 17)
    assert {name for name, _ in found.headers} == {
        b"host", b"jujuberudder-request-id", b"jujuberudder-shard-key", b"x-other",
    }  # fmt: skip


@pytest.mark.parametrize(
    "message",
    [
        HttpMessage(b"GET", b"/", 0, [(b"host", b"a")], b"", True),
        request((b"jujuberudder-deadline-ms", b"soon")),
        request((b"jujuberudder-shard-key", b"65536")),
        request((b"jujuberudder-shard-key", b"-1")),
    ],
    ids=["no id", "deadline", "key too large", "key below zero"],
)
def test_improper_requests(message):
    """Guards against requests that no rule covers reaching a target."""
    with pytest.raises(HttpError) as caught:
        parse_request(message)
    assert caught.value.status == 400


def test_headers_for_a_target():
    """Guards against a target that is given no deadline or another's request."""
    ask = ForwardRequest(
        0, "q1", b"GET", b"/", [(b"x", b"1")], b"", 0.4, 1.0, 1, None, "s", "t", ""
    )
    assert dict(target_request_headers(ask, 0.4, "i-1")) == {
        b"x": b"1",
        b"jujuberudder-deadline-ms": b"400",
        b"jujuberudder-target-instance": b"i-1",
        b"jujuberudder-caller-service": b"s",
    }


def response(status, **headers):
    """Return a target's response; header names by keyword."""
    names = {
        "id": b"jujuberudder-request-id",
        "signature": SIGNATURE,
        "not_run": NOT_RUN,
    }
    found = [
        (names.get(k, k.replace("_", "-").encode()), v) for k, v in headers.items()
    ]
    return HttpMessage(b"", b"", status, found, b"body", True)


SIGNATURE = b"jujuberudder-server-signature"
NOT_RUN = b"jujuberudder-not-executed"


@pytest.mark.parametrize(
    "message, not_run, broken",
    [
        (response(200, id=b"q1", signature=b"s"), False, False),
        (response(200, id=b"q1"), False, True),
        (response(200, signature=b"s"), False, True),
        (response(200, id=b"q2", signature=b"s"), False, True),
        (
            response(200, id=b"q1", signature=b"s", content_encoding=b"gzip"),
            False,
            True,
        ),
        (response(500, id=b"q1", signature=b"s"), False, False),
        (response(503, id=b"q1"), False, True),
        (response(503, id=b"q1", not_run=b"1"), True, False),
        (response(503, not_run=b"1"), True, False),
        (response(421), True, False),
        (response(503, id=b"q2", not_run=b"1"), True, True),
    ],
    ids=[
        "success", "no signature", "no id", "another's", "encoded", "failure",
        "a promise without the header", "shed", "shed before the id was read",
        "another target", "another's refusal",
    ],
)  # fmt: skip
def test_verdict(message, not_run, broken):
    """Guards against untrue refusals and answers that belong to another request."""
    checked = check_response(message, "q1")
    assert (checked.not_run, checked.invalid_reason is not None) == (not_run, broken)


def test_answers_carry_no_headers_of_the_hop():
    """Guards against lengths and reports that concern the target's connection."""
    given = [
        (b"content-length", b"4"), (b"keep-alive", b"timeout=10"),
        (b"jujuberudder-server-load", b"1,0,4"), (SIGNATURE, b"s"),
    ]  # fmt: skip
    assert client_response_headers(given) == [(SIGNATURE, b"s")]
    assert dict(router_response_headers("q1", 0.25))[b"Retry-After"] == b"0.25"
    assert b"Retry-After" not in dict(router_response_headers("q1", None))


BEAT = {
    "address": "10.128.0.9:8080",
    "born": 1774454734000,
    "info": {"service": "s", "version": "v1", "zone": "z", "slots": 6},
    "status": {"state": "ready", "sequence": 4, "coldRemainingS": 1.5},
    "holds": [[0, 4095, 7]],
    "freed": [[4096, 8191, "5c0e"]],
}


def changed(path, value):
    """Return the bytes of a beat with one field changed, or without it."""
    document = json.loads(json.dumps(BEAT))
    *parents, last = path.split(".")
    place = document
    for name in parents:
        place = place[name]
    if value is None:
        del place[last]
    else:
        place[last] = value
    return json.dumps(document).encode()


def test_beat():
    """Guards against a beat whose fields are taken for others."""
    found = parse_heartbeat("i-1", json.dumps(BEAT).encode())
    assert found.held == ((0, 4095, 7),) and found.released == ((4096, 8191, "5c0e"),)
    assert (found.sequence, found.slots, found.warm_up_remaining_s, found.leaving) == (
        4,
        6,
        1.5,
        0,
    )
    assert parse_heartbeat("i-1", changed("status.state", "draining")).leaving


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\x00",
        b"[]",
        changed("info", None),
        changed("status.sequence", "4"),
        changed("status.state", "asleep"),
        changed("info.slots", -1),
        changed("holds", [["a", 1, 2]]),
        changed("born", True),
    ],
)
def test_unreadable_beats(body):
    """Guards against entries of another writer that name a target to use."""
    with pytest.raises(ValueError):
        parse_heartbeat("i-1", body)


def test_grant():
    """Guards against an answer that renews what was not granted."""
    rows = (
        KeyRange(0, 9, 3, "vm-1", "i@1"),
        KeyRange(10, 19, 4, "vm-1", "i@1", "token"),
    )
    assert json.loads(encode_grant(Grant(rows, 3.5))) == {
        "holds": [[0, 9, 3, ""], [10, 19, 4, "token"]],
        "holdS": 3.5,
    }
    assert encode_grant(None) == b"{}"


CONFIGURATION = {
    "version": "0000000c",
    "limits": {"maxHeaderBytes": 100, "idleTimeoutS": 2.5},
    "listeners": [
        {
            "host": "A.example",
            "ruleSet": [
                {
                    "name": "r-1", "routeType": kind, "targetLatencyS": 0.5,
                    "priority": 2, "match": {"pathPrefix": f"/{kind}/"},
                    "action": {
                        "trafficSplit": [
                            {"service": "s-1", "weight": 90},
                            {"service": "s-2", "weight": 10},
                        ],
                        "timeoutS": 1, "attempts": 2,
                    },
                }
                for kind in ("idempotent", "non_idempotent", "upload", "new_kind")
            ],
        }
    ],
    "clusters": [{"name": "s-1", "sharded": True, "warmS": 5.0}, {"name": "s-2"}],
}  # fmt: skip


def test_configuration():
    """Guards against repeating what must run once, also of kinds not known here."""
    found = parse_configuration(json.dumps(CONFIGURATION).encode())
    assert found.version == 12
    retryable = {r.prefix: r.retryable for r in found.routes["a.example"]}
    assert retryable == {
        "/idempotent/": True, "/non_idempotent/": False, "/upload/": False,
        "/new_kind/": False,
    }  # fmt: skip
    assert found.services["s-1"].keyed and not found.services["s-2"].keyed
    assert (found.limits.header_bytes, found.limits.idle_timeout_s) == (100, 2.5)


@pytest.mark.parametrize("value", [b"", b"{}", b"[1]", b'{"version":"x"}', b"\xc1"])
def test_unreadable_configurations(value):
    """Guards against a configuration that is put in force in part."""
    with pytest.raises(ValueError):
        parse_configuration(value)


# Names that only the platform uses; taken from its pages.
NAMES = re.compile(
    "storeRevision|coldRemainingS|log-append|log-newest|log-join|pathPrefix|"
    "Not-Executed|Target-Instance|JUJUBERUDDER_NODE_FILE|ruleSet|heartbeatUrl|seedNodes"
    "|trafficSplit|routeType|listenAddrs|appAddr"
)


def test_names_of_the_platform_stay_in_its_folder():
    """Guards against code elsewhere that depends on the platform's names."""
    found = [
        f"{path.relative_to(ROOT)}:{number}"
        for path in sorted(ROOT.glob("packages/**/*.py"))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if NAMES.search(line)
    ]
    assert found == []
