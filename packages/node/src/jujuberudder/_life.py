"""The life of one incarnation: from its admission until it is dead or leaves."""

import trio

from jujuberudder_core import Serving, new_id, records
from jujuberudder_peers import (
    Lease,
    Refused,
    Released,
    Renew,
    Seal,
    TakeoverContext,
    Understood,
    Witness,
    run_takeovers,
)

from ._admission import admit, keep_lease, maintain_witnesses, renew_lease
from ._placement import successors
from ._planner import run_planner
from ._release import run_releases

RELEASE_READ_S = 0.4


class Life:
    """State of one incarnation.

    Parameters
    ----------
    core : NodeCore
        What outlives the incarnation: folds, log writer, channel.
    """

    def __init__(self, core):
        self._core = core
        self._incarnation = new_id()
        self._lease = Lease()
        self._witness = Witness(self._lease)
        self._serving = Serving(self._incarnation, core.ownership, self._lease)

    @property
    def incarnation(self):
        """Random id of the incarnation."""
        return self._incarnation

    @property
    def settings(self):
        """Settings of the node."""
        return self._core.settings

    @property
    def ownership(self):
        """Fold of the ownership stream."""
        return self._core.ownership

    @property
    def lease(self):
        """Lease of the incarnation."""
        return self._lease

    @property
    def witness(self):
        """Grants given to other incarnations."""
        return self._witness

    @property
    def serving(self):
        """Shards served and requests in flight."""
        return self._serving

    @property
    def read_at(self):
        """When the newest record about an incarnation was read, by incarnation."""
        return self._core.read_at

    def holds_lease(self):
        """Return whether the lease is held now."""
        return self._lease.held(trio.current_time())

    def state(self):
        """Return the fold's state of this incarnation."""
        return self.ownership.incarnations[self._incarnation]

    def section(self):
        """Return the body of the section of this node's service, or None."""
        return self._core.section_bodies().get(self.settings.service)

    def control_address(self, incarnation):
        """Return the control address of a live incarnation, or None."""
        state = self.ownership.incarnations.get(incarnation)
        return state.admit.control_address if state and state.alive else None

    def log(self, event, **fields):
        """Log an event of this incarnation."""
        self._core.recorder.event(event, fields, self._witness, self.read_at)
        self._core.log(event, **fields)

    async def call(self, address, message, *args):
        """Send a control message."""
        sent_at = trio.current_time()
        reply = await self._core.channel.call(address, message, *args)
        self._core.recorder.called(self._lease, message, reply, sent_at)
        return reply

    async def write(self, record):
        """Append to the ownership stream and wait for the effect."""
        sent_at = trio.current_time()
        applied = await self._core.writer.write(record)
        self._core.recorder.written(self.ownership, record, applied, sent_at)
        return applied

    async def catch_up(self):
        """Read the ownership stream to its end."""
        return await self._core.follower.catch_up()

    async def wait_changed(self):
        """Wait until records were applied."""
        await self._core.wait_changed()

    def successors(self, ownership, ended):
        """Return the next owners of the shards of ended incarnations."""
        return successors(ownership, self._core.section_bodies(), ended)

    def observe(self, offset, record):
        """Watch incarnations that name this one as their witness."""
        witnesses = getattr(record, "witnesses", ())
        if self._incarnation in witnesses:
            self._witness.watch(record.incarnation, trio.current_time())

    async def answer_renew(self, message):
        """Answer a renewal."""
        if message.deployment != self.settings.deployment:
            return self._foreign(message)
        return self._witness.renew(message.incarnation, trio.current_time())

    async def answer_seal(self, message):
        """Answer a seal request."""
        if message.deployment != self.settings.deployment:
            return self._foreign(message)
        self.log("sealed", incarnation=message.incarnation)
        return self._witness.seal(message.incarnation, trio.current_time())

    async def answer_released(self, message):
        """Take the word of a former owner once the move itself was read."""
        if message.deployment != self.settings.deployment:
            return self._foreign(message)
        with trio.move_on_after(RELEASE_READ_S):
            while not self._is_destination(message):
                await self.wait_changed()
            name = (message.service, message.prefix)
            self._serving.receive(*name, message.move_epoch)
            self._core.touch()
            self.log(
                "shard_received",
                service=message.service,
                shard=message.prefix,
                epoch=message.move_epoch,
            )
            return Understood()
        return Refused("move not read yet")

    def _is_destination(self, message):
        shard = self.ownership.shards(message.service).get(message.prefix)
        return (
            shard is not None
            and shard.destination == self._incarnation
            and shard.move_epoch == message.move_epoch
        )

    def _foreign(self, message):
        self.log("message_refused", reason="other deployment", got=message.deployment)
        return Refused("other deployment")

    def handlers(self):
        """Return the handlers of control messages by type."""
        return {
            Renew: self.answer_renew,
            Seal: self.answer_seal,
            Released: self.answer_released,
        }


async def run_life(life, addresses, stopping):
    """Admit an incarnation and serve until it is dead or the node stops.

    Parameters
    ----------
    life : Life
    addresses : Addresses
    stopping : trio.Event
        Asks for a graceful leave.
    """
    await admit(life, addresses)
    async with trio.open_nursery() as nursery:
        for task in (
            renew_lease,
            keep_lease,
            maintain_witnesses,
            run_planner,
            run_releases,
        ):
            nursery.start_soon(task, life)
        nursery.start_soon(run_takeovers, _takeover_context(life))
        nursery.start_soon(_leave_when, life, stopping, nursery.cancel_scope)
        while life.state().alive:
            await life.wait_changed()
        life.lease.end()
        nursery.cancel_scope.cancel()
    life.log("incarnation_ended", incarnation=life.incarnation)


def _takeover_context(life):
    return TakeoverContext(
        life.settings.deployment,
        life.incarnation,
        life.ownership,
        life.witness,
        life.read_at,
        life.call,
        life.write,
        life.successors,
        life.holds_lease,
        life.log,
    )


async def _leave_when(life, stopping, cancel_scope):
    """Leave gracefully: finish what is in flight, then hand the shards over."""
    await stopping.wait()
    life.serving.leave()
    life.log("leaving", in_flight=life.serving.in_flight())
    await life.serving.wait_idle()
    while life.state().alive:
        shards = life.successors(life.ownership, {life.incarnation})
        version = life.state().version
        record = records.Leave(new_id(), life.incarnation, version, shards)
        applied = await life.write(record)
        life.log("left", shards=len(shards), result=applied)
        if applied.is_err():
            break
    cancel_scope.cancel()
