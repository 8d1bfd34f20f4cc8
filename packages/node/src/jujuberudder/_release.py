"""Hands shards over that move away from this node."""

import trio

from jujuberudder_core import new_id, records
from jujuberudder_peers import Released, Understood

RETRY_S = 0.2
WATCH_S = 0.1


async def run_releases(life):
    """Release moving shards of this incarnation, each in a task of its own."""
    running = set()
    async with trio.open_nursery() as nursery:
        while True:
            for name in list(life.ownership.owned(life.incarnation)):
                shard = life.ownership.shards(name[0])[name[1]]
                if shard.destination and name not in running:
                    running.add(name)
                    nursery.start_soon(_release, life, name, running)
            await life.wait_for_change()


async def _release(life, name, running):
    """Finish what runs, stop serving, tell the destination and the log."""
    try:
        shard = life.ownership.shards(name[0])[name[1]]
        released = life.serving.released(*name, shard.epoch)
        while not released and life.serving.in_flight(*name):
            with trio.move_on_after(WATCH_S):
                await life.serving.wait_idle(*name)
            if _current(life, name) != shard:
                return
            if not life.ownership.alive(shard.destination):
                await _cancel(life, name, shard)
                return
        life.serving.release(*name, shard.epoch)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_tell, life, name, shard)
            nursery.start_soon(_record, life, name, shard)
    finally:
        running.discard(name)


def _current(life, name):
    return life.ownership.shards(name[0]).get(name[1])


async def _cancel(life, name, shard):
    """Keep a shard whose destination died before this node stopped serving.

    The destination is never told of a release afterwards, so it cannot serve whatever
    becomes of the append.
    """
    while _current(life, name) == shard:
        record = records.Cancel(new_id(), *name, shard.epoch, shard.move_epoch)
        applied = await life.write(record)
        life.log("move_cancelled", service=name[0], shard=name[1], result=applied)
        if applied.is_err():
            await trio.sleep(RETRY_S)


async def _record(life, name, shard):
    while _current(life, name) == shard:
        applied = await life.write(records.Release(new_id(), *name, shard.epoch))
        life.log(
            "shard_released",
            service=name[0],
            shard=name[1],
            epoch=shard.epoch,
            to=shard.destination,
            result=applied,
        )
        if applied.is_err():
            await trio.sleep(RETRY_S)


async def _tell(life, name, shard):
    address = life.control_address(shard.destination)
    if address is None:
        return
    message = Released(life.settings.deployment, *name, shard.move_epoch)
    reply = await life.call(address, message)
    if not isinstance(reply.ok(), Understood):
        life.log("release_not_heard", shard=name[1], to=shard.destination, result=reply)
