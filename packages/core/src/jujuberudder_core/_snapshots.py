"""Snapshots: the state of a fold, re-appended before retention removes the records.

A reader that misses records collects the chunks of a snapshot and keeps the records
that it reads meanwhile. Once the snapshot is complete and covers all that was removed,
it loads the state and applies the kept records after the snapshot's position.
"""

from . import _records as records

# About 40 KiB in one record.
CHUNK_ENTRIES = 200


def split_snapshot(name, base, position, entries):
    """Return the records of a snapshot.

    Parameters
    ----------
    name : str
        Random name of this snapshot.
    base : int
        Position of the last complete snapshot, 0 if there is none.
    position : int
        Position of the last record that the state contains.
    entries : list of list
    """
    parts = [
        entries[n : n + CHUNK_ENTRIES] for n in range(0, len(entries), CHUNK_ENTRIES)
    ] or [[]]
    return [
        records.Snapshot(
            records.new_id(), name, base, position, number, len(parts), part
        )
        for number, part in enumerate(parts)
    ]


class LogReplay:
    """Hands records to a fold, across what retention removed.

    Parameters
    ----------
    fold : Ownership or Sections
        With ``load(position, entries)``.
    handle : callable
        ``handle(position, record)`` for each record but snapshots.
    loaded : callable
        Called after a snapshot was loaded.
    """

    def __init__(self, fold, handle, loaded=lambda: None):
        self._fold = fold
        self._handle = handle
        self._loaded = loaded
        self._missing_to = None
        self._kept = []
        self._parts = {}
        self._last = 0
        self._last_at = 0

    @property
    def complete(self):
        """Whether no record is missing before the last one read."""
        return self._missing_to is None

    @property
    def last(self):
        """Position of the last complete snapshot, 0 if none was read."""
        return self._last

    @property
    def last_at(self):
        """Position at which the chunks of the last complete snapshot begin."""
        return self._last_at

    def miss(self, first):
        """Note that retention removed the records before offset ``first``."""
        self._missing_to = first
        self._kept.clear()

    def take(self, position, record):
        """Take a record; return whether a snapshot's chunk has an effect, else None."""
        if isinstance(record, records.Snapshot):
            return self._collect(position, record)
        if self.complete:
            self._handle(position, record)
        else:
            self._kept.append((position, record))
        return None

    def _collect(self, position, record):
        if self.complete and record.base != self._last:
            return False
        key = (record.name, record.position)
        begun_at, parts = self._parts.setdefault(key, (position, {}))
        parts[record.part] = record.entries
        if len(parts) == record.parts:
            self._finish(begun_at, record, parts)
        return True

    def _finish(self, begun_at, record, parts):
        if not self.complete and record.position < self._missing_to:
            return
        self._last, self._last_at = record.position, begun_at
        self._parts.clear()
        if self.complete:
            return
        entries = [entry for number in sorted(parts) for entry in parts[number]]
        self._fold.load(record.position, entries)
        self._missing_to = None
        self._loaded()
        kept, self._kept = self._kept, []
        for position, one in kept:
            if position > record.position:
                self._handle(position, one)
