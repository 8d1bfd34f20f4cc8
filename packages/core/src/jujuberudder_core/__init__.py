"""Records, folds, settings and shared types of jujuberudder."""

from . import _records as records
from ._clock import BoottimeClock
from ._errors import Failure, UserError
from ._logging import format_line, make_logger, start_logging
from ._ownership import Claimed, Incarnation, Ownership, Shard
from ._records import decode, encode, new_id
from ._sections import PublishedSection, SectionBody, Sections, parse_section
from ._serving import Serving
from ._settings import Settings, TargetSettings, load_settings, parse_settings
from ._shards import HASH_BITS, covers_once, hash_bits, prefix_of, uniform_prefixes

__all__ = [
    "BoottimeClock",
    "Claimed",
    "Failure",
    "HASH_BITS",
    "Incarnation",
    "Ownership",
    "PublishedSection",
    "SectionBody",
    "Sections",
    "Serving",
    "Settings",
    "Shard",
    "TargetSettings",
    "UserError",
    "covers_once",
    "decode",
    "encode",
    "format_line",
    "hash_bits",
    "load_settings",
    "make_logger",
    "new_id",
    "parse_section",
    "parse_settings",
    "prefix_of",
    "records",
    "start_logging",
    "uniform_prefixes",
]
