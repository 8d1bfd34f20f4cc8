"""Error types shared by all packages."""

from typing import NamedTuple


class Failure(NamedTuple):
    """A failed operation on a peer, returned inside ``result.Err``.

    Parameters
    ----------
    step : str
        The operation that failed, e.g. ``"append"``.
    peer : str
        The peer that the operation addressed: an address, a path or a node name.
    reason : str
        One-line description for logs and clients.
    may_have_run : bool
        Whether the operation may have taken effect at the peer despite the failure.
    """

    step: str
    peer: str
    reason: str
    may_have_run: bool = False

    def __str__(self):
        return f"{self.step} {self.peer}: {self.reason}"


class UserError(Exception):
    """Invalid user input, reported once on the command line.

    Parameters
    ----------
    message : str
        One line: the file, the path in the file and the expected value.
    exit_code : int
        Exit code of the process.
    """

    def __init__(self, message, exit_code=2):
        super().__init__(message)
        self.exit_code = exit_code
