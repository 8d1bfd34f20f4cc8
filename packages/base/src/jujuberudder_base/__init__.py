"""Errors, clock and log lines shared by all packages; imports little."""

from ._clock import BoottimeClock
from ._errors import Failure, UserError
from ._lines import LineLog, format_pairs, format_value

__all__ = [
    "BoottimeClock",
    "Failure",
    "LineLog",
    "UserError",
    "format_pairs",
    "format_value",
]
