"""Format of log lines, and request ids in the logs of all nodes."""

import re

import trio
from hypothesis import given
from hypothesis import strategies as st

from jujuberudder_core import format_line, make_logger, start_logging
from jujuberudder_standins import Client, Deployment

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^" ]*)(?: |\Z)')
ESCAPE = re.compile(r'\\(x..|u....|U........|[\\"nrt])')


def unescape(match):
    """Return the character of an escape sequence."""
    code = match.group(1)
    if code[0] in "xuU":
        return chr(int(code[1:], 16))
    return {"n": "\n", "r": "\r", "t": "\t"}.get(code, code)


def parse(line):
    """Return the pairs of a line with unescaped values."""
    pairs = {}
    end = 0
    for match in PAIR.finditer(line):
        assert match.start() == end, line
        end = match.end()
        value = match.group(2)
        quoted = value.startswith('"')
        pairs[match.group(1)] = ESCAPE.sub(unescape, value[1:-1]) if quoted else value
    assert end == len(line), line
    return pairs


@given(value=st.text() | st.text(alphabet='"\\ =\n\r\t\x00\x1b\u2028\ud800ax'))
def test_any_text_stays_one_line_and_can_be_read_back(value):
    """Guards against values of clients that forge log lines or break their reader."""
    message = {"timestamp": 1.0, "message_type": "refused", "reason": value}
    line = format_line(message)
    assert line.isprintable()
    assert parse(line) == {"time": "1.000", "event": "refused", "reason": value}


@given(
    value=st.none() | st.floats() | st.binary() | st.lists(st.text()) | st.integers()
)
def test_any_value_stays_one_line(value):
    """Guards against values that are no text and end the log."""
    message = {"timestamp": 1.0, "message_type": "x", "value": value}
    assert set(parse(format_line(message))) == {"time", "event", "value"}


def test_bound_fields_are_in_each_line():
    """Guards against lines that do not name the node that wrote them."""
    lines = []

    class Lines:
        write = lines.append

    stop = start_logging(Lines())
    make_logger(node="jobs-dar-a")("drain", shard="")
    stop()
    pairs = parse(lines[0].rstrip("\n"))
    assert (pairs["event"], pairs["node"], pairs["shard"]) == (
        "drain",
        "jobs-dar-a",
        "",
    )


async def test_each_node_logs_the_request_id(nursery):
    """Guards against a node that processes a request without logging its id."""
    deployment = Deployment("lango", nursery)
    await deployment.start_log()
    text = "service: jobs\nroutes: [{path_prefix: /jobs/}]\n"
    deployment.publish("jobs", text + "key: {source: path_segment, index: 1}\n")
    await deployment.start_member("jobs", "dar-a")
    entry = await deployment.start_member("dispatch", "dar-b")
    client = Client()
    lines = []

    class Lines:
        write = lines.append

    stop = start_logging(Lines())
    with trio.fail_after(20):
        response = await client.send(entry.addresses.client, "GET", "/jobs/1")
    stop()
    assert response.outcome == "completed"
    pairs = [parse(line.rstrip("\n")) for line in lines]
    nodes = [p["node"] for p in pairs if p.get("request") == response.request]
    assert {"dispatch-dar-b", "jobs-dar-a"} <= set(nodes)
