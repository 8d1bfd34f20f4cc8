"""Metrics of a node."""

from collections import Counter
from typing import NamedTuple

import trio

from jujuberudder_core import records
from jujuberudder_operators import TextResponse
from jujuberudder_peers import Ended, Granted, Refused, Renew, Seal, Understood

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SHARD_CAUSES = {
    records.Assign: "assign",
    records.Dead: "takeover",
    records.Leave: "leave",
    records.Release: "move",
}
MAX_PENDING_TAKEOVERS = 1000
MOVE_STEPS = {
    records.Move: "started",
    records.Release: "done",
    records.Cancel: "cancelled",
}


class Takeover(NamedTuple):
    """Takeover that this node started.

    Parameters
    ----------
    last_renewal_at : float or None
        When the failed incarnation last renewed its lease, in seconds.
    sealed_at : float
        When a witness was last sealed, in seconds.
    availability_zone : str
        Availability zone of the failed incarnation.
    shards : Counter
        Number of shards of the failed incarnation by service.
    delegated : bool
        Whether another node appends the ``dead`` record.
    """

    last_renewal_at: float | None
    sealed_at: float
    availability_zone: str
    shards: Counter
    delegated: bool = False


class Recorder:
    """Derives metrics from the records, messages and events of a node.

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

    def count_record(self, record):
        """Count the shards in a record that took effect."""
        if isinstance(record, records.Dead):
            self._record_delegated_takeovers(record)
        kind = type(record)
        for service, shards in _shards_by_service(record).items():
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

    def record_append(self, record, applied, sent_at):
        """Count an append to the ownership stream by its result.

        Parameters
        ----------
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
            self._record_appended_takeover(record, result, sent_at)

    def record_call(self, lease, message, reply, sent_at):
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
                margin = lease.remaining_s(now)
                self._metrics.record("jujuberudder_lease_margin_seconds", margin)
        elif isinstance(message, Seal):
            self._record_step("seal", now - sent_at)
            self._update_takeover(message.incarnation, sealed_at=now)
        elif isinstance(message, Ended) and isinstance(reply.ok(), Understood):
            # Another node appends the ``dead`` record; this node has the timestamps.
            self._update_takeover(message.incarnation, delegated=True)

    def _update_takeover(self, incarnation, **changes):
        if incarnation in self._takeovers:
            takeover = self._takeovers[incarnation]
            self._takeovers[incarnation] = takeover._replace(**changes)

    def record_event(self, event, fields, local):
        """Record the start of a takeover from its log event.

        Parameters
        ----------
        event : str
        fields : dict
        local : LocalIncarnation
        """
        if event != "takeover_started":
            return
        now = trio.current_time()
        incarnation = fields["incarnation"]
        if len(self._takeovers) >= MAX_PENDING_TAKEOVERS:
            # Takeovers that were never completed are not removed otherwise.
            del self._takeovers[next(iter(self._takeovers))]
        state = local.ownership.incarnations[incarnation]
        # Without witnesses, the newest record counts as the last renewal.
        last_renewal_at = local.witness.last_seen_at(
            incarnation
        ) or local.last_read_at.get(incarnation)
        self._takeovers[incarnation] = Takeover(
            last_renewal_at,
            now,
            state.admit.availability_zone,
            Counter(service for service, _ in local.ownership.owned(incarnation)),
        )
        if last_renewal_at is not None:
            self._record_step("detect", now - last_renewal_at)

    def _record_appended_takeover(self, record, result, sent_at):
        """Record the takeovers of a ``dead`` record that this node appended."""
        self._record_step("append", trio.current_time() - sent_at)
        for base in record.bases:
            self._metrics.add("jujuberudder_takeovers_total", result=result)
            takeover = self._takeovers.pop(base.incarnation, None)
            if takeover is None:
                continue
            self._record_step("wait", max(0.0, sent_at - takeover.sealed_at))
            if result == "applied" and not takeover.delegated:
                self._add_unavailable_time(takeover)

    def _record_delegated_takeovers(self, record):
        """Record the takeovers whose ``dead`` record another node appended."""
        for base in record.bases:
            takeover = self._takeovers.get(base.incarnation)
            if takeover is not None and takeover.delegated:
                del self._takeovers[base.incarnation]
                wait_s = trio.current_time() - takeover.sealed_at
                self._record_step("wait", max(0.0, wait_s))
                self._add_unavailable_time(takeover)

    def _add_unavailable_time(self, takeover):
        """Add the time since the last renewal of the failed owner for each shard."""
        if takeover.last_renewal_at is None:
            return
        for service, shards in takeover.shards.items():
            self._metrics.add(
                "jujuberudder_unavailable_seconds_total",
                shards * (trio.current_time() - takeover.last_renewal_at),
                service=service,
                owner_availability_zone=takeover.availability_zone,
            )

    def _record_step(self, step, seconds):
        self._metrics.record("jujuberudder_takeover_step_seconds", seconds, step=step)


def _renewal_result(reply):
    if isinstance(reply.ok(), Granted):
        return "granted"
    if isinstance(reply.ok(), Refused):
        return "refused"
    return "failed"


def _shards_by_service(record):
    """Return the number of shards in a record by service."""
    if hasattr(record, "prefix"):
        return {record.service: 1}
    return Counter(entry.service for entry in getattr(record, "shards", ()))


def observe_node(core, context):
    """Register the metrics that read the state of a node at each scrape.

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

    def with_service(read):
        return lambda: [(read(), {"service": service})]

    def lease(read):
        return lambda: (
            [(read(core.local_incarnation.lease), {})] if core.local_incarnation else []
        )

    observe("jujuberudder_slots", lambda: section("slots"))
    observe("jujuberudder_queue_limit", lambda: section("queue"))
    observe("jujuberudder_slots_used", with_service(lambda: context.admission.used))
    observe(
        "jujuberudder_queue_waiting", with_service(lambda: context.admission.waiting)
    )
    observe("jujuberudder_retries_total", lambda: [(context.retry_budget.spent, {})])
    observe("jujuberudder_retry_budget", lambda: [(context.retry_budget.tokens, {})])
    observe("jujuberudder_target_up", with_service(lambda: int(context.health.up)))
    observe(
        "jujuberudder_lease_held",
        lease(lambda current: int(current.held(trio.current_time()))),
    )
    observe(
        "jujuberudder_lease_remaining_seconds",
        lease(lambda current: current.remaining_s(trio.current_time())),
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
        current_incarnation = (
            core.local_incarnation.incarnation if core.local_incarnation else ""
        )
        return sum(name == service for name, _ in ownership.owned(current_incarnation))

    def unserved(service):
        shards = ownership.shards(service).values()
        return sum(not ownership.alive(shard.owner) for shard in shards)

    def imbalances():
        for service in ownership.services():
            counts = dict.fromkeys((i for i, _ in ownership.live(service)), 0)
            counts |= Counter(
                shard.owner for shard in ownership.shards(service).values()
            )
            loads = (
                core.local_incarnation.loads_by_target(service)
                if core.local_incarnation
                else {}
            )
            for measured, values in (("shards", counts), ("requests", loads)):
                if any(values.values()):
                    mean = sum(values.values()) / len(values)
                    labels = {"service": service, "of": measured}
                    yield max(values.values()) / mean, labels

    observe("jujuberudder_shards", by_service(lambda s: len(ownership.shards(s))))
    observe("jujuberudder_shards_owned", by_service(owned))
    observe("jujuberudder_shards_unserved", by_service(unserved))
    observe("jujuberudder_imbalance", imbalances)


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
    """Return the view that renders the metrics in the Prometheus text format."""

    def view(query):
        text = core.recorder.metrics.render(core.sections.renames)
        return TextResponse(CONTENT_TYPE, text)

    return view
