"""Store calls relayed through another node, for a VM whose calls the store refuses.

The time of a call is when this VM sent it, so a lease renewed by a relayed read is no
longer than a lease renewed by a direct read.
"""

from typing import Annotated, Literal

import msgspec
import trio
from result import Err, Ok

from jujuberudder_base import Failure

from ._frames import StoreCallResult
from ._store import (
    MEMBERSHIP_TOPIC,
    OPERATOR_TOPIC,
    Appended,
    Conflict,
    Page,
    Record,
    Store,
    Truncated,
)

# Time-out of a relayed call, in addition to the wait that a read requests, and a number
# of round trips that is added: those of a link that bodies fill take seconds.
RELAY_TIMEOUT_S, RELAY_ROUND_TRIPS = 1.0, 2.0
# Number of links of which the one with the shortest round trip is used.
RELAY_SAMPLE_SIZE = 2
# Time after a failed store call during which calls go to other nodes first.
PREFER_RELAY_S = 2.0

_RESULT_TYPES = {"appended": Appended, "conflict": Conflict, "forgotten": Truncated}
_encoder = msgspec.msgpack.Encoder()

_Topic = Literal[OPERATOR_TOPIC, MEMBERSHIP_TOPIC]
_Offset = Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class _AppendCall(msgspec.Struct, array_like=True, tag="append"):
    topic: _Topic
    key: Annotated[str, msgspec.Meta(max_length=255)]
    value: bytes
    expected_end: _Offset | None


class _ReadCall(msgspec.Struct, array_like=True, tag="read"):
    topic: _Topic
    start: _Offset
    wait_s: Annotated[float, msgspec.Meta(ge=0, le=30)]


class _NewestCall(msgspec.Struct, array_like=True, tag="newest"):
    topic: _Topic


_store_call_decoder = msgspec.msgpack.Decoder(_AppendCall | _ReadCall | _NewestCall)


class _PageResult(msgspec.Struct, array_like=True, tag="page"):
    end: _Offset
    records: list[tuple[_Offset, str, bytes]]
    era: _Offset = 0


class _AppendedResult(msgspec.Struct, array_like=True, tag="appended"):
    offset: _Offset
    era: _Offset = 0


class _ConflictResult(msgspec.Struct, array_like=True, tag="conflict"):
    end: _Offset
    era: _Offset = 0


class _TruncatedResult(msgspec.Struct, array_like=True, tag="forgotten"):
    first_offset: _Offset
    era: _Offset = 0


_result_decoder = msgspec.msgpack.Decoder(
    _PageResult | _AppendedResult | _ConflictResult | _TruncatedResult
)


def encode_result(value):
    """Encode the result of a store call."""
    if isinstance(value, Page):
        records = [list(record) for record in value.records]
        return _encoder.encode(["page", value.end, records, value.era])
    name = next(name for name, kind in _RESULT_TYPES.items() if isinstance(value, kind))
    return _encoder.encode([name, *value])


def decode_result(data):
    """Decode the result that ``encode_result`` encoded.

    Raises
    ------
    msgspec.MsgspecError
        The result is malformed.
    """
    match _result_decoder.decode(data):
        case _PageResult(end, records, era):
            return Page([Record(*record) for record in records], end, era)
        case _AppendedResult(offset, era):
            return Appended(offset, era)
        case _ConflictResult(end, era):
            return Conflict(end, era)
        case _TruncatedResult(first_offset, era):
            return Truncated(first_offset, era)


def make_relay_handler(node):
    """Return ``await handle(payload) -> (result, reason)`` for calls of other nodes."""

    async def handle(payload):
        try:
            call = _store_call_decoder.decode(payload)
        except msgspec.MsgspecError as error:
            node.log("relay_call_unreadable", reason=str(error))
            return b"", f"unreadable call: {error}"
        name = call.__struct_config__.tag
        result = await getattr(node.direct_store, name)(*msgspec.structs.astuple(call))
        match result:
            case Ok(value):
                node.metrics.count("store_relays")
                return encode_result(value), ""
            case Err(failure):
                return b"", str(failure)

    return handle


def choose_relay(links, last_failed_vm, jitter):
    """Return the VM to relay a call through, or None if no link can be used.

    Parameters
    ----------
    links : dict of str to PeerLink
    last_failed_vm : str or None
        VM of the last failed relay, used only if there is no other.
    jitter : callable
        Returns random numbers in [0, 1).
    """
    # On a full link no peer answers its pings in time, but calls still get through.
    vms = [vm for vm, link in links.items() if link.up]
    vms = vms or [vm for vm, link in links.items() if not link.lost]
    if len(vms) > 1 and last_failed_vm in vms:
        vms.remove(last_failed_vm)
    drawn = [vms[int(jitter() * len(vms))] for _ in range(RELAY_SAMPLE_SIZE) if vms]
    return min(drawn, key=lambda vm: links[vm].round_trip_s, default=None)


def with_relays(store, node):
    """Return a ``Store`` that relays calls through another node after a failure.

    After a call that failed or was cancelled before its response, calls are relayed
    first for ``PREFER_RELAY_S``; the call itself is not retried. An append that was
    relayed is not sent to the store as well, even if the relay failed, because it may
    have taken effect.
    """
    prefer_relay_until = 0.0
    last_failed_vm = None

    async def relay(name, arguments, wait_s):
        nonlocal last_failed_vm
        vm = choose_relay(node.links, last_failed_vm, node.jitter)
        if vm is None:
            return None
        timeout_s = RELAY_TIMEOUT_S + RELAY_ROUND_TRIPS * node.links[vm].round_trip_s
        sent_at = trio.current_time()
        # Also the outcome if the caller cancels, as a follower that is behind does.
        reason, last_failed_vm = "no answer in time", vm
        try:
            with trio.move_on_after(timeout_s + wait_s):
                payload = _encoder.encode([name, *arguments])
                frame = await node.links[vm].call_store(payload)
                if isinstance(frame, StoreCallResult) and frame.result:
                    result = Ok(decode_result(frame.result))
                    reason = last_failed_vm = None
                    return result
                reason = frame.reason
        except msgspec.MsgspecError as error:
            reason = f"unreadable result: {error}"
        finally:
            if reason is not None:
                _log_failure("relay_failed", sent_at, call=name, peer=vm, reason=reason)
        return Err(Failure(f"relay {name}", vm, reason, may_have_run=True))

    async def call_directly(name, arguments, callbacks):
        nonlocal prefer_relay_until
        sent_at = trio.current_time()
        reason = "cancelled"
        try:
            result = await getattr(store, name)(*arguments, **callbacks)
            reason = str(result.err_value) if isinstance(result, Err) else None
        finally:
            if reason is not None:
                node.metrics.count("store_failures")
                _log_failure("store_call_failed", sent_at, call=name, reason=reason)
                prefer_relay_until = trio.current_time() + PREFER_RELAY_S
        return result

    def _log_failure(event, sent_at, **fields):
        node.log(event, after_s=trio.current_time() - sent_at, **fields)

    async def call_store(name, *arguments, wait_s=0.0, **callbacks):
        nonlocal prefer_relay_until
        if trio.current_time() < prefer_relay_until:
            result = await relay(name, arguments, wait_s)
            if isinstance(result, Ok):
                return result
            prefer_relay_until = 0.0
            if result is not None and name == "append":
                return result
        return await call_directly(name, arguments, callbacks)

    async def append(topic, key, value, expected_end):
        return await call_store("append", topic, key, value, expected_end)

    async def read(topic, start, wait_s, on_data=None):
        return await call_store(
            "read", topic, start, wait_s, wait_s=wait_s, on_data=on_data
        )

    async def newest(topic, on_data=None):
        return await call_store("newest", topic, on_data=on_data)

    return Store(append, read, newest)
