"""Errors, clock and log formatting shared by all packages, with few imports."""

from ._clock import BoottimeClock
from ._errors import Failure, UserError
from ._lines import LineLog, format_pairs, format_value
from ._output import OutputThread
from ._sockets import is_ended, is_readable

__all__ = [
    "BoottimeClock",
    "Failure",
    "LineLog",
    "OutputThread",
    "UserError",
    "format_pairs",
    "format_value",
    "is_ended",
    "is_readable",
]
