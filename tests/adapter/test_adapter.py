"""Formats that the platform adapter reads and writes, and input that it rejects."""

import json
import re
import tomllib
from pathlib import Path

import pytest

from jujuberudder_base import UserError
from jujuberudder_platform import (
    check_response,
    client_response_headers,
    encode_grant,
    evacuated_zone,
    load_settings,
    parse_configuration,
    parse_heartbeat,
    parse_request,
    parse_settings,
    router_response_headers,
    target_request_headers,
)
from jujuberudder_router import (
    Grant,
    HttpError,
    HttpMessage,
    KeyRange,
    RateLimit,
    TargetLoad,
)
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
[limits]
memoryMb = 300
linkMbps = 5.0
[platform]
address = "10.200.1.7:8309"
"""


def test_settings_fields(tmp_path):
    """Guards against a setting that is read from another field of the file."""
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS)
    parsed = load_settings(path)
    assert (parsed.vm, parsed.service, parsed.zone) == ("vm-1", "s-1", "z-a")
    assert parsed.client_address.endswith("8304") and parsed.peer_address.endswith(
        "8300"
    )
    assert (parsed.hold_limit_s, parsed.grace_s, parsed.retry_slack) == (
        8.0,
        5.0,
        184.0,
    )
    assert parsed.retry_ratio == 0.2
    assert (parsed.memory_bytes, parsed.link_bytes_per_s) == (300000000, 625000.0)


@pytest.mark.parametrize(
    "old, new, message",
    [
        ("appAddr", "other", "appAddr is missing"),
        ("nodeName =", "nodeName", "line 2"),
        ('["holdMaxS=8"', '["holdMaxS=fast"', "fast"),
        ("memoryMb = 300", "memoryMb = inf", "infinity"),
        ("heartbeatS = 0.87", "heartbeatS = " + "9" * 400, "too large"),
        ("heartbeatS = 0.87", "heartbeatS = " + "[" * 2000, "recursion"),
    ],
    ids=lambda text: text[:20],
)
def test_invalid_settings_are_rejected(tmp_path, old, new, message):
    """Guards against a node that starts with missing or malformed settings.

    A running node that reads them again would end by any other error.
    """
    path = tmp_path / "local.toml"
    path.write_text(SETTINGS.replace(old, new))
    with pytest.raises(UserError, match=message):
        load_settings(path)


def request(*headers, target=b"/a/b?c=1"):
    """Return a client's message with a host, a request id and more headers."""
    required = [(b"host", b"App.Example:80"), (b"jujuberudder-request-id", b"q1")]
    return HttpMessage(b"GET", target, 0, [*required, *headers], b"", True)


def test_router_headers_of_a_client_request_are_dropped():
    """Guards against clients that forge the target, the caller or the deadline."""
    parsed = parse_request(
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
    assert (parsed.host, parsed.path, parsed.target) == (
        "app.example", "/a/b", b"/a/b?c=1",
    )  # fmt: skip
    assert (parsed.client_timeout_s, parsed.key) == (0.5, 17)
    assert {name for name, _ in parsed.headers} == {
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
def test_invalid_requests_are_rejected(message):
    """Guards against requests without a valid id, deadline or key at a target."""
    with pytest.raises(HttpError) as caught:
        parse_request(message)
    assert caught.value.status == 400


def test_headers_of_a_request_to_a_target():
    """Guards against a request without deadline, target id or caller at a target."""
    forward_request = ForwardRequest(
        0, "q1", b"GET", b"/", [(b"x", b"1")], b"", 0.4, 1.0, 1, None, "s", "t", ""
    )
    assert dict(target_request_headers(forward_request, 0.4, "i-1")) == {
        b"x": b"1",
        b"jujuberudder-deadline-ms": b"400",
        b"jujuberudder-target-instance": b"i-1",
        b"jujuberudder-caller-service": b"s",
    }


def response(status, **headers):
    """Return a target's response; keywords are header names or their short forms."""
    names = {
        "id": b"jujuberudder-request-id",
        "signature": SIGNATURE,
        "not_run": NOT_RUN,
    }
    fields = [
        (names.get(k, k.replace("_", "-").encode()), v) for k, v in headers.items()
    ]
    return HttpMessage(b"", b"", status, fields, b"body", True)


SIGNATURE = b"jujuberudder-server-signature"
NOT_RUN = b"jujuberudder-not-executed"


@pytest.mark.parametrize(
    "message, not_run, invalid",
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
        (response(99, id=b"q1", signature=b"s"), False, True),
        (response(0, id=b"q1", not_run=b"1"), True, True),
    ],
    ids=[
        "success", "no signature", "no id", "id of another request", "encoded",
        "failure", "503 without the not-run header", "shed",
        "shed before the id was read", "another target",
        "refusal with the id of another request", "status 99", "status 0",
    ],
)  # fmt: skip
def test_response_check(message, not_run, invalid):
    """Guards against false refusals and responses that belong to another request."""
    check = check_response(message, "q1")
    assert (check.not_run, check.invalid_reason is not None) == (not_run, invalid)


def limits(*values, status=200, request_id=b"q1"):
    """Return a response with values of the header that limits the rate."""
    message = response(status, id=request_id, signature=b"s")
    message.headers.extend((b"server-limit", value) for value in values)
    return message


@pytest.mark.parametrize(
    "message, expected",
    [
        (limits(), RateLimit(None)),
        (limits(b"27.4"), RateLimit(27.4)),
        (limits(b" 0 "), RateLimit(0.0)),
        (limits(b"999999999999"), RateLimit(999999999999.0)),
        (limits(b"27.4", b"13"), RateLimit(13.0)),
        (limits(b"27.4, 13"), RateLimit(13.0)),
        (limits(b"27.4", b"soon"), RateLimit(27.4)),
        (limits(b"503", status=503), RateLimit(503.0)),
        *((limits(v), None) for v in (b"", b"soon", b"-3", b"nan", b"inf", b"1e9")),
        (limits(b"9" * 400), None),
        (limits(b"5", status=421), None),
        (limits(b"5", request_id=b"q2"), None),
        (limits(status=421), None),
    ],
)
def test_rate_limit_of_a_response(message, expected):
    """Guards against a rate limit that is missed, made up, or another target's."""
    assert check_response(message, "q1").rate_limit == expected


@pytest.mark.parametrize(
    "message, expected",
    [
        (response(200, id=b"q1", signature=b"s", server_leaving=b"1"), True),
        (response(503, id=b"q1", not_run=b"1", server_leaving=b" 1 "), True),
        (response(500, id=b"q1", signature=b"s", server_leaving=b"1"), True),
        (response(200, id=b"q1", signature=b"s", server_leaving=b"0"), False),
        (response(200, id=b"q1", signature=b"s", server_leaving=b"yes"), False),
        (response(200, id=b"q1", signature=b"s"), False),
        (response(200, id=b"q2", signature=b"s", server_leaving=b"1"), False),
        (response(421, id=b"q1", server_leaving=b"1"), False),
        (response(503, not_run=b"1", server_leaving=b"1"), False),
    ],
)
def test_leaving_target_in_a_response(message, expected):
    """Guards against a target that leaves unnoticed, or for another one's response."""
    assert check_response(message, "q1").leaving == expected


@pytest.mark.parametrize(
    "value, expected",
    [
        (b"3,0,8", TargetLoad(3, 0, 8, 1.0)),
        (b"3, 1, 8, 250", TargetLoad(3, 1, 8, 2.5)),
        (b"3,0,8,0", None),
        (b"3,0,8,999999999999", None),
        (b"3,0,8,-100", None),
        (b"3,0,8,1,1", None),
        (b"3,0", None),
        (b"", None),
    ],
)
def test_load_in_a_response(value, expected):
    """Guards against a load that is ignored for a fourth figure, or an absurd one."""
    message = response(
        200, id=b"q1", signature=b"s", **{"jujuberudder_server_load": value}
    )
    assert check_response(message, "q1").load == expected


@pytest.mark.parametrize(
    "key, zone",
    [("evacuate/z-a", "z-a"), ("evacuate/", None), ("config", None), ("z-a", None)],
)
def test_evacuated_zone_of_a_record(key, zone):
    """Guards against an evacuation that is missed, or another record for one."""
    assert evacuated_zone(key) == zone


def test_connection_headers_are_not_passed_to_the_client():
    """Guards against headers of the target's connection and load in a response.

    The router's own responses carry Retry-After only if a delay is given.
    """
    headers = [
        (b"content-length", b"4"), (b"keep-alive", b"timeout=10"),
        (b"jujuberudder-server-load", b"1,0,4"), (SIGNATURE, b"s"),
    ]  # fmt: skip
    assert client_response_headers(headers) == [(SIGNATURE, b"s")]
    assert dict(router_response_headers("q1", 0.25))[b"Retry-After"] == b"0.25"
    assert b"Retry-After" not in dict(router_response_headers("q1", None))


HEARTBEAT = {
    "address": "10.128.0.9:8080",
    "born": 1774454734000,
    "info": {"service": "s", "version": "v1", "zone": "z", "slots": 6},
    "status": {"state": "ready", "sequence": 4, "coldRemainingS": 1.5},
    "holds": [[0, 4095, 7]],
    "freed": [[4096, 8191, "5c0e"]],
}


def changed_heartbeat(path, value):
    """Return the body of a heartbeat with one field changed, or removed if None."""
    document = json.loads(json.dumps(HEARTBEAT))
    *parents, last = path.split(".")
    parent = document
    for name in parents:
        parent = parent[name]
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return json.dumps(document).encode()


def test_heartbeat_fields():
    """Guards against a field of a heartbeat that is read as another."""
    parsed = parse_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert parsed.held == ((0, 4095, 7),) and parsed.released == ((4096, 8191, "5c0e"),)
    assert (
        parsed.sequence,
        parsed.slots,
        parsed.warm_up_remaining_s,
        parsed.leaving,
    ) == (
        4,
        6,
        1.5,
        0,
    )
    assert parse_heartbeat("i-1", changed_heartbeat("status.state", "draining")).leaving


@pytest.mark.parametrize(
    "body",
    [
        b"\xff\x00",
        b"[]",
        changed_heartbeat("info", None),
        changed_heartbeat("status.sequence", "4"),
        changed_heartbeat("status.state", "asleep"),
        changed_heartbeat("info.slots", -1),
        changed_heartbeat("holds", [["a", 1, 2]]),
        changed_heartbeat("born", True),
        changed_heartbeat("born", 2**64),
        changed_heartbeat("info.slots", 10**30),
        changed_heartbeat("status.sequence", 1.5),
        changed_heartbeat("holds", [[0, 9, "x"]]),
        changed_heartbeat("holds", [[0, 9]]),
        changed_heartbeat("freed", [[0, 9, None]]),
        changed_heartbeat("freed", [[0, 9, ["x"]]]),
        b'{"info":' + b"[" * 5000,
    ],
    ids=lambda body: repr(body)[-60:],
)
def test_invalid_heartbeats_are_rejected(body):
    """Guards against malformed heartbeats that make a target usable."""
    with pytest.raises(ValueError):
        parse_heartbeat("i-1", body)


def test_grant_encoding():
    """Guards against a response that renews ranges that were not granted."""
    ranges = (
        KeyRange(0, 9, 3, "vm-1", "i@1"),
        KeyRange(10, 19, 4, "vm-1", "i@1", "token"),
    )
    assert json.loads(encode_grant(Grant(ranges, 3.5))) == {
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
                for kind in (
                    "idempotent", "non_idempotent", "upload", "download", "new_kind"
                )
            ],
        }
    ],
    "clusters": [{"name": "s-1", "sharded": True, "warmS": 5.0}, {"name": "s-2"}],
}  # fmt: skip


def test_configuration_fields():
    """Guards against retries of requests that must run at most once.

    Route types that the adapter does not know are not retryable either.
    """
    parsed = parse_configuration(json.dumps(CONFIGURATION).encode())
    assert parsed.version == 12
    retryable = {r.prefix: r.retryable for r in parsed.routes["a.example"]}
    assert retryable == {
        "/idempotent/": True, "/non_idempotent/": False, "/upload/": False,
        "/download/": True, "/new_kind/": False,
    }  # fmt: skip
    assert parsed.services["s-1"].keyed and not parsed.services["s-2"].keyed
    assert (parsed.limits.header_bytes, parsed.limits.idle_timeout_s) == (100, 2.5)


@pytest.mark.parametrize(
    "field, value, valid",
    [
        ("coldStartS", 3.0, True),
        ("coldPerS", 8.5, True),
        ("coldPerS", -1, False),
        ("coldPerS", 1e300, False),
        ("coldPerS", "8", False),
        ("coldStartS", float("nan"), False),
        ("coldStartS", None, False),
        ("coldStartS", True, False),
    ],
)
def test_cold_start_of_a_service(field, value, valid):
    """Guards against a configuration that is dropped whole for one absurd figure."""
    document = json.loads(json.dumps(CONFIGURATION))
    document["clusters"][0][field] = value
    parsed = parse_configuration(json.dumps(document).replace("NaN", "-1").encode())
    service = parsed.services["s-1"]
    stated = {
        "coldStartS": service.cold_start_s, "coldPerS": service.cold_requests_per_s,
    }  # fmt: skip
    assert stated[field] == (value if valid else 0.0)
    assert len(parsed.ignored) == (not valid)


@pytest.mark.parametrize("value", [b"", b"{}", b"[1]", b'{"version":"x"}', b"\xc1"])
def test_invalid_configurations_are_rejected(value):
    """Guards against an invalid configuration that is put in force in part."""
    with pytest.raises(ValueError):
        parse_configuration(value)


@pytest.mark.parametrize(
    "old, new",
    [
        ('"r-1"', "7"),
        ('"/upload/"', "7"),
        ('"targetLatencyS": 0.5', '"targetLatencyS": "nan"'),
        ('"idleTimeoutS": 2.5', '"idleTimeoutS": "inf"'),
        ('"idleTimeoutS": 2.5', '"idleTimeoutS": -1'),
        ('"idleTimeoutS": 2.5', f'"idleTimeoutS": {"9" * 400}'),
        ('"maxHeaderBytes": 100', '"maxHeaderBytes": ' + "[" * 5000),
        ('"priority": 2', f'"priority": {"9" * 30}'),
        ('"version": "', '"version": "' + "f" * 5000),
        ('"service": "s-1"', '"service": ["s-1"]'),
    ],
    ids=lambda text: text[:30],
)
def test_configuration_with_an_odd_value_is_rejected(old, new):
    """Guards against a configuration that ends the nodes or makes all requests fail.

    ``parse_configuration`` raised other errors than those that its caller expects, or
    requests met values that cannot be compared, hashed or sent to other nodes.
    """
    text = json.dumps(CONFIGURATION)
    assert old in text and parse_configuration(text.encode())
    with pytest.raises(ValueError):
        parse_configuration(text.replace(old, new).encode())


@pytest.mark.parametrize(
    "grants, expected", [(None, None), ("call", True), ("heartbeat", False)]
)
def test_way_of_granting(grants, expected):
    """Guards against keys that are granted in a way that the targets ignore."""
    document = json.loads(json.dumps(CONFIGURATION))
    if grants is not None:
        document["clusters"][0]["grants"] = grants
    parsed = parse_configuration(json.dumps(document).encode())
    assert parsed.services["s-1"].grants_by_call is expected
    default = "" if grants is None else f'grants = "{grants}"\n'
    settings = parse_settings(tomllib.loads(default + SETTINGS))
    assert settings.grants_by_call is bool(expected)


def test_unknown_way_of_granting_is_named():
    """Guards against an unknown way of granting that is taken for another one."""
    document = json.loads(json.dumps(CONFIGURATION))
    document["clusters"][1]["grants"] = "push"
    with pytest.raises(ValueError, match="cluster s-2: grants is 'push'"):
        parse_configuration(json.dumps(document).encode())
    with pytest.raises(ValueError, match="grants is 'push', known are heartbeat, call"):
        parse_settings(tomllib.loads('grants = "push"\n' + SETTINGS))


# Names that only the platform uses, taken from its pages.
PLATFORM_NAMES = re.compile(
    "storeRevision|coldRemainingS|log-append|log-newest|log-join|pathPrefix|"
    "Not-Executed|Target-Instance|JUJUBERUDDER_NODE_FILE|ruleSet|heartbeatUrl|seedNodes"
    "|trafficSplit|routeType|listenAddrs|appAddr"
)


def test_packages_use_no_platform_names():
    """Guards against code in ``packages`` that depends on the platform's names."""
    uses = [
        f"{path.relative_to(ROOT)}:{number}"
        for path in sorted(ROOT.glob("packages/**/*.py"))
        for number, line in enumerate(path.read_text().splitlines(), 1)
        if PLATFORM_NAMES.search(line)
    ]
    assert uses == []


@pytest.mark.parametrize("mbps, bytes_per_s", [(5.0, 625e3), (0, 125e6), (-1, 125e6)])
def test_capacity_of_the_network_link(mbps, bytes_per_s):
    """Guards against a division by a capacity of 0, and negative times."""
    text = SETTINGS.replace("linkMbps = 5.0", f"linkMbps = {mbps}")
    assert parse_settings(tomllib.loads(text)).link_bytes_per_s == bytes_per_s
