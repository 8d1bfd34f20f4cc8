"""Instruments that a node serves on ``/metrics``, and validation of their renames."""

from typing import NamedTuple

# Labels of all series of a node.
COMMON_LABELS = ("node", "availability_zone")
TIME_BOUNDS_S = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    30.0,
    60.0,
)


class Instrument(NamedTuple):
    """Definition of one instrument.

    Parameters
    ----------
    name : str
        Name on ``/metrics``; Prometheus appends ``_bucket``, ``_sum`` and ``_count``
        to the names of histograms.
    kind : str
        ``"counter"``, ``"gauge"`` or ``"histogram"``.
    labels : tuple of str
        Labels in addition to `COMMON_LABELS`.
    question : str
        Question that the instrument answers; served as its help text.
    bounds : tuple of float
        Bucket bounds of a histogram.
    """

    name: str
    kind: str
    labels: tuple[str, ...]
    question: str
    bounds: tuple[float, ...] = ()


def _counter(name, labels, question):
    return Instrument(f"jujuberudder_{name}_total", "counter", labels, question)


def _gauge(name, labels, question):
    return Instrument(f"jujuberudder_{name}", "gauge", labels, question)


def _duration(name, labels, question):
    name = f"jujuberudder_{name}_seconds"
    return Instrument(name, "histogram", labels, question, TIME_BOUNDS_S)


SERVICE = ("service",)
ALL = (
    _counter(
        "requests",
        ("service", "outcome", "reason"),
        "How many requests were answered, and why were the others refused?",
    ),
    _duration("request", SERVICE, "How long did requests take at this node?"),
    _counter("retries", (), "How many requests were sent again?"),
    _gauge("retry_budget", (), "How many retries are left in the budget?"),
    _gauge("slots", SERVICE, "How many slots does the target have?"),
    _gauge("slots_used", SERVICE, "How many slots of the target are in use?"),
    _gauge("queue_limit", SERVICE, "How many requests may wait for a slot?"),
    _gauge("queue_waiting", SERVICE, "How many requests wait for a slot?"),
    _gauge("target_up", SERVICE, "Do probes reach the target?"),
    _gauge(
        "imbalance",
        ("service", "of"),
        "How many times the mean has the fullest node, in `shards` and `requests`?",
    ),
    _gauge("shards", SERVICE, "How many shards does the service have?"),
    _gauge("shards_owned", SERVICE, "How many shards does this node own?"),
    _gauge("shards_unserved", SERVICE, "How many shards have no live owner?"),
    _counter(
        "shard_owner_changes",
        ("service", "cause"),
        "How many shards changed owner, and why (churn)?",
    ),
    _counter(
        "unavailable_seconds",
        ("service", "owner_availability_zone"),
        "For how many shard-seconds were the shards of lost owners not served?",
    ),
    _gauge("lease_held", (), "Does this node hold its lease?"),
    _gauge("lease_remaining_seconds", (), "How long does its lease still run?"),
    _counter(
        "lease_renewals", ("result",), "Do the witnesses acknowledge the renewals?"
    ),
    _duration("lease_margin", (), "How much of the lease was left at each renewal?"),
    _duration("takeover_step", ("step",), "Which step of takeovers took how long?"),
    _counter(
        "takeovers", ("result",), "How many lost incarnations did this node take over?"
    ),
    _counter(
        "moves",
        ("service", "step"),
        "How many moves of shards were started, done and cancelled?",
    ),
    _counter(
        "log_appends", ("stream", "result"), "How many records were appended or failed?"
    ),
    _gauge("log_read_age_seconds", ("stream",), "For how long was the log not read?"),
    _gauge("log_position", ("stream",), "Up to which offset was the log read here?"),
    _gauge("section_version", ("section",), "Which version is in force here?"),
    _counter("sections_rejected", (), "How many invalid sections are in the log?"),
)
BY_NAME = {instrument.name: instrument for instrument in ALL}


def check_renames(dashboards):
    """Return ``(path, reason)`` of the first error in the renames, or None.

    Parameters
    ----------
    dashboards : Dashboards
    """
    new_names = {}
    for name, rename in dashboards["instruments"].items():
        problem = _find_rename_problem(name, rename)
        if problem:
            return f".instruments.{name}{problem[0]}", problem[1]
    renames = dashboards["instruments"]
    kept_names = set(BY_NAME)
    if not dashboards.get("keep_both"):
        kept_names -= {name for name, rename in renames.items() if "name" in rename}
    for name, rename in renames.items():
        new = rename.get("name", name)
        if new in new_names or (new in kept_names and new != name):
            return f".instruments.{name}.name", f"{new!r} is already in use"
        new_names[new] = name
    return None


def _find_rename_problem(name, rename):
    instrument = BY_NAME.get(name)
    if instrument is None:
        return "", "no such instrument"
    if instrument.kind == "counter" and not rename.get("name", name).endswith("_total"):
        return ".name", "the name of a counter ends with `_total`"
    labels = instrument.labels + COMMON_LABELS
    for label in rename.get("labels", {}):
        if label not in labels:
            return f".labels.{label}", f"expected one of {', '.join(labels)}"
    new_labels = [rename.get("labels", {}).get(label, label) for label in labels]
    for label in rename.get("labels", {}):
        if new_labels.count(rename["labels"][label]) > 1:
            return f".labels.{label}", f"two labels named {rename['labels'][label]!r}"
        if rename["labels"][label] in ("le", "quantile"):
            return f".labels.{label}", "the name is reserved"
    return _find_buckets_problem(instrument, rename)


def _find_buckets_problem(instrument, rename):
    buckets = rename.get("buckets")
    if buckets is None:
        return None
    if instrument.kind != "histogram":
        return ".buckets", f"a {instrument.kind} has no buckets"
    if buckets != sorted(set(buckets)):
        return ".buckets", "expected bounds in ascending order without duplicates"
    for index, bound in enumerate(buckets):
        if bound not in instrument.bounds:
            known = ", ".join(f"{known:g}" for known in instrument.bounds)
            return f".buckets[{index}]", f"expected some of {known}"
    return None
