"""Re-appends the state of a stream before retention removes its records."""

import random
from typing import Any, NamedTuple

import trio

from jujuberudder_core import hash_bits, new_id, split_snapshot

CHECK_S = 2.0
# Retention must keep more than twice as many records and twice as long.
SNAPSHOT_RECORDS = 1000
SNAPSHOT_S = 600.0
# One node writes; the next two follow after this time if it does not.
STAGGER_S = 10.0
WRITERS = 3


class SnapshotStream(NamedTuple):
    """A stream with its fold, follower, replay and writer."""

    fold: Any
    follower: Any
    replay: Any
    writer: Any


async def run_snapshots(local, stream):
    """Write snapshots of one stream whenever it is this node's turn."""
    last, since = None, trio.current_time()
    while True:
        await trio.sleep(CHECK_S * random.uniform(0.5, 1.0))
        if stream.replay.last != last:
            last, since = stream.replay.last, trio.current_time()
        rank = _rank(local, last)
        if rank is None or not stream.replay.complete or not local.holds_lease():
            continue
        due_at = _due_at(stream, since)
        if due_at is not None and trio.current_time() >= due_at + rank * STAGGER_S:
            await _write(local, stream)
            since = max(since, trio.current_time() - SNAPSHOT_S / 2)


def _rank(local, last):
    """Return the place of this node among those that write, or None."""
    live = [incarnation for incarnation, _ in local.ownership.live()]
    first = sorted(live, key=lambda one: hash_bits(f"{last} {one}"))[:WRITERS]
    return first.index(local.incarnation) if local.incarnation in first else None


def _due_at(stream, since):
    """Return when a snapshot became due, or None if there is nothing to keep."""
    if stream.fold.position < 1:
        return None
    grown = stream.fold.position - stream.replay.last
    lost = stream.follower.first >= max(1, stream.replay.last_at)
    if grown > SNAPSHOT_RECORDS or lost:
        return since
    return since + SNAPSHOT_S


async def _write(local, stream):
    position, last = stream.fold.position, stream.replay.last
    parts = split_snapshot(new_id(), last, position, stream.fold.dump())
    for record in parts:
        applied = await stream.writer.write(record)
        if applied.is_err() or not applied.ok_value.effect:
            local.log("snapshot_stopped", position=position, result=applied)
            return
    local.log("snapshot_written", position=position, base=last, parts=len(parts))
