"""Admission of an incarnation and the records that keep its lease alive."""

import random

import trio

from jujuberudder_core import hash_bits, new_id, records
from jujuberudder_peers import (
    LEASE_S,
    Ping,
    Understood,
    log_grant_s,
    run_renewals,
)

WITNESS_COUNT = 3
ASKED_PER_ZONE = 2
ASKED_ZONES = 5
# With fewer availability zones in reach, others could hardly reach this node either.
REACHED_ZONES = 2
# A record is renewed once this share of its lease is left.
KEEP_SHARE = 0.6
# The answer of the log is awaited twice, for the append and for reading it back; half
# of the lease must be left then.
LOG_ROUND_TRIPS = 6
TICK_S = 0.1
RETRY_S = 0.3
CONNECT_TIMEOUT_S = 1.0
# The loss of an availability zone leaves a third of 4,500 nodes with a dead witness.
# They replace it at this rate, two appends each, while the other two serve.
REPLACED_PER_S = 50


def rank_witnesses(ownership, me, node):
    """Return the incarnations that could be witnesses, by availability zone.

    Parameters
    ----------
    ownership : Ownership
    me : str
        The incarnation that needs witnesses; ranks the choice so that load spreads.
    node : str
        Its node; earlier incarnations of it are not chosen.

    Returns
    -------
    ranked : list of list of str
        Best first, both the availability zones and the incarnations of each.
    """
    zones = {}
    for incarnation, state in ownership.incarnations.items():
        if state.alive and not state.leaving and state.admit.node != node:
            zones.setdefault(state.admit.availability_zone, []).append(incarnation)
    ordered = sorted(zones, key=lambda zone: hash_bits(me + zone))
    return [sorted(zones[zone], key=lambda w: hash_bits(me + w)) for zone in ordered]


async def answering(life):
    """Return one incarnation per availability zone that answers, best first."""
    ranked = rank_witnesses(life.ownership, life.incarnation, life.settings.node)
    found = {}

    async def ask(zone, rank, incarnation):
        address = life.control_address(incarnation)
        if address is None:
            return
        message = Ping(life.settings.deployment, incarnation)
        reply = await life.call(address, message)
        if isinstance(reply.ok(), Understood):
            found[zone, rank] = incarnation

    async with trio.open_nursery() as nursery:
        for zone, incarnations in enumerate(ranked[:ASKED_ZONES]):
            for rank, incarnation in enumerate(incarnations[:ASKED_PER_ZONE]):
                nursery.start_soon(ask, zone, rank, incarnation)
    best = {}
    for (zone, _), incarnation in sorted(found.items()):
        best.setdefault(zone, incarnation)
    return list(best.values())


async def choose_witnesses(life):
    """Return three answering incarnations in different availability zones, or ()."""
    ranked = rank_witnesses(life.ownership, life.incarnation, life.settings.node)
    if len(ranked) < WITNESS_COUNT:
        return ()
    chosen = await answering(life)
    return tuple(chosen[:WITNESS_COUNT]) if len(chosen) >= WITNESS_COUNT else ()


def obstacle(ownership, node, control_address):
    """Return why a node cannot be admitted yet, or None.

    A node whose last incarnation still counts as alive waits for its end. A second
    node with the same name or address would wait for ever, and the reason says so.
    """
    for incarnation, state in ownership.incarnations.items():
        if not state.alive:
            continue
        if state.admit.node == node:
            return f"incarnation {incarnation} of node {node} is alive"
        if state.admit.control_address == control_address:
            return f"node {state.admit.node} is alive at address {control_address}"
    return None


async def admit(life, addresses):
    """Append the admission of an incarnation until it takes effect."""
    started_at = trio.current_time()
    while life.incarnation not in life.ownership.incarnations:
        await _end_predecessor(life, addresses, started_at)
        if not await _may_be_admitted(life, addresses):
            # Not woken by each record: nodes that start together would each read the
            # log once for the record of each other node.
            await trio.sleep(RETRY_S * random.uniform(0.5, 1.0))
            continue
        record = await _admission(life, addresses)
        applied = await life.write(record)
        if applied.is_ok() and applied.ok_value.effect:
            life.lease.extend(applied.ok_value.sent_at, lease_s=record.lease_s)
            break
        # An attempt whose outcome is unknown may take effect later. Its lease would
        # count from its own send time, so it grants none here; ``keep`` follows.
        life.log("admission_waits", reason="no effect", result=applied)
        await trio.sleep(RETRY_S * random.uniform(0.5, 1.0))
    witnesses = ",".join(life.state().witnesses)
    life.log("admitted", incarnation=life.incarnation, witnesses=witnesses)


async def _end_predecessor(life, addresses, started_at):
    """Append ``leave`` for an earlier incarnation of this node whose process ended.

    Without this, nodes that restart together wait for each other's seals for ever. The
    wait before it covers a VM that was replaced while it was frozen.
    """
    node = life.settings.node
    for incarnation, state in life.ownership.live():
        if state.admit.node != node:
            continue
        if trio.current_time() <= started_at + log_grant_s(state):
            continue
        if await has_ended(state.admit.control_address, addresses.control):
            shards = life.successors(life.ownership, {incarnation})
            record = records.Leave(new_id(), incarnation, state.version, shards)
            applied = await life.write(record)
            life.log("predecessor_ended", incarnation=incarnation, result=applied)


async def has_ended(address, mine):
    """Return whether the process that listened at an address of this VM has ended.

    The kernel of this VM refuses connections only if nobody listens there; it accepts
    them for a process that is frozen.

    Parameters
    ----------
    address, mine : str
        Control addresses, ``host:port``. Another host is never taken as ended.
    """
    if address == mine:
        return True
    (host, port), here = address.split(":"), mine.split(":")[0]
    if host != here:
        return False
    with trio.socket.socket() as socket, trio.move_on_after(CONNECT_TIMEOUT_S):
        try:
            await socket.connect((host, int(port)))
        except ConnectionRefusedError:
            return True
    return False


async def _may_be_admitted(life, addresses):
    read = await life.catch_up()
    reason = obstacle(life.ownership, life.settings.node, addresses.control)
    if not read:
        reason = "log service cannot be read"
    elif life.declared_destroyed():
        reason = "a section declares this node destroyed"
    elif not life.complete():
        reason = "no snapshot read yet"
    if reason is not None:
        life.log_once("admission_waits", reason=reason)
    return reason is None


async def _admission(life, addresses):
    settings = life.settings
    return records.Admit(
        new_id(),
        life.incarnation,
        settings.node,
        settings.service,
        settings.availability_zone,
        addresses.control,
        addresses.request,
        addresses.client,
        await choose_witnesses(life),
        life.sections_read(),
        addresses.operator,
        _log_lease_s(life),
    )


def _log_lease_s(life):
    """Return the length of a lease that outlasts the append that grants it, in seconds.

    With 1 s for every log, nodes that started together behind a log with a round trip
    of 0.6 s never held a lease.
    """
    wanted_s = LOG_ROUND_TRIPS * life.log_round_trip_s()
    return min(max(LEASE_S, wanted_s), records.LOG_LEASE_MAX_S)


async def renew_lease(life):
    """Renew with the witness sets in force, following their changes.

    During a change only the new set extends the lease; the old set is renewed so that
    its members do not find the incarnation silent while ``confirm`` is on its way.
    """
    while True:
        sets = life.state().witness_sets
        async with trio.open_nursery() as nursery:
            for witnesses in sets:
                nursery.start_soon(
                    run_renewals,
                    life.lease,
                    life.incarnation,
                    witnesses,
                    life.settings.deployment,
                    life.call,
                    life.control_address,
                    witnesses == sets[-1],
                )
            while life.state().witness_sets == sets:
                await life.wait_for_change()
            nursery.cancel_scope.cancel()


def watched(life, state):
    """Whether a majority of the witnesses to renew with is alive in the log."""
    witnesses = state.witness_sets[-1]
    live = sum(map(life.ownership.alive, witnesses))
    return live > len(witnesses) // 2


async def keep_lease(life):
    """Append ``keep`` records while no majority of witnesses can hold the lease.

    A node that reaches the log but hardly any node appends none, so that it is taken
    over instead of serving a second at a time.
    """
    while not life.lease.ended:
        await trio.sleep(TICK_S)
        state = life.state()
        if not state.alive:
            continue
        by_witnesses = watched(life, state)
        margin_s = 0 if by_witnesses else KEEP_SHARE * _log_lease_s(life)
        if life.lease.remaining(trio.current_time()) > margin_s:
            continue
        if by_witnesses and len(await answering(life)) < REACHED_ZONES:
            life.log_once("keep_withheld", reason="no nodes answer")
            continue
        await _keep(life)


async def _keep(life):
    if life.lease.ended:
        return
    lease_s = _log_lease_s(life)
    record = records.Keep(new_id(), life.incarnation, life.state().version, lease_s)
    applied = await life.write(record)
    if applied.is_ok() and applied.ok_value.effect:
        life.lease.extend(applied.ok_value.sent_at, lease_s=lease_s)
    elif applied.is_err():
        life.log("keep_failed", error=applied.err_value)
        await trio.sleep(RETRY_S)


async def maintain_witnesses(life):
    """Replace a witness set that is missing, or of which a member no longer helps."""
    while True:
        await trio.sleep(TICK_S)
        state = life.state()
        if not state.alive or not life.holds_lease():
            continue
        if state.next_witnesses is not None:
            await _confirm(life, state)
            continue
        reason = _replace_reason(life, state)
        if reason is None:
            continue
        if reason == "member dead" and watched(life, state):
            live = len(life.ownership.live())
            await trio.sleep(random.uniform(0, live / REPLACED_PER_S))
        if life.state() == state:
            await _replace(life, state, reason)


def _replace_reason(life, state):
    if not state.witnesses:
        return "none named"
    if not all(map(life.ownership.alive, state.witnesses)):
        return "member dead"
    if life.lease.sealed_by & set(state.witnesses):
        return "member sealed"
    if not life.lease.held_from(state.witnesses, trio.current_time()):
        return "no majority answers"
    return None


async def _replace(life, state, reason):
    chosen = await choose_witnesses(life)
    if chosen == state.witnesses or (not chosen and watched(life, state)):
        await trio.sleep(RETRY_S)
        return
    record = records.Witnesses(new_id(), life.incarnation, state.version, chosen)
    applied = await life.write(record)
    life.log(
        "witnesses_named", witnesses=",".join(chosen), reason=reason, result=applied
    )


async def _confirm(life, state):
    # Until a renewal with the new set was acknowledged, the lease at hand still comes
    # from the old one.
    if not life.lease.held_from(state.next_witnesses, trio.current_time()):
        return
    record = records.Confirm(new_id(), life.incarnation, state.version)
    applied = await life.write(record)
    life.log("witnesses_confirmed", result=applied)
