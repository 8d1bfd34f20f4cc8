"""Sections of the configuration: schema, validation and fold of their versions."""

from typing import Annotated, Literal, NamedTuple, Required, TypedDict

from msgspec import Meta
from result import Err, Ok

from jujuberudder_base import Failure

from ._documents import Problem, convert_document, read_document
from ._instruments import check_renames
from ._records import Section

DASHBOARDS = "dashboards"

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9-]*$", max_length=63)]
Method = Annotated[str, Meta(pattern=r"^[A-Z]+$")]
PositiveInt = Annotated[int, Meta(ge=1)]
Millis = Annotated[int, Meta(ge=1, le=3_600_000)]
Percent = Annotated[int, Meta(ge=0, le=100)]
# Plans cannot be compared if a weight is infinite.
Weight = Annotated[float, Meta(ge=0, le=1e6)]
Host = Annotated[str, Meta(pattern=r"^[A-Za-z0-9.:\[\]-]+$")]
PathPrefix = Annotated[str, Meta(pattern=r"^/")]
PrometheusName = Annotated[str, Meta(pattern=r"^[a-zA-Z_][a-zA-Z0-9_]*$")]


class Route(TypedDict, total=False):
    """Selects a service by host, path prefix or both."""

    host: Host
    path_prefix: PathPrefix


class KeySource(TypedDict, total=False):
    """Source of a request's key: ``header``, ``path_segment`` or ``query``."""

    source: Required[Literal["header", "path_segment", "query"]]
    name: Annotated[str, Meta(min_length=1)]
    index: Annotated[int, Meta(ge=0)]


class PlacementWeights(TypedDict, total=False):
    """Weight of each measure in the placement of shards; only their ratios matter."""

    unavailable_time: Weight
    churn: Weight
    imbalance: Weight


class Rename(TypedDict, total=False):
    """New name, label names and bucket bounds of one instrument."""

    name: PrometheusName
    labels: dict[str, PrometheusName]
    buckets: Annotated[list[float], Meta(min_length=1)]


class Dashboards(TypedDict, total=False):
    """Renames of instruments, by their names on ``/metrics``."""

    keep_both: bool
    instruments: Required[dict[str, Rename]]


class SectionBody(TypedDict, total=False):
    """Section of one service; times in milliseconds, sizes in bytes.

    `DEFAULTS` has the default values; ``docs/configuration.md`` describes each key.
    """

    service: Required[Name]
    team: str
    routes: Annotated[list[Route], Meta(min_length=1)]
    key: KeySource
    idempotent_methods: list[Method]
    deadline_ms: Millis
    max_body_bytes: PositiveInt
    retries: Annotated[int, Meta(ge=0, le=10)]
    retry_budget_percent: Percent
    slots: PositiveInt
    connections: PositiveInt
    queue: Annotated[int, Meta(ge=0)]
    call_slots: Annotated[int, Meta(ge=0)]
    slow_start_ms: Annotated[int, Meta(ge=0, le=3_600_000)]
    drain: list[Name]
    destroyed: list[Name]
    availability_zone_weights: dict[Name, Weight]
    placement_weights: PlacementWeights
    initial_shard_bits: Annotated[int, Meta(ge=0, le=16)]
    dashboards: Dashboards


DEFAULTS = SectionBody(
    service="",
    team="",
    routes=[],
    idempotent_methods=[],
    deadline_ms=10_000,
    max_body_bytes=128 * 1024 * 1024,
    retries=2,
    retry_budget_percent=10,
    slots=20,
    connections=100,
    queue=100,
    slow_start_ms=5_000,
    call_slots=1,
    drain=[],
    destroyed=[],
    availability_zone_weights={},
    placement_weights=PlacementWeights(unavailable_time=1.0, churn=1.0, imbalance=1.0),
    initial_shard_bits=5,
)


class PublishedSection(NamedTuple):
    """A section in force; ``version`` is the position of its record."""

    name: str
    version: int
    body: SectionBody
    text: str


def parse_section(text, name="section"):
    """Parse and validate a section and fill in the defaults.

    Parameters
    ----------
    text : str
        YAML text.
    name : str
        Name of the section in errors.

    Returns
    -------
    body : Result[SectionBody, Failure]
        The reason of a failure has the form ``line N: PATH: EXPECTATION``.
    """
    document = read_document(text)
    if document.is_err():
        return Err(Failure("parse", name, str(document.err_value)))
    converted = convert_document(document.ok_value, SectionBody)
    if converted.is_err():
        return Err(Failure("check", name, str(converted.err_value)))
    body = _with_defaults(converted.ok_value)
    violation = _find_problem(converted.ok_value)
    if violation:
        path, reason = violation
        problem = Problem(path, document.ok_value.line(path), reason)
        return Err(Failure("check", name, str(problem)))
    return Ok(body)


def _with_defaults(body):
    weights = DEFAULTS["placement_weights"] | body.get("placement_weights", {})
    return DEFAULTS | body | {"placement_weights": weights}


def _find_problem(body):
    """Return ``(path, reason)`` of an error that types cannot express, or None."""
    if body["service"] == DASHBOARDS:
        return _find_dashboards_problem(body)
    if "dashboards" in body:
        return "$.dashboards", f"only allowed in the section of service {DASHBOARDS!r}"
    if "routes" not in body:
        return "$.routes", "missing"
    for index, route in enumerate(body["routes"]):
        if not route:
            return f"$.routes[{index}]", "expected `host`, `path_prefix` or both"
        if route in body["routes"][:index]:
            return f"$.routes[{index}]", "duplicate route"
    return _find_key_problem(body.get("key")) or _find_weights_problem(body)


def _find_key_problem(key):
    if key is None:
        return None
    by_index = key["source"] == "path_segment"
    required, unused = ("index", "name") if by_index else ("name", "index")
    if required not in key:
        return f"$.key.{required}", f"missing, required for source {key['source']!r}"
    if unused in key:
        return f"$.key.{unused}", f"not used for source {key['source']!r}"
    return None


def _find_weights_problem(body):
    weights = _with_defaults(body)["placement_weights"]
    if not any(weights.values()):
        return "$.placement_weights", "expected at least one weight above 0"
    for zone, weight in body.get("availability_zone_weights", {}).items():
        if weight > 0:
            return None
        path = f"$.availability_zone_weights.{zone}"
    if body.get("availability_zone_weights"):
        return path, "expected at least one weight above 0"
    return None


def _find_dashboards_problem(body):
    for name in body:
        if name not in ("service", "team", "dashboards"):
            return f"$.{name}", f"not allowed in the section of service {DASHBOARDS!r}"
    if "dashboards" not in body:
        return "$.dashboards", "missing"
    problem = check_renames(body["dashboards"])
    return (f"$.dashboards{problem[0]}", problem[1]) if problem else None


def find_collision(sections, name, body):
    """Return the first route that a section shares with another section.

    Routes collide if both host and path prefix are equal. Otherwise the longer path
    prefix wins and, for equal path prefixes, the route with a host.

    Parameters
    ----------
    sections : dict of str to PublishedSection
    name : str
        Name of the section that ``body`` belongs to.
    body : SectionBody

    Returns
    -------
    collision : tuple of (int, str) or None
        Index of the route in ``body`` and the name of the other section.
    """
    used_routes = {
        _route_key(route): other.name
        for other in sections.values()
        if other.name != name
        for route in other.body["routes"]
    }
    for index, route in enumerate(body["routes"]):
        if _route_key(route) in used_routes:
            return index, used_routes[_route_key(route)]
    return None


def _route_key(route):
    return route.get("host", "").lower(), route.get("path_prefix", "")


def match_section(sections, host, path):
    """Return the section with the most specific route for a request, or None.

    Parameters
    ----------
    sections : dict of str to PublishedSection
    host : str
        Value of the Host header.
    path : str
    """
    best_rank, best = None, None
    for section in sections.values():
        for route in section.body["routes"]:
            route_host, prefix = _route_key(route)
            if route_host not in ("", host.lower()) or not path.startswith(prefix):
                continue
            rank = (len(prefix), bool(route_host))
            if best_rank is None or rank > best_rank:
                best_rank, best = rank, section
    return best


class Sections:
    """Fold of the configuration stream."""

    def __init__(self):
        self._sections = {}
        self._position = -1
        self._rejected = 0

    @property
    def all(self):
        """Sections in force, by name."""
        return self._sections

    @property
    def rejected(self):
        """Number of records that contained an invalid section."""
        return self._rejected

    @property
    def renames(self):
        """Renames of instruments in force."""
        section = self._sections.get(DASHBOARDS)
        return section.body["dashboards"] if section else Dashboards(instruments={})

    def get(self, name):
        """Return the section in force, or None."""
        return self._sections.get(name)

    def version(self, name):
        """Return the version in force, 0 if there is none."""
        section = self._sections.get(name)
        return section.version if section else 0

    def apply(self, position, record):
        """Apply a ``section`` record.

        Parameters
        ----------
        position : int
        record : Section

        Returns
        -------
        outcome : Result[bool, Failure]
            Ok(False) if the base is superseded or the record is of another kind. Err
            if the section is invalid; the last valid version then stays in force.
        """
        if position <= self._position:
            return Ok(False)
        self._position = position
        if not isinstance(record, Section):
            return Ok(False)
        if record.base != self.version(record.name):
            return Ok(False)
        checked = self.check(record.name, record.text)
        if checked.is_err():
            self._rejected += 1
            return checked
        self._sections[record.name] = PublishedSection(
            record.name, position, checked.ok_value, record.text
        )
        return Ok(True)

    @property
    def position(self):
        """Position of the last applied record, -1 before the first one."""
        return self._position

    def dump(self):
        """Return the sections in force as snapshot entries."""
        return [[s.name, s.version, s.text] for s in self._sections.values()]

    def load(self, position, entries):
        """Replace the sections with those of a snapshot and keep their versions."""
        self._position = position
        self._sections.clear()
        for name, version, text in entries:
            checked = self.check(name, text)
            if checked.is_ok():
                body = checked.ok_value
                self._sections[name] = PublishedSection(name, version, body, text)

    def check(self, name, text):
        """Validate a section by itself and against the other sections in force.

        Parameters
        ----------
        name : str
        text : str

        Returns
        -------
        body : Result[SectionBody, Failure]
        """
        parsed = parse_section(text, name)
        if parsed.is_err():
            return parsed
        body = parsed.ok_value
        if body["service"] != name:
            reason = f"expected service {name!r}, got {body['service']!r}"
            return _check_failure(name, text, "$.service", reason)
        collision = find_collision(self._sections, name, body)
        if collision:
            index, other = collision
            reason = f"collides with a route of section {other!r}"
            return _check_failure(name, text, f"$.routes[{index}]", reason)
        return parsed


def _check_failure(name, text, path, reason):
    line = read_document(text).ok_value.line(path)
    return Err(Failure("check", name, str(Problem(path, line, reason))))
