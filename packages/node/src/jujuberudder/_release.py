"""Hands shards over that move away from this node."""

import trio

from jujuberudder_core import new_id, records
from jujuberudder_peers import Released, Understood

RETRY_S = 0.2
WATCH_S = 0.1


async def run_releases(local):
    """Release moving shards of this incarnation, each in a task of its own."""
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
    """Finish what runs, stop serving, tell the destination and the log."""
    try:
        shard = local.ownership.shards(name[0])[name[1]]
        released = local.served_shards.released(*name, shard.epoch)
        while not released and local.served_shards.in_flight(*name):
            with trio.move_on_after(WATCH_S):
                await local.served_shards.wait_idle(*name)
            if _current(local, name) != shard:
                return
            if not local.ownership.alive(shard.destination):
                await _cancel(local, name, shard)
                return
        local.served_shards.release(*name, shard.epoch)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_tell, local, name, shard)
            nursery.start_soon(_record, local, name, shard)
    finally:
        running.discard(name)


def _current(local, name):
    return local.ownership.shards(name[0]).get(name[1])


async def _cancel(local, name, shard):
    """Keep a shard whose destination died before this node stopped serving.

    The destination is never told of a release afterwards, so it cannot serve whatever
    becomes of the append.
    """
    while _current(local, name) == shard:
        record = records.Cancel(new_id(), *name, shard.epoch, shard.move_epoch)
        applied = await local.write(record)
        local.log("move_cancelled", service=name[0], shard=name[1], result=applied)
        if applied.is_err():
            await trio.sleep(RETRY_S)


async def _record(local, name, shard):
    while _current(local, name) == shard:
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
            await trio.sleep(RETRY_S)


async def _tell(local, name, shard):
    address = local.control_address(shard.destination)
    if address is None:
        return
    message = Released(local.settings.deployment, *name, shard.move_epoch)
    reply = await local.call(address, message)
    if not isinstance(reply.ok(), Understood):
        local.log(
            "release_not_heard", shard=name[1], to=shard.destination, result=reply
        )
