"""Takeover of silent incarnations: seal, wait for grants to expire, append a record.

An incarnation is silent if a witness has received no renewal request from it for
``SILENCE_THRESHOLD_S``. A coordinator is a node that seals a silent incarnation at its
witnesses. It reports the sealed incarnation to the collector, a node outside the
availability zone of that incarnation, which appends the deaths in batches. If the
collector does not reply, or its record is not read in time, the coordinator appends the
death itself.
"""

import random
from collections.abc import Callable
from typing import NamedTuple

import trio

from jujuberudder_core import hash_bits, new_id, records

from ._messages import Ended, Refused, Seal, Sealed, Understood
from ._witness import GRANT_S, log_grant_s

SILENCE_THRESHOLD_S = 0.7
CHECK_INTERVAL_S = 0.1
UNWATCHED_SCAN_INTERVAL_S = 0.5
STAGGER_S = 0.15
RETRY_DELAY_S = 0.3
BATCH_DELAY_S = 0.03
COLLECTOR_TIMEOUT_S = 0.2
RECORD_TIMEOUT_S = 0.6
# Limits a record to about 64 KiB with 8 shards per incarnation.
MAX_BASES_PER_RECORD = 100


class TakeoverContext(NamedTuple):
    """State and functions of a node that its takeovers use.

    Parameters
    ----------
    deployment, own_incarnation : str
        ``own_incarnation`` is this node's incarnation.
    ownership : Ownership
    witness : Witness
    pending_deaths : PendingDeaths
    last_read_at : dict of str to float
        Time at which this node read the newest record about an incarnation, its death
        included.
    call_node : async callable
        ``call_node(address, message)`` or ``call_node(address, message, timeout_s)``,
        returning ``Result[reply, Failure]``.
    write_record : async callable
        ``write_record(record)`` appends a record to the log.
    choose_owners : callable
        ``choose_owners(ownership, ended) -> tuple of ShardOwner`` chooses the next
        owners.
    holds_lease : callable
        Whether this node holds its lease.
    destroyed_at : callable
        Returns the time at which this node read in a section that the VM of an
        incarnation is destroyed, or None.
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
    """Sealed incarnations whose witness grants have expired, to be appended as dead."""

    def __init__(self, ownership):
        self._ownership = ownership
        self._versions = {}
        self._added = trio.Event()

    def add(self, incarnation, version):
        """Add an incarnation that was sealed at a version."""
        self._versions[incarnation] = version
        self._added.set()

    def answer(self, message):
        """Reply to an ``Ended`` message of a coordinator, adding its incarnation.

        Returns
        -------
        reply : Understood or Refused
        """
        state = self._ownership.incarnations.get(message.incarnation)
        if state is None or state.version != message.version:
            return Refused("version differs")
        self.add(message.incarnation, message.version)
        return Understood()

    async def wait(self):
        """Wait until at least one incarnation is pending."""
        while not self._versions:
            self._added = trio.Event()
            await self._added.wait()

    def pop_due(self, last_read_at, now):
        """Remove and return up to ``MAX_BASES_PER_RECORD`` bases that are due.

        A base is due once the log grant of its incarnation has expired.

        Returns
        -------
        bases : tuple of Base
        wake_at : float or None
            Time at which the next of the remaining bases is due.
        """
        bases, later = [], []
        for incarnation, version in list(self._versions.items()):
            state = self._ownership.incarnations.get(incarnation)
            if state is None or not state.alive or state.version != version:
                del self._versions[incarnation]
                continue
            due = last_read_at.get(incarnation, now) + log_grant_s(state)
            if due > now or len(bases) == MAX_BASES_PER_RECORD:
                later.append(max(due, now))
                continue
            del self._versions[incarnation]
            bases.append(records.Base(incarnation, version))
        return tuple(bases), min(later, default=None)


async def run_takeovers(context):
    """Find failed incarnations and take them over until cancelled."""
    running = set()
    scan_at = trio.current_time()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_append_deaths, context)
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            now = trio.current_time()
            candidates = _find_silent(context, now)
            if now >= scan_at:
                candidates += _find_unwatched(context, now)
                scan_at = now + UNWATCHED_SCAN_INTERVAL_S
            for incarnation in candidates:
                if incarnation not in running and context.holds_lease():
                    running.add(incarnation)
                    nursery.start_soon(_take_over, context, incarnation, running)


def _find_silent(context, now):
    """Return the silent incarnations that this node is a witness of."""
    silent = []
    for incarnation in context.witness.silent(now, SILENCE_THRESHOLD_S):
        state = context.ownership.incarnations.get(incarnation)
        if state is None or not state.alive:
            context.witness.forget(incarnation)
        elif _receives_renewals(context, incarnation, state):
            silent.append(incarnation)
    return silent


def _receives_renewals(context, incarnation, state):
    """Return whether a healthy incarnation would renew its lease with this node.

    The holder renews with its next witnesses only once it has read the record that
    names them. Until then, the absence of renewals at a next witness is no sign of a
    failure.
    """
    if context.own_incarnation in state.witnesses:
        return True
    if context.own_incarnation not in (state.next_witnesses or ()):
        return False
    if context.witness.has_granted(incarnation):
        return True
    return not any(map(context.ownership.alive, state.witnesses))


def _find_unwatched(context, now):
    """Return incarnations whose failure their live witnesses would not detect.

    These are incarnations without a majority of live witnesses, and those whose VM is
    destroyed.
    """
    unwatched = []
    for incarnation, state in context.ownership.incarnations.items():
        if not state.alive or incarnation == context.own_incarnation:
            continue
        if now - context.last_read_at.get(incarnation, now) <= log_grant_s(state):
            continue
        live = sum(map(context.ownership.alive, state.witnesses))
        if live <= len(state.witnesses) // 2 or context.destroyed_at(incarnation):
            unwatched.append(incarnation)
    return unwatched


async def _take_over(context, incarnation, running):
    try:
        stagger_s = STAGGER_S * _stagger_rank(context, incarnation)
        await trio.sleep(stagger_s)
        state = context.ownership.incarnations.get(incarnation)
        if state is None or not state.alive:
            return
        context.log("takeover_started", incarnation=incarnation, version=state.version)
        grants_end_at = await _seal_witness_sets(context, incarnation, state)
        if grants_end_at is None:
            await trio.sleep(RETRY_DELAY_S * random.uniform(0.8, 1.2))
            return
        last_read_at = context.last_read_at.get(incarnation, trio.current_time())
        ended_at = max(grants_end_at, last_read_at + log_grant_s(state))
        await trio.sleep_until(ended_at + stagger_s)
        if context.ownership.incarnations.get(incarnation) == state:
            await _report_ended(context, incarnation, state)
    finally:
        running.discard(incarnation)


def _stagger_rank(context, incarnation):
    """Return this node's rank among the possible coordinators of a takeover."""
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


async def _seal_witness_sets(context, incarnation, state):
    """Seal a majority of each witness set.

    Returns
    -------
    grants_end_at : float or None
        Time at which the grants of these majorities have expired; None if a set has no
        sealed majority.
    """
    ends = []
    for witnesses in state.witness_sets:
        end = await _seal_majority(context, incarnation, witnesses)
        if end is None:
            context.log(
                "takeover_waits",
                incarnation=incarnation,
                reason="no majority of a witness set is sealed",
            )
            return None
        ends.append(end)
    return max(ends)


async def _seal_majority(context, incarnation, witnesses):
    """Seal a majority of a witness set; return when its grants have expired, or None.

    If this node is a witness, it seals the incarnation only to complete a majority: a
    seal is permanent, and the failure may be that this node alone has lost its link to
    a healthy holder.
    """
    needed = len(witnesses) // 2 + 1 if witnesses else 0
    ends = []

    async def seal(witness, enough):
        end = await _seal_at_witness(context, incarnation, witness)
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


async def _seal_at_witness(context, incarnation, witness):
    """Return the time at which the grants of one witness have expired, or None."""
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


async def _report_ended(context, incarnation, state):
    """Report an ended incarnation to the collector, or add it to the pending deaths."""
    collector = _choose_collector(context, state)
    if collector is not None and collector[0] != context.own_incarnation:
        address = collector[1].admit.control_address
        message = Ended(context.deployment, collector[0], incarnation, state.version)
        reply = await context.call_node(address, message, COLLECTOR_TIMEOUT_S)
        if isinstance(reply.ok(), Understood):
            await trio.sleep(RECORD_TIMEOUT_S)
    if context.ownership.incarnations.get(incarnation) == state:
        context.pending_deaths.add(incarnation, state.version)
        await trio.sleep(RECORD_TIMEOUT_S)


def _choose_collector(context, state):
    """Return the collector for the availability zone of an incarnation.

    Returns
    -------
    collector : tuple of (str, Incarnation) or None
        None if no live node is in another availability zone.
    """
    zone = state.admit.availability_zone
    live = (
        (incarnation, other)
        for incarnation, other in context.ownership.incarnations.items()
        if other.alive and other.admit.availability_zone != zone
    )
    return min(live, key=lambda item: hash_bits(zone + item[0]), default=None)


async def _append_deaths(context):
    """Append the pending deaths in batches until cancelled."""
    while True:
        await context.pending_deaths.wait()
        await trio.sleep(BATCH_DELAY_S)
        now = trio.current_time()
        bases, wake_at = context.pending_deaths.pop_due(context.last_read_at, now)
        if bases and context.holds_lease():
            await _append_dead_record(context, bases)
        elif wake_at is not None:
            await trio.sleep_until(wake_at)


async def _append_dead_record(context, bases):
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
