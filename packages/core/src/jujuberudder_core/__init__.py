"""Records, their folds, settings and shared types of jujuberudder."""

from jujuberudder_base import BoottimeClock, Failure, UserError, is_readable

from . import _records as records
from ._documents import Document, Problem, convert_document, read_document
from ._instruments import ALL as INSTRUMENTS
from ._instruments import Instrument
from ._logging import format_line, make_logger, start_logging
from ._metrics import Metrics
from ._ownership import Incarnation, Ownership, PlannerClaim, Shard
from ._records import decode_record, encode_record, new_id
from ._sections import (
    DEFAULTS,
    PublishedSection,
    SectionBody,
    Sections,
    match_section,
    parse_section,
)
from ._serving import ServedShards
from ._settings import Settings, TargetSettings, load_settings, parse_settings
from ._shards import HASH_BITS, hash_bits, is_exact_cover, prefix_of, uniform_prefixes
from ._snapshots import LogReplay, split_snapshot
from ._views import explain_view, nodes_view, owners_view, sections_view

__all__ = [
    "BoottimeClock",
    "PlannerClaim",
    "DEFAULTS",
    "Document",
    "Failure",
    "HASH_BITS",
    "INSTRUMENTS",
    "Incarnation",
    "Instrument",
    "Metrics",
    "Ownership",
    "Problem",
    "PublishedSection",
    "SectionBody",
    "LogReplay",
    "Sections",
    "ServedShards",
    "Settings",
    "Shard",
    "TargetSettings",
    "UserError",
    "convert_document",
    "split_snapshot",
    "is_exact_cover",
    "is_readable",
    "decode_record",
    "encode_record",
    "explain_view",
    "format_line",
    "hash_bits",
    "load_settings",
    "make_logger",
    "match_section",
    "new_id",
    "nodes_view",
    "owners_view",
    "parse_section",
    "parse_settings",
    "prefix_of",
    "read_document",
    "records",
    "sections_view",
    "start_logging",
    "uniform_prefixes",
]
