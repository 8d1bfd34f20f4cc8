"""Error types that carry the step and the peer at which they arose."""

from typing import NamedTuple


class Failure(NamedTuple):
    """A failed step towards a peer, returned inside ``result.Err``.

    Parameters
    ----------
    step : str
        The operation that failed, e.g. ``"append"``.
    peer : str
        The peer it was addressed to: an address, a path or a node name.
    reason : str
        One line for logs and clients.
    may_have_run : bool
        Whether the operation may have taken effect at the peer all the same.
    """

    step: str
    peer: str
    reason: str
    may_have_run: bool = False

    def __str__(self):
        return f"{self.step} {self.peer}: {self.reason}"


class UserError(Exception):
    """A mistake in what the user supplied, reported once at the command line.

    Parameters
    ----------
    message : str
        One line: file, path in the file and what is expected.
    exit_code : int
        The exit code of the process.
    """

    def __init__(self, message, exit_code=2):
        super().__init__(message)
        self.exit_code = exit_code
