"""What a node measures of itself."""

from collections import Counter

import trio

from jujuberudder_core import records
from jujuberudder_operators import Text
from jujuberudder_peers import Granted, Refused, Renew, Seal

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SHARD_CAUSES = {
    records.Assign: "assign",
    records.Dead: "takeover",
    records.Leave: "leave",
    records.Release: "move",
}
MOVE_STEPS = {
    records.Move: "started",
    records.Release: "done",
    records.Cancel: "cancelled",
}


class Recorder:
    """Turns the records, messages and events of a node into metrics.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics):
        self._metrics = metrics
        self._takeovers = {}

    @property
    def metrics(self):
        """Metrics of the node."""
        return self._metrics

    def counts(self, record):
        """Count the shards that a record which took effect concerns."""
        kind = type(record)
        for service, shards in _shards(record).items():
            if kind in SHARD_CAUSES:
                self._metrics.add(
                    "jujuberudder_shard_owner_changes_total",
                    shards,
                    service=service,
                    cause=SHARD_CAUSES[kind],
                )
            if kind in MOVE_STEPS:
                step = MOVE_STEPS[kind]
                self._metrics.add(
                    "jujuberudder_moves_total", shards, service=service, step=step
                )

    def written(self, ownership, record, applied, sent_at):
        """Count an append to the ownership stream and what became of it.

        Parameters
        ----------
        ownership : Ownership
        record : NamedTuple
        applied : Result[Applied, Failure]
        sent_at : float
            When the append was sent.
        """
        result = "failed"
        if applied.is_ok():
            result = "applied" if applied.ok_value.effect else "superseded"
        self._metrics.add(
            "jujuberudder_log_appends_total", stream="ownership", result=result
        )
        if isinstance(record, records.Dead):
            self._taken_over(ownership, record, result, sent_at)

    def called(self, lease, message, reply, sent_at):
        """Record the reply to a control message.

        Parameters
        ----------
        lease : Lease
        message : NamedTuple
        reply : Result[NamedTuple, Failure]
        sent_at : float
        """
        now = trio.current_time()
        if isinstance(message, Renew):
            result = _renewal_result(reply)
            self._metrics.add("jujuberudder_lease_renewals_total", result=result)
            if result == "granted":
                margin = lease.remaining(now)
                self._metrics.record("jujuberudder_lease_margin_seconds", margin)
        elif isinstance(message, Seal):
            self._step("seal", now - sent_at)
            heard_at, _ = self._takeovers.get(message.incarnation, (None, now))
            self._takeovers[message.incarnation] = (heard_at, now)

    def event(self, event, fields, witness, read_at):
        """Note the start of a takeover by the event that is logged for it.

        Parameters
        ----------
        event : str
        fields : dict
        witness : Witness
        read_at : dict of str to float
            When the newest record about an incarnation was read; it stands for the
            last renewal of an incarnation without witnesses.
        """
        if event != "takeover_started":
            return
        now = trio.current_time()
        incarnation = fields["incarnation"]
        heard_at = witness.heard_at(incarnation) or read_at.get(incarnation)
        self._takeovers[incarnation] = (heard_at, now)
        if heard_at is not None:
            self._step("detect", now - heard_at)

    def _taken_over(self, ownership, record, result, sent_at):
        now = trio.current_time()
        self._step("append", now - sent_at)
        heard = []
        for base in record.bases:
            heard_at, sealed_at = self._takeovers.pop(base.incarnation, (None, sent_at))
            self._step("wait", max(0.0, sent_at - sealed_at))
            self._metrics.add("jujuberudder_takeovers_total", result=result)
            if heard_at is not None:
                heard.append(heard_at)
        if result == "applied" and heard:
            self._unavailable(ownership, record, now - min(heard))

    def _unavailable(self, ownership, record, seconds):
        """Add the time since the lost owners were last heard of, for each shard."""
        state = ownership.incarnations.get(record.bases[0].incarnation)
        zone = state.admit.availability_zone if state else "unknown"
        for service, shards in _shards(record).items():
            self._metrics.add(
                "jujuberudder_unavailable_seconds_total",
                shards * seconds,
                service=service,
                owner_availability_zone=zone,
            )

    def _step(self, step, seconds):
        self._metrics.record("jujuberudder_takeover_step_seconds", seconds, step=step)


def _renewal_result(reply):
    if isinstance(reply.ok(), Granted):
        return "granted"
    if isinstance(reply.ok(), Refused):
        return "refused"
    return "failed"


def _shards(record):
    """Return the number of shards in a record by service."""
    if hasattr(record, "prefix"):
        return {record.service: 1}
    return Counter(entry.service for entry in getattr(record, "shards", ()))


def observe_node(core, context):
    """Let the metrics of a node read its state at each scrape.

    Parameters
    ----------
    core : NodeCore
    context : RouteContext
    """
    service = core.settings.service
    observe = core.recorder.metrics.observe

    def section(name):
        body = core.section_bodies().get(service)
        return [(body[name], {"service": service})] if body else []

    def own(read):
        return lambda: [(read(), {"service": service})]

    def lease(read):
        return lambda: [(read(core.life.lease), {})] if core.life else []

    observe("jujuberudder_slots", lambda: section("slots"))
    observe("jujuberudder_queue_limit", lambda: section("queue"))
    observe("jujuberudder_slots_used", own(lambda: context.admission.used))
    observe("jujuberudder_queue_waiting", own(lambda: context.admission.waiting))
    observe("jujuberudder_retries_total", lambda: [(context.budget.spent, {})])
    observe("jujuberudder_retry_budget", lambda: [(context.budget.tokens, {})])
    observe("jujuberudder_target_up", own(lambda: int(context.health.up)))
    observe(
        "jujuberudder_lease_held",
        lease(lambda held: int(held.held(trio.current_time()))),
    )
    observe(
        "jujuberudder_lease_remaining_seconds",
        lease(lambda held: held.remaining(trio.current_time())),
    )
    _observe_shards(core, observe)
    _observe_streams(core, observe)


def _observe_shards(core, observe):
    ownership = core.ownership

    def by_service(measure):
        return lambda: [
            (measure(service), {"service": service}) for service in ownership.services()
        ]

    def owned(service):
        me = core.life.incarnation if core.life else ""
        return sum(name == service for name, _ in ownership.owned(me))

    def unserved(service):
        shards = ownership.shards(service).values()
        return sum(not ownership.alive(shard.owner) for shard in shards)

    def imbalance(service):
        shards = ownership.shards(service).values()
        counts = Counter(shard.owner for shard in shards)
        nodes = len(ownership.live(service))
        return max(counts.values()) * nodes / len(shards) if shards else 0.0

    observe("jujuberudder_shards", by_service(lambda s: len(ownership.shards(s))))
    observe("jujuberudder_shards_owned", by_service(owned))
    observe("jujuberudder_shards_unserved", by_service(unserved))
    observe("jujuberudder_imbalance", by_service(imbalance))


def _observe_streams(core, observe):
    names = ("ownership", "sections")

    def streams(measure):
        return lambda: [
            (measure(follower), {"stream": name})
            for name, follower in zip(names, core.followers)
        ]

    def versions():
        sections = core.sections.all.items()
        return [(s.version, {"section": name}) for name, s in sections]

    observe("jujuberudder_log_position", streams(lambda follower: follower.next))
    observe(
        "jujuberudder_log_read_age_seconds",
        streams(lambda follower: max(0.0, trio.current_time() - follower.read_at)),
    )
    observe("jujuberudder_section_version", versions)
    observe(
        "jujuberudder_sections_rejected_total", lambda: [(core.sections.rejected, {})]
    )


def metrics_view(core):
    """Return the view that serves the metrics as Prometheus text."""

    def view(query):
        text = core.recorder.metrics.render(core.sections.renames)
        return Text(CONTENT_TYPE, text)

    return view
