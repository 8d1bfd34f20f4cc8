"""Sections of the configuration document: schema, checks and the fold of versions."""

from typing import NamedTuple, NotRequired, Required, TypedDict, get_type_hints

import msgspec
import yaml
from result import Err, Ok

from ._errors import Failure


class Route(TypedDict, total=False):
    """Selects a service by host, path prefix or both."""

    host: str
    path_prefix: str


class KeySource(TypedDict, total=False):
    """Where the key of a request is: ``header``, ``path_segment`` or ``query``."""

    source: Required[str]
    name: str
    index: int


class PlacementWeights(TypedDict, total=False):
    """How much unavailable time, churn and imbalance count; each 0 or more."""

    unavailable: float
    churn: float
    imbalance: float


class SectionBody(TypedDict, total=False):
    """A section of one service. Times are in milliseconds, sizes in bytes."""

    service: Required[str]
    team: NotRequired[str]
    routes: Required[list[Route]]
    key: KeySource
    idempotent_methods: list[str]
    deadline_ms: int
    max_body_bytes: int
    slots: int
    connections: int
    queue: int
    drain: list[str]
    initial_shard_bits: int
    placement: PlacementWeights


DEFAULTS = SectionBody(
    service="",
    routes=[],
    idempotent_methods=[],
    deadline_ms=10_000,
    max_body_bytes=128 * 1024 * 1024,
    slots=20,
    connections=100,
    queue=100,
    drain=[],
    initial_shard_bits=5,
    placement=PlacementWeights(unavailable=1.0, churn=1.0, imbalance=1.0),
)
KEY_SOURCES = ("header", "path_segment", "query")


class PublishedSection(NamedTuple):
    """A section in force; ``version`` is the offset of its record."""

    name: str
    version: int
    body: SectionBody
    text: str


def parse_section(text, name="section"):
    """Return the checked body of a section with defaults filled in.

    Parameters
    ----------
    text : str
        YAML.
    name : str
        Used in errors.

    Returns
    -------
    body : Result[SectionBody, Failure]
    """
    try:
        data = yaml.safe_load(text)
        body = msgspec.convert(data, SectionBody)
    except yaml.YAMLError as error:
        return Err(Failure("parse", name, " ".join(str(error).split())))
    except msgspec.ValidationError as error:
        return Err(Failure("check", name, str(error)))
    problem = _unknown_key(data) or _problem(body)
    if problem:
        return Err(Failure("check", name, problem))
    weights = DEFAULTS["placement"] | body.get("placement", {})
    return Ok(DEFAULTS | body | {"placement": weights})


def _unknown_key(data):
    unknown = sorted(set(data) - set(get_type_hints(SectionBody)))
    return f"unknown key `$.{unknown[0]}`" if unknown else None


def _problem(body):
    key = body.get("key")
    if key and key["source"] not in KEY_SOURCES:
        return f"expected one of {', '.join(KEY_SOURCES)} - at `$.key.source`"
    if key and key["source"] == "path_segment" and key.get("index", -1) < 0:
        return "expected an index of 0 or more - at `$.key.index`"
    if key and key["source"] != "path_segment" and not key.get("name"):
        return "expected a name - at `$.key.name`"
    for field in ("deadline_ms", "max_body_bytes", "slots", "connections"):
        if body.get(field, 1) < 1:
            return f"expected 1 or more - at `$.{field}`"
    for name, weight in body.get("placement", {}).items():
        if not 0 <= weight < float("inf"):
            return f"expected 0 or more - at `$.placement.{name}`"
    return None


class Sections:
    """Fold of the configuration stream."""

    def __init__(self):
        self._sections = {}
        self._offset = -1

    @property
    def all(self):
        """Sections in force, by name."""
        return self._sections

    def get(self, name):
        """Return the section in force, or None."""
        return self._sections.get(name)

    def apply(self, offset, record):
        """Apply a ``section`` record.

        Parameters
        ----------
        offset : int
        record : Section

        Returns
        -------
        outcome : Result[bool, Failure]
            Ok(False) if the base is superseded; Err if the section fails the schema, in
            which case the last good one stays in force.
        """
        if offset <= self._offset:
            return Ok(False)
        self._offset = offset
        current = self._sections.get(record.name)
        if record.base != (current.version if current else 0):
            return Ok(False)
        parsed = parse_section(record.text, record.name)
        if parsed.is_err():
            return parsed
        self._sections[record.name] = PublishedSection(
            record.name, offset, parsed.ok_value, record.text
        )
        return Ok(True)
