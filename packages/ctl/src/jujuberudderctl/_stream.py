"""Reads and writes the configuration stream."""

from contextlib import asynccontextmanager
from typing import NamedTuple

from jujuberudder_core import Sections, UserError, make_logger
from jujuberudder_logservice import Follower, LogClient, Writer

EXIT_UNREACHABLE = 4


class Stream(NamedTuple):
    """The configuration stream, read to its end."""

    sections: Sections
    writer: Writer


@asynccontextmanager
async def configuration(log_address, deployment):
    """Yield the configuration stream of a deployment.

    Raises
    ------
    UserError
        If the log service cannot be read.
    """
    client = LogClient(log_address)
    sections = Sections()
    name = f"{deployment}.sections"

    def handle(position, record):
        effect = sections.apply(position, record)
        writer.observe(position, record, effect.unwrap_or(False))

    follower = Follower(client, name, handle, make_logger())
    writer = Writer(client, follower, name)
    try:
        if not await follower.catch_up():
            message = f"log service {log_address} cannot be read"
            raise UserError(message, EXIT_UNREACHABLE)
        yield Stream(sections, writer)
    finally:
        await client.aclose()
