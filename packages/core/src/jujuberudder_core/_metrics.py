"""Metrics of one node through OpenTelemetry, served as Prometheus text."""

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

MAX_LABEL_VALUES = 300  # 300 services; one more value must not grow the scrape
OTHER = "other"


class Metrics:
    """Instruments of one node.

    Each has a provider and a registry of its own, so that several nodes can run in one
    process.

    Parameters
    ----------
    node, availability_zone : str
        Labels of all series.
    """

    def __init__(self, node, availability_zone):
        self._common = dict(zip(COMMON_LABELS, (node, availability_zone)))
        self._values = {}
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
            views=[_view(one) for one in ALL if one.kind == "histogram"],
        )
        self._meter = self._provider.get_meter("jujuberudder")
        self._counts = {}
        self._histograms = {}
        self._known = {}
        self._attributes = {}

    def add(self, name, amount=1, **labels):
        """Add to a counter.

        Counts are kept here and read at each scrape, because a synchronous counter of
        OpenTelemetry costs several times as much per request.

        Parameters
        ----------
        name : str
            As on ``/metrics``.
        amount : float
        **labels : dict of str to str
            All labels that the instrument has.
        """
        counts = self._counts.get(name)
        if counts is None:
            counts = self._counts[name] = Counter()
            self._create(name, lambda: counts.items())
        counts[self._series(name, labels)] += amount

    def record(self, name, seconds, **labels):
        """Record a time in a histogram; parameters as in `add`."""
        histogram = self._histograms.get(name)
        if histogram is None:
            make = self._meter.create_histogram
            histogram = make(_otel_name(name), unit="s", description=_about(name))
            self._histograms[name] = histogram
        histogram.record(seconds, self._attributes[self._series(name, labels)])

    def observe(self, name, read):
        """Read a gauge or counter at each scrape.

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
        create(_otel_name(name), [callback], unit=_unit(name), description=_about(name))

    def render(self, renames):
        """Return all series as Prometheus text.

        Parameters
        ----------
        renames : Dashboards
            Renames in force; they act on what is served and keep all counts.
        """
        families = []
        for family in self._registry.collect():
            families += _renamed(family, renames)
        return generate_latest(SimpleNamespace(collect=lambda: families))

    def close(self):
        """Release the provider."""
        self._provider.shutdown()

    def _series(self, name, labels):
        """Return the values of the labels of an instrument, in its order."""
        key = (name, *labels.items())
        found = self._known.get(key)
        if found is not None:
            return found
        known = BY_NAME[name].labels
        if set(labels) != set(known):
            raise ValueError(f"{name} has the labels {known}")
        bounded = {k: self._bounded(name, k, str(labels[k])) for k in known}
        found = tuple(bounded.items())
        self._attributes[found] = self._common | bounded
        if OTHER not in bounded.values():
            self._known[key] = found
        return found

    def _bounded(self, name, label, value):
        """Return the value, or ``other`` once a label has too many."""
        known = self._values.setdefault((name, label), set())
        if value not in known and len(known) >= MAX_LABEL_VALUES:
            return OTHER
        known.add(value)
        return value


def _otel_name(name):
    # The exporter appends the unit and the suffix of counters again.
    name = name.removesuffix("_total").removesuffix("_seconds")
    return name.replace("_", ".", 1)


def _unit(name):
    return "s" if name.removesuffix("_total").endswith("_seconds") else ""


def _about(name):
    return BY_NAME[name].question


def _view(instrument):
    aggregation = ExplicitBucketHistogramAggregation(instrument.bounds)
    return View(instrument_name=_otel_name(instrument.name), aggregation=aggregation)


def _renamed(family, renames):
    """Return the families that are served in place of one."""
    suffix = "_total" if family.type == "counter" else ""
    rename = renames["instruments"].get(family.name + suffix)
    if rename is None:
        return [family]
    new = Metric(
        rename.get("name", family.name).removesuffix(suffix),
        family.documentation,
        family.type,
    )
    for sample in family.samples:
        if _kept(sample, rename.get("buckets")):
            new.samples.append(_rename_sample(sample, family.name, new.name, rename))
    both = renames.get("keep_both") and new.name != family.name
    return [family, new] if both else [new]


def _kept(sample, buckets):
    bound = sample.labels.get("le")
    return buckets is None or bound in (None, "+Inf") or float(bound) in buckets


def _rename_sample(sample, old, new, rename):
    names = rename.get("labels", {})
    labels = {names.get(key, key): value for key, value in sample.labels.items()}
    return Sample(new + sample.name.removeprefix(old), labels, *sample[2:])
