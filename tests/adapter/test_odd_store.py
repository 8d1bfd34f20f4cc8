"""Responses of the store that can be read as HTTP, but hold unexpected values."""

import json

import pytest
import trio
from result import Err, Ok

from jujuberudder_emulator import free_addresses
from jujuberudder_platform import make_store
from jujuberudder_router import OPERATOR_TOPIC, Page, Record, parse_address

ITEM = {"key": "k", "value": "dg==", "offset": 0}
PAGE = {"items": [ITEM], "hasMore": False, "end": 1}
DEEP = b'{"end":' + b"[" * 5000 + b"]" * 5000 + b"}"


async def call_store(nursery, call, status, body):
    """Return the result of a call that the store answers with a status and body."""
    address = free_addresses(1)[0]

    async def respond(stream):
        while await stream.receive_some():
            head = b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n" % (status, len(body))
            await stream.send_all(head + body)

    await nursery.start(trio.serve_tcp, respond, parse_address(address)[1])
    store = make_store(address, lambda event, **fields: None)
    with trio.fail_after(5):
        match call:
            case "append":
                return await store.append(OPERATOR_TOPIC, "k", b"v", 0)
            case "read":
                return await store.read(OPERATOR_TOPIC, 0, 0.0)
            case "newest":
                return await store.newest(OPERATOR_TOPIC)


def page(**fields):
    """Return a page of the newest records as the store sends it."""
    return json.dumps(PAGE | fields).encode()


@pytest.mark.parametrize(
    "call, status, body",
    [
        ("append", 200, b""),
        ("append", 200, b"{}"),
        ("append", 200, b'{"offset":null}'),
        ("append", 200, b'{"offset":-1}'),
        ("append", 200, b'{"offset":99999999999999999999}'),
        ("append", 412, b"no"),
        ("append", 412, b'{"end":[]}'),
        ("append", 412, DEEP),
        ("read", 410, b""),
        ("read", 410, b"gone"),
        ("read", 410, b"{}"),
        ("read", 410, b'{"first":"x"}'),
        ("newest", 200, page(end="1")),
        ("newest", 200, page(end=None)),
        ("newest", 200, page(end=10**30)),
        ("newest", 200, page(items=[ITEM | {"offset": 10**30}])),
        ("newest", 200, page(items=[ITEM | {"offset": -1}])),
        ("newest", 200, page(hasMore=True)),
        ("newest", 200, DEEP),
    ],
    ids=lambda value: repr(value)[:40],
)
async def test_odd_response_is_a_failed_call(call, status, body, nursery):
    """Guards against a response of the store that ends the node and its requests.

    An exception, or an end of a topic that is no number, ends the task that reads it; a
    page that refers to itself never ends.
    """
    assert isinstance(await call_store(nursery, call, status, body), Err)


@pytest.mark.parametrize("value", [None, 7, "\u00e9", "dg="], ids=repr)
async def test_other_records_of_a_page_with_an_odd_value_are_read(value, nursery):
    """Guards against a record of another writer that hides all others."""
    items = [ITEM, {"key": "odd", "value": value, "offset": 1}]
    body = page(items=items, end=2)
    result = await call_store(nursery, "newest", 200, body)
    expected = [Record(0, "k", b"v"), Record(1, "odd", b"\xc1")]
    assert result == Ok(Page(expected, 2))
