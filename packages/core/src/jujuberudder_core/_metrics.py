"""Metrics of one node, recorded with OpenTelemetry and served as Prometheus text."""

from collections import Counter
from types import SimpleNamespace

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import Metric
from prometheus_client.samples import Sample

from ._instruments import ALL, BY_NAME, COMMON_LABELS

# Enough for 300 services; limits the size of a scrape.
MAX_LABEL_VALUES = 300
OTHER = "other"


class Metrics:
    """Instruments of one node.

    Each instance has its own provider and registry, so that several nodes can run in
    one process.

    Parameters
    ----------
    node, availability_zone : str
        Labels of all series.
    """

    def __init__(self, node, availability_zone):
        self._common_labels = dict(zip(COMMON_LABELS, (node, availability_zone)))
        self._label_values = {}
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(
            disable_target_info=True,
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = MeterProvider(
            [reader],
            resource=Resource.get_empty(),
            shutdown_on_exit=False,
            views=[_histogram_view(i) for i in ALL if i.kind == "histogram"],
        )
        self._meter = self._provider.get_meter("jujuberudder")
        self._counts = {}
        self._histograms = {}
        self._series_by_labels = {}
        self._attributes = {}

    def add(self, name, amount=1, **labels):
        """Add to a counter.

        This class stores the counts and reports them at each scrape, because a
        synchronous counter of OpenTelemetry costs several times as much per request.

        Parameters
        ----------
        name : str
            Name on ``/metrics``.
        amount : float
        **labels : dict of str to str
            All labels of the instrument.
        """
        counts = self._counts.get(name)
        if counts is None:
            counts = self._counts[name] = Counter()
            self._create(name, lambda: counts.items())
        counts[self._series(name, labels)] += amount

    def record(self, name, seconds, **labels):
        """Record a duration in seconds in a histogram; parameters as in `add`."""
        histogram = self._histograms.get(name)
        if histogram is None:
            make = self._meter.create_histogram
            histogram = make(_otel_name(name), unit="s", description=_description(name))
            self._histograms[name] = histogram
        histogram.record(seconds, self._attributes[self._series(name, labels)])

    def observe(self, name, read):
        """Register a gauge or counter that is read at each scrape.

        Parameters
        ----------
        name : str
        read : callable
            Returns an iterable of ``(value, labels)``.
        """

        def items():
            return [(self._series(name, labels), value) for value, labels in read()]

        self._create(name, items)

    def _create(self, name, items):
        def callback(options):
            return [
                Observation(value, self._attributes[series])
                for series, value in list(items())
            ]

        create = getattr(self._meter, f"create_observable_{BY_NAME[name].kind}")
        create(
            _otel_name(name),
            [callback],
            unit=_unit(name),
            description=_description(name),
        )

    def render(self, renames):
        """Return all series as Prometheus text in UTF-8.

        Parameters
        ----------
        renames : Dashboards
            Renames in force. They apply to the served text only and keep all counts.
        """
        families = []
        for family in self._registry.collect():
            families += _rename_family(family, renames)
        return generate_latest(SimpleNamespace(collect=lambda: families))

    def close(self):
        """Shut down the provider."""
        self._provider.shutdown()

    def _series(self, name, labels):
        """Return the labels with their values as a tuple, in the instrument's order."""
        key = (name, *labels.items())
        series = self._series_by_labels.get(key)
        if series is not None:
            return series
        expected = BY_NAME[name].labels
        if set(labels) != set(expected):
            raise ValueError(f"{name} has the labels {expected}")
        limited = {k: self._limit_value(name, k, str(labels[k])) for k in expected}
        series = tuple(limited.items())
        self._attributes[series] = self._common_labels | limited
        if OTHER not in limited.values():
            self._series_by_labels[key] = series
        return series

    def _limit_value(self, name, label, value):
        """Return the value, or ``other`` if the label has `MAX_LABEL_VALUES` others."""
        known = self._label_values.setdefault((name, label), set())
        if value not in known and len(known) >= MAX_LABEL_VALUES:
            return OTHER
        known.add(value)
        return value


def _otel_name(name):
    # The exporter appends the unit and the counter suffix itself.
    name = name.removesuffix("_total").removesuffix("_seconds")
    return name.replace("_", ".", 1)


def _unit(name):
    return "s" if name.removesuffix("_total").endswith("_seconds") else ""


def _description(name):
    return BY_NAME[name].question


def _histogram_view(instrument):
    aggregation = ExplicitBucketHistogramAggregation(instrument.bounds)
    return View(instrument_name=_otel_name(instrument.name), aggregation=aggregation)


def _rename_family(family, renames):
    """Return the families that are served in place of ``family``."""
    suffix = "_total" if family.type == "counter" else ""
    rename = renames["instruments"].get(family.name + suffix)
    if rename is None:
        return [family]
    renamed = Metric(
        rename.get("name", family.name).removesuffix(suffix),
        family.documentation,
        family.type,
    )
    for sample in family.samples:
        if _is_served(sample, rename.get("buckets")):
            renamed.samples.append(
                _rename_sample(sample, family.name, renamed.name, rename)
            )
    both = renames.get("keep_both") and renamed.name != family.name
    return [family, renamed] if both else [renamed]


def _is_served(sample, buckets):
    bound = sample.labels.get("le")
    return buckets is None or bound in (None, "+Inf") or float(bound) in buckets


def _rename_sample(sample, old, new, rename):
    new_labels = rename.get("labels", {})
    labels = {new_labels.get(key, key): value for key, value in sample.labels.items()}
    return Sample(new + sample.name.removeprefix(old), labels, *sample[2:])
