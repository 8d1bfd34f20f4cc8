"""Admission to the local target: slots and a short queue ordered by deadline."""

import heapq
import itertools
from contextlib import asynccontextmanager

import trio
from result import Err, Ok

from jujuberudder_core import Failure


class Admission:
    """Slots of one target.

    Parameters
    ----------
    limits : callable
        Returns ``(slots, queue)`` as set by the section in force.
    """

    def __init__(self, limits):
        self._limits = limits
        self._used = 0
        self._waiting = []
        self._order = itertools.count()

    @property
    def used(self):
        """Slots in use."""
        return self._used

    @property
    def waiting(self):
        """Requests in the queue."""
        return len(self._waiting)

    @asynccontextmanager
    async def slot(self, deadline):
        """Hold a slot, waiting for it until ``deadline`` at the latest.

        Yields
        ------
        admitted : Result[None, Failure]
        """
        admitted = await self._enter(deadline)
        try:
            yield admitted
        finally:
            if admitted.is_ok():
                self._leave()

    async def _enter(self, deadline):
        slots, queue = self._limits()
        if self._used < slots and not self._waiting:
            self._used += 1
            return Ok(None)
        if len(self._waiting) >= queue:
            return Err(Failure("admit", "target", "queue full"))
        entry = (deadline, next(self._order), trio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            with trio.move_on_at(deadline):
                await entry[2].wait()
                return Ok(None)
            return Err(Failure("admit", "target", "deadline passed in queue"))
        finally:
            self._settle(entry)

    def _settle(self, entry):
        """Remove a waiter that gave up; pass on a slot given to it at that moment."""
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)

    def _leave(self):
        self._used -= 1
        slots, _ = self._limits()
        while self._waiting and self._used < slots:
            _, _, event = heapq.heappop(self._waiting)
            self._used += 1
            event.set()
