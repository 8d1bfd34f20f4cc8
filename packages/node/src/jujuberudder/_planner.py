"""The planner of a service: assigns and moves shards. Advisory only."""

import trio

from jujuberudder_core import new_id, records

from ._placement import plan_assign, plan_moves

PLAN_INTERVAL_S = 0.5


async def run_planner(life):
    """Plan for this node's service whenever it is the planner.

    Parameters
    ----------
    life : Life
    """
    while True:
        await trio.sleep(PLAN_INTERVAL_S)
        section = life.section()
        if section is None or "key" not in section or not life.holds_lease():
            continue
        if await _is_planner(life, section):
            await _plan(life, section)


async def _is_planner(life, section):
    service = section["service"]
    claimed = life.ownership.planners.get(service)
    if claimed and claimed.planner == life.incarnation:
        return True
    if claimed and life.ownership.alive(claimed.planner):
        return False
    live = [incarnation for incarnation, _ in life.ownership.live(service)]
    if not live or live[0] != life.incarnation:
        return False
    term = claimed.term if claimed else 0
    record = records.Claim(new_id(), service, term, life.incarnation)
    applied = await life.write(record)
    life.log("planner_claim", service=service, term=term, result=applied)
    return applied.is_ok() and applied.ok_value.effect


async def _plan(life, section):
    for kind, plan in ((records.Assign, plan_assign), (records.Move, plan_moves)):
        shards = plan(life.ownership, section)
        if not shards:
            continue
        applied = await life.write(kind(new_id(), life.incarnation, shards))
        for shard in shards:
            life.log(
                f"placement_{kind.__name__.lower()}",
                service=shard.service,
                shard=shard.prefix,
                based_on=shard.epoch,
                to=shard.owner,
                result=applied,
            )
