"""Admission of an incarnation and the records that keep its lease alive."""

import trio

from jujuberudder_core import hash_bits, new_id, records
from jujuberudder_peers import LEASE_S, run_renewals

WITNESS_COUNT = 3
KEEP_MARGIN_S = LEASE_S * 0.6
TICK_S = 0.1
RETRY_S = 0.3


def choose_witnesses(ownership, me, node):
    """Return three live incarnations in different availability zones, or ().

    Parameters
    ----------
    ownership : Ownership
    me : str
        The incarnation that needs witnesses; ranks the choice so that load spreads.
    node : str
        Its node; earlier incarnations of it are not chosen.
    """
    by_zone = {}
    live = [item for item in ownership.live() if item[1].admit.node != node]
    for incarnation, state in sorted(live, key=lambda item: hash_bits(me + item[0])):
        by_zone.setdefault(state.admit.availability_zone, incarnation)
    chosen = sorted(by_zone.values(), key=lambda item: hash_bits(me + item))
    return tuple(chosen[:WITNESS_COUNT]) if len(chosen) >= WITNESS_COUNT else ()


async def admit(life, addresses):
    """Append the admission of an incarnation until it takes effect."""
    settings = life.settings
    while True:
        await life.catch_up()
        witnesses = choose_witnesses(life.ownership, life.incarnation, settings.node)
        record = records.Admit(
            new_id(),
            life.incarnation,
            settings.node,
            settings.service,
            settings.availability_zone,
            addresses.control,
            addresses.request,
            addresses.client,
            witnesses,
            operator_address=addresses.operator,
        )
        sent_at = trio.current_time()
        applied = await life.write(record)
        if life.ownership.alive(life.incarnation):
            life.lease.extend(sent_at)
            life.log("admitted", incarnation=life.incarnation, witnesses=len(witnesses))
            return
        life.log("admission_waits", result=applied)
        await trio.sleep(RETRY_S)


async def renew_lease(life):
    """Renew with the witness set in force, following its changes."""
    while True:
        state = life.state()
        renewed = state.witness_sets[-1]
        async with trio.open_nursery() as nursery:
            if renewed:
                nursery.start_soon(
                    run_renewals,
                    life.lease,
                    life.incarnation,
                    renewed,
                    life.settings.deployment,
                    life.call,
                    life.control_address,
                )
            while life.state().witness_sets[-1] == renewed:
                await life.wait_changed()
            nursery.cancel_scope.cancel()


async def keep_lease(life):
    """Append ``keep`` records while there are no witnesses or the lease lapsed."""
    while True:
        await trio.sleep(TICK_S)
        state = life.state()
        now = trio.current_time()
        remaining = life.lease.remaining(now)
        if life.lease.ended or not state.alive:
            continue
        if remaining > (0 if state.witness_sets[-1] else KEEP_MARGIN_S):
            continue
        record = records.Keep(new_id(), life.incarnation, state.version)
        applied = await life.write(record)
        if applied.is_ok() and applied.ok_value.effect:
            life.lease.extend(now)
        elif applied.is_err():
            life.log("keep_failed", error=applied.err_value)
            await trio.sleep(RETRY_S)


async def maintain_witnesses(life):
    """Replace a witness set that is missing or has dead members."""
    while True:
        await trio.sleep(TICK_S)
        state = life.state()
        if not state.alive or not life.holds_lease():
            continue
        if state.next_witnesses is not None:
            await _confirm(life, state)
        elif not state.witnesses or not all(map(life.ownership.alive, state.witnesses)):
            await _replace(life, state)


async def _replace(life, state):
    node = life.settings.node
    chosen = choose_witnesses(life.ownership, life.incarnation, node)
    if not chosen:
        await trio.sleep(RETRY_S)
        return
    record = records.Witnesses(new_id(), life.incarnation, state.version, chosen)
    applied = await life.write(record)
    life.log("witnesses_named", witnesses=",".join(chosen), result=applied)


async def _confirm(life, state):
    # Until a renewal with the new set was acknowledged, the lease at hand still comes
    # from the old one.
    if not life.lease.held_from(state.next_witnesses, trio.current_time()):
        return
    record = records.Confirm(new_id(), life.incarnation, state.version)
    applied = await life.write(record)
    life.log("witnesses_confirmed", result=applied)
