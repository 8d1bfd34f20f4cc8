"""Metrics of a node and renames of their instruments."""

import pytest
from prometheus_client.parser import text_string_to_metric_families

from jujuberudder_core import INSTRUMENTS, Metrics, parse_section
from jujuberudder_core._metrics import MAX_LABEL_VALUES

NO_RENAMES = {"instruments": {}}
REQUESTS = "jujuberudder_requests_total"
LATENCY = "jujuberudder_request_seconds"
OUTCOME = {"service": "jobs", "outcome": "completed", "reason": ""}


def record_all(metrics):
    """Record one value in every instrument."""
    for instrument in INSTRUMENTS:
        labels = dict.fromkeys(instrument.labels, "x")
        if instrument.kind == "histogram":
            metrics.record(instrument.name, 0.3, **labels)
        elif instrument.kind == "counter":
            metrics.add(instrument.name, **labels)
        else:
            metrics.observe(instrument.name, lambda labels=labels: [(1, labels)])


def series(metrics, renames=NO_RENAMES):
    """Return the values of all series by name and labels."""
    text = metrics.render(renames).decode()
    return {
        (sample.name, frozenset(sample.labels.items())): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


def names(metrics, renames=NO_RENAMES):
    """Return the names of all series."""
    return {name for name, _ in series(metrics, renames)}


def test_every_instrument_has_its_documented_name_and_labels():
    """Guards against names or labels on /metrics that differ from the documentation."""
    metrics = Metrics("jobs-dar-a", "dar-a")
    record_all(metrics)
    served = {name: dict(labels) for name, labels in series(metrics)}
    for instrument in INSTRUMENTS:
        name = instrument.name + ("_count" if instrument.kind == "histogram" else "")
        expected = set(instrument.labels) | {"node", "availability_zone"}
        assert set(served[name]) == expected, name


def test_two_nodes_in_one_process_do_not_share_values():
    """Guards against a registry shared by all nodes of a process."""
    first, second = Metrics("a", "dar-a"), Metrics("b", "dar-b")
    first.add(REQUESTS, **OUTCOME)
    assert (len(series(first)), len(series(second))) == (1, 0)


def test_number_of_label_values_is_limited():
    """Guards against a scrape whose size grows with the input of clients."""
    metrics = Metrics("a", "dar-a")
    for number in range(MAX_LABEL_VALUES + 50):
        metrics.add(REQUESTS, **OUTCOME | {"reason": str(number)})
    values = series(metrics)
    assert len(values) == MAX_LABEL_VALUES + 1
    assert sum(values.values()) == MAX_LABEL_VALUES + 50


RENAMES = {
    "name": (
        "{name: http_requests_total}",
        False,
        {"http_requests_total"},
        {"outcome": "completed"},
    ),
    "labels": (
        "{labels: {outcome: result}}",
        False,
        {REQUESTS},
        {"result": "completed"},
    ),
    "both names": (
        "{name: http_requests_total, labels: {outcome: result}}",
        True,
        {REQUESTS, "http_requests_total"},
        {"outcome": "completed", "result": "completed"},
    ),
}


def dashboards(instrument, rename, keep_both=False):
    """Return the checked body of a dashboards section."""
    text = (
        "service: dashboards\n"
        f"dashboards: {{keep_both: {keep_both}, "
        f"instruments: {{{instrument}: {rename}}}}}"
    )
    return parse_section(text).unwrap()["dashboards"]


@pytest.mark.parametrize(
    "rename, keep_both, expected, labels", RENAMES.values(), ids=RENAMES
)
def test_renames_keep_the_counts(rename, keep_both, expected, labels):
    """Guards against a rename that removes a series or resets it to 0."""
    metrics = Metrics("a", "dar-a")
    metrics.add(REQUESTS, 7, **OUTCOME)
    served = series(metrics, dashboards(REQUESTS, rename, keep_both))
    assert {name for name, _ in served} == expected
    assert set(served.values()) == {7}
    served_labels = {pair for _, pairs in served for pair in pairs}
    assert set(labels.items()) <= served_labels


def test_renamed_histogram_keeps_selected_buckets():
    """Guards against bucket counts that depend on the selection of bounds."""
    metrics = Metrics("a", "dar-a")
    for seconds in (0.004, 0.3, 0.7, 20):
        metrics.record(LATENCY, seconds, service="jobs")
    rename = "{name: latency_seconds, buckets: [0.1, 1]}"
    served = series(metrics, dashboards(LATENCY, rename))
    buckets = {
        dict(labels)["le"]: value
        for (name, labels), value in served.items()
        if name == "latency_seconds_bucket"
    }
    assert buckets == {"0.1": 1, "1.0": 3, "+Inf": 4}
    assert names(metrics, dashboards(LATENCY, rename)) == {
        "latency_seconds_bucket",
        "latency_seconds_count",
        "latency_seconds_sum",
    }


def test_order_of_labels_does_not_matter():
    """Guards against two series with equal labels, one of which a scrape omits."""
    metrics = Metrics("a", "dar-a")
    metrics.add(REQUESTS, **OUTCOME)
    metrics.add(REQUESTS, **dict(reversed(OUTCOME.items())))
    assert list(series(metrics).values()) == [2]


def test_wrong_labels_raise():
    """Guards against series of one instrument with different label names."""
    with pytest.raises(ValueError, match="has the labels"):
        Metrics("a", "dar-a").add(REQUESTS, service="jobs")
