"""Planner of a service: assigns, moves, splits and merges shards.

Plans are advisory only: the fold of the log decides which records take effect.
"""

import trio

from jujuberudder_core import new_id, records

from ._placement import headroom, plan
from ._placement_state import PlacementState

PLAN_INTERVAL_S = 0.5
# Time for every owner to report its load to a new planner before it balances by load.
WARM_UP_S = 6.0
# Time without a renewal after which an incarnation gets no shards.
SUSPECT_AFTER_S = 0.5
HEADROOM_LOG_S = 30.0


async def run_planner(local):
    """Plan placement for the service of this node while this node is its planner.

    Parameters
    ----------
    local : LocalIncarnation
    """
    balance_from = logged_at = 0.0
    while True:
        await trio.sleep(PLAN_INTERVAL_S)
        section = local.section()
        if section is None or not local.holds_lease():
            continue
        if not await _is_or_becomes_planner(local, section):
            local.placement = None
            continue
        now = trio.current_time()
        if local.placement is None:
            local.placement = PlacementState(section["service"], local.ownership)
            balance_from = now + WARM_UP_S
        if "key" in section:
            await _plan(local, section, balance=now >= balance_from)
        if now - logged_at >= HEADROOM_LOG_S:
            logged_at = now
            _log_headroom(local, section, now)


async def _is_or_becomes_planner(local, section):
    """Return whether this incarnation is the planner, after claiming if necessary.

    The first live incarnation of the service claims if the last planner has ended.
    """
    service = section["service"]
    claim = local.ownership.planners.get(service)
    if claim and claim.planner == local.incarnation:
        return True
    if claim and local.ownership.alive(claim.planner):
        return False
    live = [incarnation for incarnation, _ in local.ownership.live(service)]
    if not live or live[0] != local.incarnation:
        return False
    term = claim.term if claim else 0
    record = records.Claim(new_id(), service, term, local.incarnation)
    applied = await local.write(record)
    local.log("planner_claim", service=service, term=term, result=applied)
    return applied.is_ok() and applied.ok_value.effect


async def _plan(local, section, balance):
    placement = local.placement
    now = trio.current_time()
    suspected = local.witness.silent(now, SUSPECT_AFTER_S)
    new_plan = plan(placement, local.ownership, section, now, suspected, balance)
    placement.clear_changed(new_plan.deferred)
    for kind, shards in (
        (records.Assign, new_plan.assigns),
        (records.Move, new_plan.moves),
    ):
        if shards:
            await _append_owners(local, placement, kind, shards)
    for prefix, epoch in new_plan.splits:
        record = records.Split(new_id(), placement.service, prefix, epoch)
        await _append_reshape(local, record, placement.rate(prefix))
    for prefix, epochs in new_plan.merges:
        record = records.Merge(new_id(), placement.service, prefix, epochs)
        await _append_reshape(
            local, record, sum(placement.rate(prefix + digit) for digit in "01")
        )


async def _append_owners(local, placement, kind, shards):
    loads = [placement.rate(shard.prefix) for shard in shards]
    holders = [placement.holder(shard.prefix) for shard in shards]
    applied = await local.write(kind(new_id(), local.incarnation, shards))
    for shard, rate, holder in zip(shards, loads, holders):
        local.log(
            f"placement_{kind.__name__.lower()}",
            service=shard.service,
            shard=shard.prefix,
            based_on=shard.epoch,
            rate=rate,
            origin=holder or "",
            to=shard.owner,
            result=applied,
        )


async def _append_reshape(local, record, rate):
    applied = await local.write(record)
    local.log(
        f"placement_{type(record).__name__.lower()}",
        service=record.service,
        shard=record.prefix,
        rate=rate,
        result=applied,
    )


def _log_headroom(local, section, now):
    for zone, room in sorted(headroom(local.placement, section, now).items()):
        local.log(
            "zone_headroom",
            service=section["service"],
            lost=zone,
            free_share=float(room),
            fits=room >= 0,
        )
