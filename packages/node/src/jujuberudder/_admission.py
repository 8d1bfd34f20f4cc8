"""Admission of an incarnation and renewal of its lease."""

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
PINGED_PER_ZONE = 2
PINGED_ZONES = 5
# If fewer availability zones are reachable, other nodes can hardly reach this node.
MIN_REACHED_ZONES = 2
# A ``keep`` record is appended once this share of the lease from the log remains.
KEEP_MARGIN_SHARE = 0.6
# A lease from the log takes two round trips, for the append and for reading it back;
# at least half of the lease must remain afterwards.
LOG_ROUND_TRIPS = 6
POLL_INTERVAL_S = 0.1
RETRY_INTERVAL_S = 0.3
CONNECT_TIMEOUT_S = 1.0
# The loss of an availability zone leaves a third of 4,500 nodes with a dead witness.
# They replace it at this rate, with two appends each, while the other two witnesses
# renew their leases.
MAX_REPLACEMENTS_PER_S = 50


def rank_witnesses(ownership, own_incarnation, node):
    """Return the candidates for witnesses by availability zone, best first.

    Parameters
    ----------
    ownership : Ownership
    own_incarnation : str
        Incarnation that needs witnesses; the ranking depends on it, which distributes
        the load of witnesses over the nodes.
    node : str
        Node of that incarnation; its earlier incarnations are not candidates.

    Returns
    -------
    ranked : list of list of str
        Incarnations of each availability zone; zones and incarnations best first.
    """
    zones = {}
    for incarnation, state in ownership.incarnations.items():
        if state.alive and not state.leaving and state.admit.node != node:
            zones.setdefault(state.admit.availability_zone, []).append(incarnation)
    ordered = sorted(zones, key=lambda zone: hash_bits(own_incarnation + zone))
    return [
        sorted(
            zones[zone],
            key=lambda incarnation: hash_bits(own_incarnation + incarnation),
        )
        for zone in ordered
    ]


async def find_responsive(local):
    """Return one incarnation per availability zone that replies to a ping, best first.

    Zones without a reply are left out.
    """
    ranked = rank_witnesses(local.ownership, local.incarnation, local.settings.node)
    responsive = {}

    async def ping(zone, rank, incarnation):
        address = local.control_address(incarnation)
        if address is None:
            return
        message = Ping(local.settings.deployment, incarnation)
        reply = await local.call(address, message)
        if isinstance(reply.ok(), Understood):
            responsive[zone, rank] = incarnation

    async with trio.open_nursery() as nursery:
        for zone, incarnations in enumerate(ranked[:PINGED_ZONES]):
            for rank, incarnation in enumerate(incarnations[:PINGED_PER_ZONE]):
                nursery.start_soon(ping, zone, rank, incarnation)
    best_by_zone = {}
    for (zone, _), incarnation in sorted(responsive.items()):
        best_by_zone.setdefault(zone, incarnation)
    return list(best_by_zone.values())


async def choose_witnesses(local):
    """Return responsive incarnations in three availability zones, or ()."""
    ranked = rank_witnesses(local.ownership, local.incarnation, local.settings.node)
    if len(ranked) < WITNESS_COUNT:
        return ()
    chosen = await find_responsive(local)
    return tuple(chosen[:WITNESS_COUNT]) if len(chosen) >= WITNESS_COUNT else ()


def obstacle(ownership, node, control_address):
    """Return the reason why a node cannot be admitted yet, or None.

    A node whose previous incarnation still counts as alive waits until that incarnation
    ends. A second node with the same name or address waits indefinitely; the reason
    names the conflicting incarnation or node.
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
    """Append the admission record of an incarnation until it takes effect."""
    started_at = trio.current_time()
    while local.incarnation not in local.ownership.incarnations:
        await _end_predecessor(local, addresses, started_at)
        if not await _may_be_admitted(local, addresses):
            # Waits a fixed time, not for the next record: otherwise nodes that start
            # together would each read the log once per record of every other node.
            await trio.sleep(RETRY_INTERVAL_S * random.uniform(0.5, 1.0))
            continue
        record = await _admission_record(local, addresses)
        applied = await local.write(record)
        if applied.is_ok() and applied.ok_value.effect:
            local.lease.extend(applied.ok_value.sent_at, lease_s=record.lease_s)
            break
        # An append with an unknown outcome may take effect later. Its lease would count
        # from its own send time, so no lease is granted here; a ``keep`` record grants
        # it.
        local.log(
            "admission_waits", reason="admission record took no effect", result=applied
        )
        await trio.sleep(RETRY_INTERVAL_S * random.uniform(0.5, 1.0))
    witnesses = ",".join(local.state().witnesses)
    local.log("admitted", incarnation=local.incarnation, witnesses=witnesses)


async def _end_predecessor(local, addresses, started_at):
    """Append ``leave`` for an earlier incarnation of this node whose process ended.

    Otherwise nodes that restart together would wait for each other's seals forever. The
    append waits until the lease of that incarnation from the log has expired, for the
    case of a VM that was replaced while it was frozen.
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


async def has_ended(address, own_address):
    """Return whether the process that listened at an address of this VM has ended.

    The kernel of this VM refuses connections only if no process listens there; it
    accepts them on behalf of a frozen process.

    Parameters
    ----------
    address, own_address : str
        Control addresses, ``host:port``. A process on another host never counts as
        ended.

    Returns
    -------
    ended : bool
    """
    if address == own_address:
        return True
    (host, port), own_host = address.split(":"), own_address.split(":")[0]
    if host != own_host:
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


async def _admission_record(local, addresses):
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
    """Return a lease duration that outlasts the append that grants it, in seconds.

    With a fixed duration of 1 s, nodes that started together with a log round trip of
    0.6 s never held a lease.
    """
    lease_s = LOG_ROUND_TRIPS * local.log_round_trip_s()
    return min(max(LEASE_S, lease_s), records.LOG_LEASE_MAX_S)


async def renew_lease(local):
    """Renew the lease with the witness sets in force, following their changes.

    During a change only the new set extends the lease. Renewals with the old set
    continue, so that its members do not suspect the incarnation while the ``confirm``
    record is being appended.
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


def has_live_majority(local, state):
    """Return whether a majority of the newest witness set is alive in the log."""
    witnesses = state.witness_sets[-1]
    live = sum(map(local.ownership.alive, witnesses))
    return live > len(witnesses) // 2


async def keep_lease(local):
    """Append ``keep`` records while no majority of witnesses can extend the lease.

    A node that reaches the log but hardly any other node appends none: it is taken over
    instead of serving for one second at a time.
    """
    while not local.lease.ended:
        await trio.sleep(POLL_INTERVAL_S)
        state = local.state()
        if not state.alive:
            continue
        witnessed = has_live_majority(local, state)
        margin_s = 0 if witnessed else KEEP_MARGIN_SHARE * _log_lease_s(local)
        if local.lease.remaining_s(trio.current_time()) > margin_s:
            continue
        if witnessed and len(await find_responsive(local)) < MIN_REACHED_ZONES:
            local.log_once("keep_withheld", reason="too few availability zones answer")
            continue
        await _append_keep(local)


async def _append_keep(local):
    if local.lease.ended:
        return
    lease_s = _log_lease_s(local)
    record = records.Keep(new_id(), local.incarnation, local.state().version, lease_s)
    applied = await local.write(record)
    if applied.is_ok() and applied.ok_value.effect:
        local.lease.extend(applied.ok_value.sent_at, lease_s=lease_s)
    elif applied.is_err():
        local.log("keep_failed", error=applied.err_value)
        await trio.sleep(RETRY_INTERVAL_S)


async def maintain_witnesses(local):
    """Replace a witness set that is missing or has a member that is dead or sealed.

    A set is also replaced if no majority of it replies.
    """
    while True:
        await trio.sleep(POLL_INTERVAL_S)
        state = local.state()
        if not state.alive or not local.holds_lease():
            continue
        if state.next_witnesses is not None:
            await _confirm_witnesses(local, state)
            continue
        reason = _replacement_reason(local, state)
        if reason is None:
            continue
        if reason == "member dead" and has_live_majority(local, state):
            live = len(local.ownership.live())
            await trio.sleep(random.uniform(0, live / MAX_REPLACEMENTS_PER_S))
        if local.state() == state:
            await _replace_witnesses(local, state, reason)


def _replacement_reason(local, state):
    if not state.witnesses:
        return "none named"
    if not all(map(local.ownership.alive, state.witnesses)):
        return "member dead"
    if local.lease.sealed_by & set(state.witnesses):
        return "member sealed"
    if not local.lease.held_by_witnesses(state.witnesses, trio.current_time()):
        return "no majority answers"
    return None


async def _replace_witnesses(local, state, reason):
    chosen = await choose_witnesses(local)
    if chosen == state.witnesses or (not chosen and has_live_majority(local, state)):
        await trio.sleep(RETRY_INTERVAL_S)
        return
    record = records.Witnesses(new_id(), local.incarnation, state.version, chosen)
    applied = await local.write(record)
    local.log(
        "witnesses_named", witnesses=",".join(chosen), reason=reason, result=applied
    )


async def _confirm_witnesses(local, state):
    # Until the new set has acknowledged a renewal, the current lease still comes from
    # the old set.
    if not local.lease.held_by_witnesses(state.next_witnesses, trio.current_time()):
        return
    record = records.Confirm(new_id(), local.incarnation, state.version)
    applied = await local.write(record)
    local.log("witnesses_confirmed", result=applied)
