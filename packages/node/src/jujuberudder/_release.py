"""Hands shards over that move away from this node."""

import trio

from jujuberudder_core import new_id, records
from jujuberudder_peers import Released, Understood

RETRY_S = 0.2


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
            await life.wait_changed()


async def _release(life, name, running):
    """Finish what runs, stop serving, tell the destination and the log."""
    try:
        shard = life.ownership.shards(name[0])[name[1]]
        await life.serving.wait_idle(*name)
        current = life.ownership.shards(name[0]).get(name[1])
        if current != shard:
            return
        life.serving.release(*name, shard.epoch)
        await _tell(life, name, shard)
        record = records.Release(new_id(), *name, shard.epoch)
        while life.ownership.shards(name[0]).get(name[1]) == shard:
            applied = await life.write(record)
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
                record = record._replace(id=new_id())
    finally:
        running.discard(name)


async def _tell(life, name, shard):
    address = life.control_address(shard.destination)
    if address is None:
        return
    message = Released(life.settings.deployment, *name, shard.move_epoch)
    reply = await life.call(address, message)
    if not isinstance(reply.ok(), Understood):
        life.log("release_not_heard", shard=name[1], to=shard.destination, result=reply)
