"""One incarnation of a node, from its admission until it leaves or is dead."""

import trio

from jujuberudder_core import Incarnation, ServedShards, new_id, records
from jujuberudder_peers import (
    Ended,
    Lease,
    PendingDeaths,
    Ping,
    Refused,
    Released,
    Renew,
    Report,
    Seal,
    Summary,
    TakeoverContext,
    Understood,
    Witness,
    run_takeovers,
)

from ._admission import admit, keep_lease, maintain_witnesses, renew_lease
from ._placement import successors
from ._planner import SUSPECT_AFTER_S, run_planner
from ._release import run_releases
from ._reports import Reporter, run_reports
from ._snapshots import run_snapshots

MOVE_READ_TIMEOUT_S = 0.4
RETRY_INTERVAL_S = 0.3
# A leaving target gets no new requests after 2 s; requests admitted last still have to
# reach the target within that time.
HANDOVER_TIMEOUT_S = 1.5


class LocalIncarnation:
    """State of one incarnation.

    Parameters
    ----------
    core : NodeCore
        State that outlives the incarnation: folds, log writer, channel.
    """

    def __init__(self, core):
        self._core = core
        self._incarnation = new_id()
        self._lease = Lease()
        self._witness = Witness(self._lease, core.ownership.alive)
        self._pending_deaths = PendingDeaths(core.ownership)
        self._last_logged = {}
        self._served_shards = ServedShards(
            self._incarnation, core.ownership, self._lease
        )
        self._reporter = Reporter(core.meter)
        self.placement = None

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
        """Witness that issues grants to other incarnations."""
        return self._witness

    @property
    def pending_deaths(self):
        """Ended incarnations for which this node appends ``dead`` records."""
        return self._pending_deaths

    @property
    def served_shards(self):
        """Shards served and requests in flight."""
        return self._served_shards

    @property
    def meter(self):
        """Load of the shards of this node."""
        return self._core.meter

    @property
    def reporter(self):
        """Loads reported to planners and received from them."""
        return self._reporter

    @property
    def last_read_at(self):
        """When the newest record about an incarnation was read, by incarnation."""
        return self._core.last_read_at

    def holds_lease(self):
        """Return whether the lease is held now."""
        return self._lease.held(trio.current_time())

    def state(self):
        """Return the state of this incarnation in the fold, dead if it was pruned."""
        state = self.ownership.incarnations.get(self._incarnation)
        return state or Incarnation(None, 0, (), alive=False)

    def owned(self):
        """Return the names of the shards that this incarnation owns in the log."""
        return self.ownership.owned(self._incarnation)

    def destination(self, name):
        """Return the destination of a shard's move, or ``""`` if it does not move."""
        return self.ownership.shards(name[0])[name[1]].destination

    def section(self):
        """Return the body of the section of this node's service, or None."""
        return self._core.section_bodies().get(self.settings.service)

    def control_address(self, incarnation):
        """Return the control address of a live incarnation, or None."""
        state = self.ownership.incarnations.get(incarnation)
        return state.admit.control_address if state and state.alive else None

    def log(self, event, **fields):
        """Log an event of this incarnation."""
        self._core.recorder.record_event(event, fields, self)
        self._core.log(event, **fields)

    def log_once(self, event, **fields):
        """Log an event unless its previous occurrence had the same fields."""
        if self._last_logged.get(event) != fields:
            self._last_logged[event] = fields
            self.log(event, **fields)

    def destroyed_at(self, incarnation):
        """Return when an incarnation's declaration as destroyed was read, or None."""
        return self._core.destroyed_at(incarnation)

    def sections_read(self):
        """Return the position up to which the configuration stream was read."""
        return self._core.sections_read()

    def complete(self):
        """Return whether both streams were read without missing records."""
        return self._core.complete()

    @property
    def snapshot_streams(self):
        """Both streams with what is needed to write their snapshots."""
        return self._core.snapshot_streams

    def declared_destroyed(self):
        """Return whether a section in force lists this node as destroyed."""
        return self._core.declared_destroyed(self.settings.node)

    async def call(self, address, message, *args):
        """Send a control message."""
        sent_at = trio.current_time()
        reply = await self._core.channel.call(address, message, *args)
        self._core.recorder.record_call(self._lease, message, reply, sent_at)
        return reply

    async def write(self, record):
        """Append a record to the ownership stream and wait for its effect."""
        sent_at = trio.current_time()
        applied = await self._core.writer.write(record)
        self._core.recorder.record_append(record, applied, sent_at)
        return applied

    async def catch_up(self):
        """Read both streams to their ends; return whether both could be read."""
        read = [await follower.catch_up() for follower in self._core.followers]
        return all(read)

    def log_round_trip_s(self):
        """Return the recent round-trip time of the log service, in seconds."""
        return self._core.follower.round_trip_s

    async def wait_for_change(self):
        """Wait until records were applied."""
        await self._core.wait_for_change()

    def successors(self, ownership, ended):
        """Return the new owners of the shards of ended incarnations."""
        suspected = self._witness.silent(trio.current_time(), SUSPECT_AFTER_S)
        sections = self._core.section_bodies()
        return successors(ownership, sections, ended, self._loads, suspected)

    def loads_by_target(self, service):
        """Return the known requests/s of the targets of a service."""
        known = self._loads(service)
        return known[0] if known else {}

    def _loads(self, service):
        """Return the loads by target and a function of a shard's load, or None."""
        if self.placement is not None and self.placement.service == service:
            placement = self.placement
            by_target = {
                incarnation: placement.load_of(incarnation)
                for incarnation in placement.members()
            }
            return by_target, lambda prefix, owner: placement.load(prefix)
        known = self._reporter.loads(service)
        if not known:
            return None
        by_target = {incarnation: rate for incarnation, (_, _, rate) in known.items()}
        mean = sum(by_target.values()) / len(by_target)

        def of_shard(prefix, owner):
            return by_target.get(owner, mean) / max(1, len(self.ownership.owned(owner)))

        return by_target, of_shard

    def observe(self, offset, record):
        """Update the placement; watch incarnations that name this one as a witness."""
        if self.placement is not None:
            self.placement.observe(record, trio.current_time())
        witnesses = getattr(record, "witnesses", ())
        if self._incarnation in witnesses:
            self._witness.watch(record.incarnation, trio.current_time())

    async def answer_renew(self, message):
        """Answer a lease renewal."""
        if not self._is_addressed(message):
            return self._refuse_wrong_address(message)
        return self._witness.renew(message.incarnation, trio.current_time())

    async def answer_seal(self, message):
        """Answer a seal request."""
        if not self._is_addressed(message):
            return self._refuse_wrong_address(message)
        reply = self._witness.seal(message.incarnation, trio.current_time())
        self.log("seal", incarnation=message.incarnation, reply=reply)
        return reply

    async def answer_ping(self, message):
        """Answer a ping of a node that searches for witnesses."""
        if not self._is_addressed(message) or self._lease.ended:
            return self._refuse_wrong_address(message)
        return Understood()

    async def answer_ended(self, message):
        """Accept an ended incarnation from another coordinator to append its death."""
        if not self._is_addressed(message) or not self.holds_lease():
            return self._refuse_wrong_address(message)
        return self._pending_deaths.answer(message)

    def _is_addressed(self, message):
        here = (self.settings.deployment, self._incarnation)
        return (message.deployment, message.to) == here

    async def answer_released(self, message):
        """Accept the handover of a shard once the record of its move was read."""
        if message.deployment != self.settings.deployment:
            return self._refuse_wrong_address(message)
        with trio.move_on_after(MOVE_READ_TIMEOUT_S):
            while not self._is_destination(message):
                await self.wait_for_change()
            name = (message.service, message.prefix)
            self._served_shards.accept_handover(*name, message.move_epoch)
            self._core.notify_changed()
            self.log(
                "shard_received",
                service=message.service,
                shard=message.prefix,
                epoch=message.move_epoch,
            )
            return Understood()
        return Refused("move not read yet")

    async def answer_report(self, message):
        """Store the load of a target and reply with the loads of other targets."""
        if message.deployment != self.settings.deployment:
            return self._refuse_wrong_address(message)
        if self.placement is None or self.placement.service != message.service:
            return Refused("not the planner")
        self.placement.add_report(message, trio.current_time())
        return Summary(self.placement.summary())

    def _is_destination(self, message):
        shard = self.ownership.shards(message.service).get(message.prefix)
        return (
            shard is not None
            and shard.destination == self._incarnation
            and shard.move_epoch == message.move_epoch
        )

    def _refuse_wrong_address(self, message):
        reason = "other deployment"
        if message.deployment == self.settings.deployment:
            reason = "other incarnation"
        kind = type(message).__name__.lower()
        self.log_once("message_refused", reason=reason, kind=kind)
        return Refused(reason)

    def handlers(self):
        """Return the handlers of control messages by message type."""
        return {
            Renew: self.answer_renew,
            Seal: self.answer_seal,
            Ping: self.answer_ping,
            Ended: self.answer_ended,
            Released: self.answer_released,
            Report: self.answer_report,
        }


async def run_incarnation(local, addresses, stopping):
    """Admit an incarnation and serve until it is dead or has left.

    Parameters
    ----------
    local : LocalIncarnation
    addresses : Addresses
    stopping : trio.Event
        Requests a graceful leave when set.
    """
    await admit(local, addresses)
    try:
        await _serve(local, stopping)
    finally:
        local.lease.end()
        local.served_shards.cancel_guarded()
    local.log("incarnation_ended", incarnation=local.incarnation)


async def _serve(local, stopping):
    async with trio.open_nursery() as nursery:
        for task in (
            renew_lease,
            keep_lease,
            maintain_witnesses,
            run_planner,
            run_releases,
            _leave_when_sealed,
            run_reports,
        ):
            nursery.start_soon(task, local)
        for stream in local.snapshot_streams:
            nursery.start_soon(run_snapshots, local, stream)
        nursery.start_soon(local.served_shards.run_lease_guard)
        nursery.start_soon(run_takeovers, _takeover_context(local))
        nursery.start_soon(_leave_when_stopping, local, stopping, nursery.cancel_scope)
        while local.state().alive:
            await local.wait_for_change()
        nursery.cancel_scope.cancel()


def _takeover_context(local):
    return TakeoverContext(
        local.settings.deployment,
        local.incarnation,
        local.ownership,
        local.witness,
        local.pending_deaths,
        local.last_read_at,
        local.call,
        local.write,
        local.successors,
        local.holds_lease,
        local.destroyed_at,
        local.log,
    )


async def _leave_when_sealed(local):
    """Leave once a majority of witnesses has permanently refused renewals.

    The lease has ended by then; leaving gives the shards to other owners without a
    takeover.
    """
    await local.lease.wait_ended()
    if local.served_shards.leaving:
        return
    local.log("sealed_by_majority", incarnation=local.incarnation)
    while not await _append_leave(local):
        await trio.sleep(RETRY_INTERVAL_S)


async def _leave_when_stopping(local, stopping, cancel_scope):
    """Leave gracefully: hand over the shards, then finish the requests in flight."""
    await stopping.wait()
    local.log("leaving", in_flight=local.served_shards.in_flight())
    with trio.move_on_after(HANDOVER_TIMEOUT_S):
        await _withdraw(local)
        while any(not local.destination(name) for name in local.owned()):
            await local.wait_for_change()
    local.served_shards.leave()
    await local.served_shards.wait_idle()
    # A witness that the log records as dead counts as sealed, so this node must not
    # issue grants after its leave.
    local.lease.end()
    await _append_leave(local)
    cancel_scope.cancel()


async def _withdraw(local):
    """Append one record that starts the moves of all shards."""
    while not local.state().leaving:
        shards = tuple(
            entry
            for entry in local.successors(local.ownership, {local.incarnation})
            if not local.destination((entry.service, entry.prefix))
        )
        record = records.Withdraw(
            new_id(), local.incarnation, local.state().version, shards
        )
        applied = await local.write(record)
        local.log("withdrawn", shards=len(shards), result=applied)
        if applied.is_err():
            await trio.sleep(RETRY_INTERVAL_S)


async def _append_leave(local):
    """Append ``leave`` until it takes effect; return False if an append fails."""
    while local.state().alive:
        shards = local.successors(local.ownership, {local.incarnation})
        version = local.state().version
        record = records.Leave(new_id(), local.incarnation, version, shards)
        applied = await local.write(record)
        local.log("left", shards=len(shards), result=applied)
        if applied.is_err():
            return False
    return True
