"""Snapshots: the state of a fold, appended before retention removes its records.

A reader that misses records collects the chunks of a snapshot and buffers the records
that it reads in the meantime. When the snapshot is complete and covers all removed
records, the reader loads it and applies the buffered records after its position.
"""

from . import _records as records

# Limits a record to about 40 KiB.
CHUNK_ENTRIES = 200


def split_snapshot(name, base, position, entries):
    """Return the records of a snapshot, each with a chunk of its entries.

    Parameters
    ----------
    name : str
        Random name of the snapshot.
    base : int
        Position of the last complete snapshot, 0 if there is none.
    position : int
        Position of the last record that the state includes.
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
    """Applies records to a fold and bridges gaps from retention with snapshots.

    Parameters
    ----------
    fold : Ownership or Sections
        Object with a method ``load(position, entries)``.
    handle : callable
        ``handle(position, record)``, called for each record other than a snapshot.
    on_loaded : callable
        Called after a snapshot was loaded.
    """

    def __init__(self, fold, handle, on_loaded=lambda: None):
        self._fold = fold
        self._handle = handle
        self._on_loaded = on_loaded
        self._gap_end = None
        self._buffered = []
        self._parts = {}
        self._last = 0
        self._last_at = 0

    @property
    def complete(self):
        """Whether the fold includes all records up to the last one read."""
        return self._gap_end is None

    @property
    def last(self):
        """Position of the last complete snapshot, 0 if none was read."""
        return self._last

    @property
    def last_at(self):
        """Position of the first chunk of the last complete snapshot."""
        return self._last_at

    def note_gap(self, first):
        """Record that retention removed the records before offset ``first``."""
        self._gap_end = first
        self._buffered.clear()

    def process(self, position, record):
        """Apply or buffer a record, or add it to its snapshot if it is a chunk.

        Parameters
        ----------
        position : int
            Offset of the record plus one.
        record : NamedTuple

        Returns
        -------
        effect : bool or None
            Whether the chunk has an effect if the record is a snapshot, else None.
        """
        if isinstance(record, records.Snapshot):
            return self._add_chunk(position, record)
        if self.complete:
            self._handle(position, record)
        else:
            self._buffered.append((position, record))
        return None

    def _add_chunk(self, position, record):
        if self.complete and record.base != self._last:
            return False
        key = (record.name, record.position)
        first_at, parts = self._parts.setdefault(key, (position, {}))
        parts[record.part] = record.entries
        if len(parts) == record.parts:
            self._complete_snapshot(first_at, record, parts)
        return True

    def _complete_snapshot(self, first_at, record, parts):
        if not self.complete and record.position < self._gap_end:
            # The snapshot lacks some of the removed records.
            return
        self._last, self._last_at = record.position, first_at
        self._parts.clear()
        if self.complete:
            return
        entries = [entry for number in sorted(parts) for entry in parts[number]]
        self._fold.load(record.position, entries)
        self._gap_end = None
        self._on_loaded()
        buffered, self._buffered = self._buffered, []
        for position, later in buffered:
            if position > record.position:
                self._handle(position, later)
