"""Client of the platform's log service: append to, read and follow streams."""

from ._client import Batch, Entry, LogClient
from ._follower import Follower
from ._writer import Applied, Writer

__all__ = ["Applied", "Batch", "Entry", "Follower", "LogClient", "Writer"]
