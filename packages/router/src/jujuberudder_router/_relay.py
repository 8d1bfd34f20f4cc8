"""Store calls through another node, for a VM that the store turns away.

A call counts from when this VM sent it, so a lease that a relayed read renews is no
longer than one of a direct read.
"""

import msgspec
import trio
from result import Err, Ok

from jujuberudder_base import Failure

from ._frames import StoreCallResult
from ._store import Appended, Conflict, Page, Record, Store, Truncated

# Longest wait for a relayed call, in seconds, beside the wait that a read asks for.
RELAY_S = 1.0
# Seconds for which calls go to other nodes first after the store failed a call.
PREFER_RELAY_S = 2.0

_KINDS = {"appended": Appended, "conflict": Conflict, "forgotten": Truncated}
_encoder = msgspec.msgpack.Encoder()
_call_decoder = msgspec.msgpack.Decoder(list)


def encode_result(value):
    """Return the result of a call as bytes."""
    if isinstance(value, Page):
        return _encoder.encode(["page", value.end, [list(r) for r in value.records]])
    name = next(name for name, kind in _KINDS.items() if isinstance(value, kind))
    return _encoder.encode([name, value[0]])


def decode_result(data):
    """Return the result that ``encode_result`` wrote."""
    kind, number, *rest = _call_decoder.decode(data)
    if kind == "page":
        return Page([Record(*record) for record in rest[0]], number)
    return _KINDS[kind](number)


def make_relay_handler(node):
    """Return ``await handle(call) -> (result, reason)`` for calls of other nodes."""

    async def handle(call):
        name, *arguments = _call_decoder.decode(call)
        if name not in Store._fields:
            return b"", f"no call {name}"
        done = await getattr(node.direct_store, name)(*arguments)
        match done:
            case Ok(value):
                node.metrics.count("store_relays")
                return encode_result(value), ""
            case Err(failure):
                return b"", str(failure)

    return handle


def with_relays(store, node):
    """Return a ``Store`` that asks another node where the store fails a call.

    An append is only relayed if the direct call surely had no effect.
    """
    failing_until = 0.0

    async def relay(name, arguments, wait_s):
        vms = [vm for vm, link in node.links.items() if link.up]
        if not vms:
            return None
        vm = vms[int(node.jitter() * len(vms))]
        with trio.move_on_after(RELAY_S + wait_s):
            frame = await node.links[vm].call_store(_encoder.encode([name, *arguments]))
            if isinstance(frame, StoreCallResult) and frame.result:
                return Ok(decode_result(frame.result))
            reason = getattr(frame, "reason", "")
            return Err(Failure(f"relay {name}", vm, reason, may_have_run=True))
        return Err(Failure(f"relay {name}", vm, "no answer in time", may_have_run=True))

    async def call(name, *arguments, wait_s=0.0):
        nonlocal failing_until
        now = trio.current_time()
        if now < failing_until:
            done = await relay(name, arguments, wait_s)
            if isinstance(done, Ok):
                return done
            failing_until = 0.0
            if done is not None and name == "append":
                return done
        done = await getattr(store, name)(*arguments)
        if isinstance(done, Err):
            node.metrics.count("store_failures")
            failing_until = trio.current_time() + PREFER_RELAY_S
        return done

    async def append(topic, key, value, expected_end):
        return await call("append", topic, key, value, expected_end)

    async def read(topic, start, wait_s):
        return await call("read", topic, start, wait_s, wait_s=wait_s)

    async def newest(topic):
        return await call("newest", topic)

    return Store(append, read, newest)
