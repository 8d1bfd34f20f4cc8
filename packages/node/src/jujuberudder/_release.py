"""Handover of shards that move from this node to another."""

import trio

from jujuberudder_core import new_id, records
from jujuberudder_peers import Released, Understood

RETRY_INTERVAL_S = 0.2
CHECK_INTERVAL_S = 0.1


async def run_releases(local):
    """Release the moving shards of this incarnation, each in its own task."""
    running = set()
    async with trio.open_nursery() as nursery:
        while True:
            for name in list(local.ownership.owned(local.incarnation)):
                shard = local.ownership.shards(name[0])[name[1]]
                if shard.destination and name not in running:
                    running.add(name)
                    nursery.start_soon(_release, local, name, running)
            await local.wait_for_change()


async def _release(local, name, running):
    """Finish requests, stop serving, then notify the destination and the log.

    ``name`` is the ``(service, prefix)`` of the shard.
    """
    try:
        shard = local.ownership.shards(name[0])[name[1]]
        released = local.served_shards.released(*name, shard.epoch)
        while not released and local.served_shards.in_flight(*name):
            with trio.move_on_after(CHECK_INTERVAL_S):
                await local.served_shards.wait_idle(*name)
            if _current_shard(local, name) != shard:
                return
            if not local.ownership.alive(shard.destination):
                await _cancel_move(local, name, shard)
                return
        local.served_shards.release(*name, shard.epoch)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_notify_destination, local, name, shard)
            nursery.start_soon(_append_release, local, name, shard)
    finally:
        running.discard(name)


def _current_shard(local, name):
    return local.ownership.shards(name[0]).get(name[1])


async def _cancel_move(local, name, shard):
    """Cancel the move of a shard whose destination died before the release.

    This node sends no release to the destination afterwards, so the destination cannot
    serve the shard, whether or not the append takes effect.
    """
    while _current_shard(local, name) == shard:
        record = records.Cancel(new_id(), *name, shard.epoch, shard.move_epoch)
        applied = await local.write(record)
        local.log("move_cancelled", service=name[0], shard=name[1], result=applied)
        if applied.is_err():
            await trio.sleep(RETRY_INTERVAL_S)


async def _append_release(local, name, shard):
    while _current_shard(local, name) == shard:
        applied = await local.write(records.Release(new_id(), *name, shard.epoch))
        local.log(
            "shard_released",
            service=name[0],
            shard=name[1],
            epoch=shard.epoch,
            to=shard.destination,
            result=applied,
        )
        if applied.is_err():
            await trio.sleep(RETRY_INTERVAL_S)


async def _notify_destination(local, name, shard):
    address = local.control_address(shard.destination)
    if address is None:
        return
    message = Released(local.settings.deployment, *name, shard.move_epoch)
    reply = await local.call(address, message)
    if not isinstance(reply.ok(), Understood):
        local.log(
            "release_not_confirmed", shard=name[1], to=shard.destination, result=reply
        )
