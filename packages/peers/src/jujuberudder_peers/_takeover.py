"""Takeover of silent incarnations: seal, wait for grants to run out, append.

Coordinators hand what they sealed to one node outside the lost availability zone, which
appends the deaths in few records. A coordinator that gets no answer, or sees no record
in time, appends by itself.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from jujuberudder_core import hash_bits, new_id, records

from ._messages import Ended, Refused, Seal, Sealed, Understood
from ._witness import GRANT_S, log_grant_s

SILENT_S = 0.7
TICK_S = 0.1
SCAN_INTERVAL_S = 0.5
STAGGER_S = 0.15
RETRY_S = 0.3
COLLECT_S = 0.03
COLLECT_TIMEOUT_S = 0.2
RECORD_S = 0.6
# Bounds a record to about 64 KiB with 8 shards per incarnation.
MAX_BASES = 100


class TakeoverContext(NamedTuple):
    """What a takeover needs to know of its node.

    Parameters
    ----------
    deployment, own_incarnation : str
        ``own_incarnation`` is this node's incarnation.
    ownership : Ownership
    witness : Witness
    pending_deaths : PendingDeaths
    last_read_at : dict of str to float
        When this node read the newest record about an incarnation, and about its
        death.
    call_node : async callable
    write_record : async callable
    choose_owners : callable
        ``choose_owners(ownership, ended) -> tuple of ShardOwner`` chooses the next
        owners.
    holds_lease : callable
    destroyed_at : callable
        When this node learnt from a section that the VM of an incarnation is
        destroyed, or None.
    log : callable
    """

    deployment: str
    own_incarnation: str
    ownership: object
    witness: object
    pending_deaths: object
    last_read_at: dict
    call_node: Callable
    write_record: Callable
    choose_owners: Callable
    holds_lease: Callable
    destroyed_at: Callable
    log: Callable


class PendingDeaths:
    """Incarnations whose grants have run out and whose death is to be appended."""

    def __init__(self, ownership):
        self._ownership = ownership
        self._versions = {}
        self._added = trio.Event()

    def add(self, incarnation, version):
        """Add an incarnation that was sealed at a version."""
        self._versions[incarnation] = version
        self._added.set()

    def answer(self, message):
        """Answer a coordinator that hands over an incarnation."""
        state = self._ownership.incarnations.get(message.incarnation)
        if state is None or state.version != message.version:
            return Refused("version differs")
        self.add(message.incarnation, message.version)
        return Understood()

    async def wait(self):
        """Wait until there is at least one incarnation."""
        while not self._versions:
            self._added = trio.Event()
            await self._added.wait()

    def take(self, last_read_at, now):
        """Remove and return up to ``MAX_BASES`` bases whose wait has passed.

        Returns
        -------
        bases : tuple of Base
        wake_at : float or None
            When the next of the others has waited long enough.
        """
        bases, later = [], []
        for incarnation, version in list(self._versions.items()):
            state = self._ownership.incarnations.get(incarnation)
            if state is None or not state.alive or state.version != version:
                del self._versions[incarnation]
                continue
            due = last_read_at.get(incarnation, now) + log_grant_s(state)
            if due > now or len(bases) == MAX_BASES:
                later.append(max(due, now))
                continue
            del self._versions[incarnation]
            bases.append(records.Base(incarnation, version))
        return tuple(bases), min(later, default=None)


async def run_takeovers(context):
    """Take over the incarnations that went silent, for ever."""
    running = set()
    scan_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_append_deaths, context)
        while True:
            await trio.sleep(TICK_S)
            now = trio.current_time()
            found = _silent(context, now)
            if now >= scan_at:
                found += _unwatched(context, now)
                scan_at = now + SCAN_INTERVAL_S
            for incarnation in found:
                if incarnation not in running and context.holds_lease():
                    running.add(incarnation)
                    nursery.start_soon(_take_over, context, incarnation, running)


def _silent(context, now):
    """Return the silent incarnations that this node is a witness of."""
    found = []
    for incarnation in context.witness.silent(now, SILENT_S):
        state = context.ownership.incarnations.get(incarnation)
        if state is None or not state.alive:
            context.witness.forget(incarnation)
        elif _acts(context, incarnation, state):
            found.append(incarnation)
    return found


def _acts(context, incarnation, state):
    """Whether this node would see the renewals of a healthy incarnation.

    The holder renews with its next witnesses only once it has read that they were
    named; until then their silence means nothing.
    """
    if context.own_incarnation in state.witnesses:
        return True
    if context.own_incarnation not in (state.next_witnesses or ()):
        return False
    if context.witness.granted(incarnation):
        return True
    return not any(map(context.ownership.alive, state.witnesses))


def _unwatched(context, now):
    """Return incarnations whose end no majority of live witnesses would notice."""
    found = []
    for incarnation, state in context.ownership.incarnations.items():
        if not state.alive or incarnation == context.own_incarnation:
            continue
        if now - context.last_read_at.get(incarnation, now) <= log_grant_s(state):
            continue
        live = sum(map(context.ownership.alive, state.witnesses))
        if live <= len(state.witnesses) // 2 or context.destroyed_at(incarnation):
            found.append(incarnation)
    return found


async def _take_over(context, incarnation, running):
    try:
        stagger_s = STAGGER_S * _rank(context, incarnation)
        await trio.sleep(stagger_s)
        state = context.ownership.incarnations.get(incarnation)
        if state is None or not state.alive:
            return
        context.log("takeover_started", incarnation=incarnation, version=state.version)
        sealed_at = await _seal_all(context, incarnation, state)
        if sealed_at is None:
            await trio.sleep(RETRY_S * random.uniform(0.8, 1.2))
            return
        last_read_at = context.last_read_at.get(incarnation, trio.current_time())
        ended_at = max(sealed_at, last_read_at + log_grant_s(state))
        await trio.sleep_until(ended_at + stagger_s)
        if context.ownership.incarnations.get(incarnation) == state:
            await _hand_in(context, incarnation, state)
    finally:
        running.discard(incarnation)


def _rank(context, incarnation):
    state = context.ownership.incarnations.get(incarnation)
    sets = sum(state.witness_sets, ()) if state else ()
    members = [w for w in sets if context.ownership.alive(w)]
    if context.own_incarnation in members:
        return members.index(context.own_incarnation)
    order = [key for key, _ in context.ownership.live()]
    return (
        order.index(context.own_incarnation)
        if context.own_incarnation in order
        else len(order)
    )


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
    """Seal a majority; return the time that its grants have run out, or None.

    This node seals the incarnation itself only if it completes a majority: a seal is
    for good, and this node alone may have lost its link to a healthy holder.
    """
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
            if witness != context.own_incarnation:
                nursery.start_soon(seal, witness, nursery.cancel_scope)
    if context.own_incarnation in witnesses and len(ends) == needed - 1:
        now = trio.current_time()
        reply = context.witness.seal(incarnation, now)
        if isinstance(reply, Sealed):
            ends.append(now + reply.remaining_s)
    if len(ends) < needed:
        return None
    return sorted(ends)[needed - 1] if needed else trio.current_time()


async def _seal_one(context, incarnation, witness):
    """Return when the grants of one witness have run out, or None."""
    state = context.ownership.incarnations.get(witness)
    if state is None:
        return None
    if not state.alive:
        return context.last_read_at.get(witness, trio.current_time()) + GRANT_S
    destroyed_at = context.destroyed_at(witness)
    if destroyed_at is not None:
        return destroyed_at + GRANT_S
    message = Seal(context.deployment, witness, incarnation)
    reply = await context.call_node(state.admit.control_address, message)
    if isinstance(reply.ok(), Sealed):
        return trio.current_time() + reply.ok_value.remaining_s
    return None


async def _hand_in(context, incarnation, state):
    """Give an ended incarnation to the collecting node, or append its death here."""
    collector = _collector(context, state)
    if collector is not None and collector[0] != context.own_incarnation:
        address = collector[1].admit.control_address
        message = Ended(context.deployment, collector[0], incarnation, state.version)
        reply = await context.call_node(address, message, COLLECT_TIMEOUT_S)
        if isinstance(reply.ok(), Understood):
            await trio.sleep(RECORD_S)
    if context.ownership.incarnations.get(incarnation) == state:
        context.pending_deaths.add(incarnation, state.version)
        await trio.sleep(RECORD_S)


def _collector(context, state):
    """Return the node that collects the deaths of an availability zone, or None."""
    zone = state.admit.availability_zone
    live = (
        (incarnation, other)
        for incarnation, other in context.ownership.incarnations.items()
        if other.alive and other.admit.availability_zone != zone
    )
    return min(live, key=lambda item: hash_bits(zone + item[0]), default=None)


async def _append_deaths(context):
    """Append the deaths that were handed in, many in one record."""
    while True:
        await context.pending_deaths.wait()
        await trio.sleep(COLLECT_S)
        now = trio.current_time()
        bases, wake_at = context.pending_deaths.take(context.last_read_at, now)
        if bases and context.holds_lease():
            await _append(context, bases)
        elif wake_at is not None:
            await trio.sleep_until(wake_at)


async def _append(context, bases):
    ended = {base.incarnation for base in bases}
    shards = context.choose_owners(context.ownership, ended)
    record = records.Dead(new_id(), context.own_incarnation, bases, shards)
    applied = await context.write_record(record)
    for base in bases:
        context.log(
            "takeover_done" if applied.is_ok() else "takeover_failed",
            incarnation=base.incarnation,
            version=base.version,
            shards=len(shards),
            effect=applied.ok_value.effect if applied.is_ok() else applied.err_value,
        )
