"""Takeover of silent incarnations: seal, wait for grants to run out, append."""

from collections.abc import Callable
from typing import NamedTuple

import trio

from jujuberudder_core import new_id, records

from ._messages import Seal, Sealed
from ._witness import GRANT_S

SILENT_S = 0.7
TICK_S = 0.1
STAGGER_S = 0.15
RETRY_S = 0.3


class TakeoverContext(NamedTuple):
    """What a takeover needs to know of its node.

    Parameters
    ----------
    deployment, me : str
        ``me`` is this node's incarnation.
    ownership : Ownership
    witness : Witness
    read_at : dict of str to float
        When this node read the newest record about an incarnation, and about its
        death.
    call : async callable
    write : async callable
    place : callable
        ``place(ownership, ended) -> tuple of ShardOwner`` chooses the next owners.
    holds_lease : callable
    log : callable
    """

    deployment: str
    me: str
    ownership: object
    witness: object
    read_at: dict
    call: Callable
    write: Callable
    place: Callable
    holds_lease: Callable
    log: Callable


async def run_takeovers(context):
    """Take over the incarnations that went silent, for ever."""
    running = set()
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(TICK_S)
            for incarnation in _suspects(context, trio.current_time()):
                if incarnation not in running and context.holds_lease():
                    running.add(incarnation)
                    nursery.start_soon(_take_over, context, incarnation, running)


def _suspects(context, now):
    """Return silent incarnations that are this node's turn."""
    found = []
    for incarnation in context.witness.silent(now, SILENT_S):
        state = context.ownership.incarnations.get(incarnation)
        if state is None or not state.alive:
            context.witness.forget(incarnation)
        elif context.me in sum(state.witness_sets, ()):
            found.append(incarnation)
    for incarnation, state in context.ownership.live():
        if incarnation != context.me and _unwatched(context, state):
            silent_s = now - context.read_at.get(incarnation, now)
            if silent_s > GRANT_S:
                found.append(incarnation)
    return found


def _unwatched(context, state):
    """Whether too few live witnesses remain to notice that renewals stop."""
    live = [w for w in state.witnesses if context.ownership.alive(w)]
    return len(live) <= len(state.witnesses) // 2


async def _take_over(context, incarnation, running):
    try:
        await trio.sleep(STAGGER_S * _rank(context, incarnation))
        state = context.ownership.incarnations[incarnation]
        if not state.alive:
            return
        context.log("takeover_started", incarnation=incarnation, version=state.version)
        sealed_at = await _seal_all(context, incarnation, state)
        if sealed_at is None:
            await trio.sleep(RETRY_S)
            return
        read_at = context.read_at[incarnation]
        await trio.sleep_until(max(sealed_at, read_at + GRANT_S))
        await _append(context, incarnation, state)
    finally:
        running.discard(incarnation)


def _rank(context, incarnation):
    state = context.ownership.incarnations[incarnation]
    members = [w for w in sum(state.witness_sets, ()) if context.ownership.alive(w)]
    if context.me in members:
        return members.index(context.me)
    order = [key for key, _ in context.ownership.live()]
    return order.index(context.me) if context.me in order else len(order)


async def _seal_all(context, incarnation, state):
    """Return when all grants of a sealed majority have run out, or None."""
    until = []
    for witnesses in state.witness_sets:
        done = await _seal_set(context, incarnation, witnesses)
        if done is None:
            context.log("takeover_waits", incarnation=incarnation, reason="no majority")
            return None
        until.append(done)
    return max(until)


async def _seal_set(context, incarnation, witnesses):
    """Seal every witness; return the time that a majority's grants have run out."""
    needed = len(witnesses) // 2 + 1 if witnesses else 0
    ends = []

    async def seal(witness, enough):
        end = await _seal_one(context, incarnation, witness)
        if end is not None:
            ends.append(end)
        if len(ends) >= needed:
            enough.cancel()

    async with trio.open_nursery() as nursery:
        for witness in witnesses:
            nursery.start_soon(seal, witness, nursery.cancel_scope)
    if len(ends) < needed:
        return None
    return sorted(ends)[needed - 1] if needed else trio.current_time()


async def _seal_one(context, incarnation, witness):
    now = trio.current_time()
    state = context.ownership.incarnations.get(witness)
    if state is None:
        return None
    if not state.alive:
        return context.read_at[witness] + GRANT_S
    if witness == context.me:
        return now + context.witness.seal(incarnation, now).remaining_s
    message = Seal(context.deployment, incarnation)
    reply = await context.call(state.admit.control_address, message)
    if isinstance(reply.ok(), Sealed):
        return trio.current_time() + reply.ok_value.remaining_s
    return None


async def _append(context, incarnation, state):
    if not context.holds_lease():
        return
    base = records.Base(incarnation, state.version)
    shards = context.place(context.ownership, {incarnation})
    record = records.Dead(new_id(), context.me, (base,), shards)
    applied = await context.write(record)
    context.log(
        "takeover_done" if applied.is_ok() else "takeover_failed",
        incarnation=incarnation,
        version=state.version,
        shards=len(shards),
        effect=applied.ok_value.effect if applied.is_ok() else applied.err_value,
    )
