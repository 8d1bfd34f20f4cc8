"""Snapshots: append the state of a stream before retention removes its records."""

import random
from typing import Any, NamedTuple

import trio

from jujuberudder_core import hash_bits, new_id, split_snapshot

CHECK_INTERVAL_S = 2.0
# The retention of the log must exceed twice this number of records and twice this time.
SNAPSHOT_MAX_RECORDS = 1000
SNAPSHOT_INTERVAL_S = 600.0
# One node writes; if it does not, the next two writers follow, each this much later.
WRITER_STAGGER_S = 10.0
WRITERS = 3


class SnapshotStream(NamedTuple):
    """Stream with its fold, follower, replay and writer."""

    fold: Any
    follower: Any
    replay: Any
    writer: Any


async def run_snapshots(local, stream):
    """Write a snapshot of one stream whenever one is due from this node."""
    last_snapshot, changed_at = None, trio.current_time()
    while True:
        await trio.sleep(CHECK_INTERVAL_S * random.uniform(0.5, 1.0))
        if stream.replay.last != last_snapshot:
            last_snapshot, changed_at = stream.replay.last, trio.current_time()
        rank = _writer_rank(local, last_snapshot)
        if rank is None or not stream.replay.complete or not local.holds_lease():
            continue
        due_at = _due_at(stream, changed_at)
        if (
            due_at is not None
            and trio.current_time() >= due_at + rank * WRITER_STAGGER_S
        ):
            await _write_snapshot(local, stream)
            changed_at = max(changed_at, trio.current_time() - SNAPSHOT_INTERVAL_S / 2)


def _writer_rank(local, last_snapshot):
    """Return the rank of this node among the writers, or None if it is not one."""
    live = [incarnation for incarnation, _ in local.ownership.live()]
    writers = sorted(
        live, key=lambda incarnation: hash_bits(f"{last_snapshot} {incarnation}")
    )[:WRITERS]
    return writers.index(local.incarnation) if local.incarnation in writers else None


def _due_at(stream, changed_at):
    """Return when a snapshot becomes due, or None if the stream is empty.

    It is due at once if many records were appended since the last snapshot, or if
    retention reaches the last snapshot.
    """
    if stream.fold.position < 1:
        return None
    new_records = stream.fold.position - stream.replay.last
    expiring = stream.follower.first >= max(1, stream.replay.last_at)
    if new_records > SNAPSHOT_MAX_RECORDS or expiring:
        return changed_at
    return changed_at + SNAPSHOT_INTERVAL_S


async def _write_snapshot(local, stream):
    position, last_snapshot = stream.fold.position, stream.replay.last
    parts = split_snapshot(new_id(), last_snapshot, position, stream.fold.dump())
    for record in parts:
        applied = await stream.writer.write(record)
        if applied.is_err() or not applied.ok_value.effect:
            local.log("snapshot_stopped", position=position, result=applied)
            return
    local.log(
        "snapshot_written", position=position, base=last_snapshot, parts=len(parts)
    )
