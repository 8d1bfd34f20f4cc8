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


async def answering(local):
    """Return one incarnation per availability zone that answers, best first."""
    ranked = rank_witnesses(local.ownership, local.incarnation, local.settings.node)
    found = {}

    async def ask(zone, rank, incarnation):
        address = local.control_address(incarnation)
        if address is None:
            return
        message = Ping(local.settings.deployment, incarnation)
        reply = await local.call(address, message)
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


async def choose_witnesses(local):
    """Return three answering incarnations in different availability zones, or ()."""
    ranked = rank_witnesses(local.ownership, local.incarnation, local.settings.node)
    if len(ranked) < WITNESS_COUNT:
        return ()
    chosen = await answering(local)
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


async def admit(local, addresses):
    """Append the admission of an incarnation until it takes effect."""
    started_at = trio.current_time()
    while local.incarnation not in local.ownership.incarnations:
        await _end_predecessor(local, addresses, started_at)
        if not await _may_be_admitted(local, addresses):
            # Not woken by each record: nodes that start together would each read the
            # log once for the record of each other node.
            await trio.sleep(RETRY_S * random.uniform(0.5, 1.0))
            continue
        record = await _admission(local, addresses)
        applied = await local.write(record)
        if applied.is_ok() and applied.ok_value.effect:
            local.lease.extend(applied.ok_value.sent_at, lease_s=record.lease_s)
            break
        # An attempt whose outcome is unknown may take effect later. Its lease would
        # count from its own send time, so it grants none here; ``keep`` follows.
        local.log("admission_waits", reason="no effect", result=applied)
        await trio.sleep(RETRY_S * random.uniform(0.5, 1.0))
    witnesses = ",".join(local.state().witnesses)
    local.log("admitted", incarnation=local.incarnation, witnesses=witnesses)


async def _end_predecessor(local, addresses, started_at):
    """Append ``leave`` for an earlier incarnation of this node whose process ended.

    Without this, nodes that restart together wait for each other's seals for ever. The
    wait before it covers a VM that was replaced while it was frozen.
    """
    node = local.settings.node
    for incarnation, state in local.ownership.live():
        if state.admit.node != node:
            continue
        if trio.current_time() <= started_at + log_grant_s(state):
            continue
        if await has_ended(state.admit.control_address, addresses.control):
            shards = local.successors(local.ownership, {incarnation})
            record = records.Leave(new_id(), incarnation, state.version, shards)
            applied = await local.write(record)
            local.log("predecessor_ended", incarnation=incarnation, result=applied)


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


async def _may_be_admitted(local, addresses):
    read = await local.catch_up()
    reason = obstacle(local.ownership, local.settings.node, addresses.control)
    if not read:
        reason = "log service cannot be read"
    elif local.declared_destroyed():
        reason = "a section declares this node destroyed"
    elif not local.complete():
        reason = "no snapshot read yet"
    if reason is not None:
        local.log_once("admission_waits", reason=reason)
    return reason is None


async def _admission(local, addresses):
    settings = local.settings
    return records.Admit(
        new_id(),
        local.incarnation,
        settings.node,
        settings.service,
        settings.availability_zone,
        addresses.control,
        addresses.request,
        addresses.client,
        await choose_witnesses(local),
        local.sections_read(),
        addresses.operator,
        _log_lease_s(local),
    )


def _log_lease_s(local):
    """Return the length of a lease that outlasts the append that grants it, in seconds.

    With 1 s for every log, nodes that started together behind a log with a round trip
    of 0.6 s never held a lease.
    """
    wanted_s = LOG_ROUND_TRIPS * local.log_round_trip_s()
    return min(max(LEASE_S, wanted_s), records.LOG_LEASE_MAX_S)


async def renew_lease(local):
    """Renew with the witness sets in force, following their changes.

    During a change only the new set extends the lease; the old set is renewed so that
    its members do not find the incarnation silent while ``confirm`` is on its way.
    """
    while True:
        sets = local.state().witness_sets
        async with trio.open_nursery() as nursery:
            for witnesses in sets:
                nursery.start_soon(
                    run_renewals,
                    local.lease,
                    local.incarnation,
                    witnesses,
                    local.settings.deployment,
                    local.call,
                    local.control_address,
                    witnesses == sets[-1],
                )
            while local.state().witness_sets == sets:
                await local.wait_for_change()
            nursery.cancel_scope.cancel()


def watched(local, state):
    """Whether a majority of the witnesses to renew with is alive in the log."""
    witnesses = state.witness_sets[-1]
    live = sum(map(local.ownership.alive, witnesses))
    return live > len(witnesses) // 2


async def keep_lease(local):
    """Append ``keep`` records while no majority of witnesses can hold the lease.

    A node that reaches the log but hardly any node appends none, so that it is taken
    over instead of serving a second at a time.
    """
    while not local.lease.ended:
        await trio.sleep(TICK_S)
        state = local.state()
        if not state.alive:
            continue
        by_witnesses = watched(local, state)
        margin_s = 0 if by_witnesses else KEEP_SHARE * _log_lease_s(local)
        if local.lease.remaining_s(trio.current_time()) > margin_s:
            continue
        if by_witnesses and len(await answering(local)) < REACHED_ZONES:
            local.log_once("keep_withheld", reason="no nodes answer")
            continue
        await _keep(local)


async def _keep(local):
    if local.lease.ended:
        return
    lease_s = _log_lease_s(local)
    record = records.Keep(new_id(), local.incarnation, local.state().version, lease_s)
    applied = await local.write(record)
    if applied.is_ok() and applied.ok_value.effect:
        local.lease.extend(applied.ok_value.sent_at, lease_s=lease_s)
    elif applied.is_err():
        local.log("keep_failed", error=applied.err_value)
        await trio.sleep(RETRY_S)


async def maintain_witnesses(local):
    """Replace a witness set that is missing, or of which a member no longer helps."""
    while True:
        await trio.sleep(TICK_S)
        state = local.state()
        if not state.alive or not local.holds_lease():
            continue
        if state.next_witnesses is not None:
            await _confirm(local, state)
            continue
        reason = _replace_reason(local, state)
        if reason is None:
            continue
        if reason == "member dead" and watched(local, state):
            live = len(local.ownership.live())
            await trio.sleep(random.uniform(0, live / REPLACED_PER_S))
        if local.state() == state:
            await _replace(local, state, reason)


def _replace_reason(local, state):
    if not state.witnesses:
        return "none named"
    if not all(map(local.ownership.alive, state.witnesses)):
        return "member dead"
    if local.lease.sealed_by & set(state.witnesses):
        return "member sealed"
    if not local.lease.held_by_witnesses(state.witnesses, trio.current_time()):
        return "no majority answers"
    return None


async def _replace(local, state, reason):
    chosen = await choose_witnesses(local)
    if chosen == state.witnesses or (not chosen and watched(local, state)):
        await trio.sleep(RETRY_S)
        return
    record = records.Witnesses(new_id(), local.incarnation, state.version, chosen)
    applied = await local.write(record)
    local.log(
        "witnesses_named", witnesses=",".join(chosen), reason=reason, result=applied
    )


async def _confirm(local, state):
    # Until a renewal with the new set was acknowledged, the lease at hand still comes
    # from the old one.
    if not local.lease.held_by_witnesses(state.next_witnesses, trio.current_time()):
        return
    record = records.Confirm(new_id(), local.incarnation, state.version)
    applied = await local.write(record)
    local.log("witnesses_confirmed", result=applied)
