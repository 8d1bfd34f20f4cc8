"""Where a command reads from: a node's operator address or the log service."""

from contextlib import asynccontextmanager
from typing import NamedTuple
from urllib.parse import urlencode

import httpcore
import msgspec
import trio
from result import Err, Ok

from jujuberudder_core import (
    Failure,
    LogReplay,
    Ownership,
    Sections,
    UserError,
    explain_view,
    nodes_view,
    owners_view,
    records,
    sections_view,
)
from jujuberudder_logservice import Follower, LogClient, Writer

from ._exits import EXIT_MISTAKE, EXIT_UNREACHABLE

ASK_TIMEOUT_S = 3.0
ASK_TASKS = 64


class Access(NamedTuple):
    """How a deployment is reached; ``node`` is an operator address or None."""

    log_address: str
    deployment: str
    node: str | None


async def find_access(node, log_address, deployment):
    """Return the Access that the options of a command give.

    Raises
    ------
    UserError
        If options are missing or the node does not answer.
    """
    if node is None:
        if log_address is None or deployment is None:
            message = "give --node ADDRESS, or --log-address and --deployment"
            raise UserError(message, EXIT_MISTAKE)
        _check_address("--log-address", log_address)
        return Access(log_address, deployment, None)
    status = await ask_or_fail(node, "/v1/status")
    if not {"log_address", "deployment"} <= set(status):
        message = f"--node: expected the operator address of a node, got {node}"
        raise UserError(message, EXIT_MISTAKE)
    return Access(log_address or status["log_address"], status["deployment"], node)


def _check_address(option, address):
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        message = f"{option}: expected host:port, got {address!r}"
        raise UserError(message, EXIT_MISTAKE)


async def ask(address, path, query=()):
    """Ask a node at its operator address.

    Parameters
    ----------
    address : str
    path : str
    query : sequence of (str, str)

    Returns
    -------
    content : Result[dict, Failure]
    """
    url = _url(address, path, query)
    try:
        with trio.fail_after(ASK_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                answer = await pool.request("GET", url)
        if answer.status != 200:
            return Err(Failure("ask", address, f"status {answer.status}"))
        return Ok(msgspec.json.decode(answer.content))
    except trio.TooSlowError:
        return Err(Failure("ask", address, f"no answer in {ASK_TIMEOUT_S:g} s"))
    except (
        httpcore.NetworkError,
        httpcore.ProtocolError,
        httpcore.TimeoutException,
        msgspec.MsgspecError,
        OSError,
    ) as error:
        return Err(Failure("ask", address, str(error) or repr(error)))


def _url(address, path, query):
    host, _, port = address.rpartition(":")
    target = path + ("?" + urlencode(query) if query else "")
    return httpcore.URL(
        scheme=b"http", host=host.encode(), port=int(port), target=target.encode()
    )


async def ask_or_fail(address, path, query=()):
    """Return what a node answers.

    Raises
    ------
    UserError
    """
    _check_address("--node", address)
    answer = await ask(address, path, query)
    if answer.is_err():
        message = f"node {address} cannot be read: {answer.err_value.reason}"
        raise UserError(message, EXIT_UNREACHABLE)
    return answer.ok_value


async def ask_all(addresses, path):
    """Return the answers of many nodes as a dict by address."""
    answers = {}
    limit = trio.CapacityLimiter(ASK_TASKS)

    async def ask_one(address):
        async with limit:
            answers[address] = await ask(address, path)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(ask_one, address)
    return answers


class Change(NamedTuple):
    """A section record of the log and what became of it."""

    version: int
    record: records.Section
    outcome: Ok[bool] | Err[Failure]


class Configuration(NamedTuple):
    """The configuration stream, read to its end.

    Parameters
    ----------
    sections : Sections
    history : list of Change
        What the log still holds, oldest first.
    follower : Follower
    writer : Writer
    """

    sections: Sections
    history: list[Change]
    follower: Follower
    writer: Writer


@asynccontextmanager
async def configuration(access):
    """Yield the configuration stream of a deployment.

    Raises
    ------
    UserError
        If the log service cannot be read.
    """
    sections = Sections()
    history = []

    def handle(position, record):
        outcome = sections.apply(position, record)
        if isinstance(record, records.Section):
            history.append(Change(position, record, outcome))
        return outcome.unwrap_or(False)

    async with _stream(access, "sections", sections, handle) as (follower, writer):
        yield Configuration(sections, history, follower, writer)


@asynccontextmanager
async def ownership(access):
    """Yield ``(ownership, refresh)`` of a deployment; raises as `configuration`."""
    fold = Ownership()

    async with _stream(access, "ownership", fold, fold.apply) as (follower, _):
        yield fold, follower.catch_up


@asynccontextmanager
async def _stream(access, name, fold, handle):
    client = LogClient(access.log_address)
    stream = f"{access.deployment}.{name}"

    def observe(position, record):
        writer.observe(position, record, handle(position, record))

    replay = LogReplay(fold, observe)
    follower = Follower(client, stream, replay.process, _ignore, replay.note_gap)
    writer = Writer(client, follower, stream)
    try:
        if not await follower.catch_up():
            read = await client.read(stream, 0)
            reason = read.err_value.reason if read.is_err() else "it came back"
            message = f"log service {access.log_address} cannot be read: {reason}"
            raise UserError(message, EXIT_UNREACHABLE)
        if not replay.complete:
            message = f"log service {access.log_address} kept no snapshot of {stream}"
            raise UserError(message, EXIT_UNREACHABLE)
        yield follower, writer
    finally:
        with trio.move_on_after(1, shield=True):
            await client.aclose()


def _ignore(event, **fields):
    """Drop what a follower logs: a command reports the outcome only."""


async def read_record(access, offset):
    """Return ``Result[str, Failure]``: the data of one ownership record."""
    client = LogClient(access.log_address)
    try:
        read = await client.read(f"{access.deployment}.ownership", offset)
    finally:
        await client.aclose()
    if read.is_err():
        return read
    for entry in read.ok_value.records:
        if entry.offset == offset:
            return Ok(entry.data)
    reason = "the log does not hold the record any more"
    return Err(Failure("read", access.log_address, reason))


async def read_sections(access):
    """Return the sections in force: version and text by name."""
    if access.node:
        return (await ask_or_fail(access.node, "/v1/sections"))["sections"]
    async with configuration(access) as stream:
        return sections_view(stream.sections)


async def read_nodes(access):
    """Return the live nodes."""
    if access.node:
        return await ask_or_fail(access.node, "/v1/nodes")
    async with ownership(access) as (fold, _):
        return nodes_view(fold)


async def read_owners(access):
    """Return the shards by service and prefix."""
    if access.node:
        return await ask_or_fail(access.node, "/v1/owners")
    async with ownership(access) as (fold, _):
        return owners_view(fold)


async def read_explanation(access, service, key):
    """Return where a key is and what decided it."""
    if access.node:
        query = [("service", service), ("key", key)]
        return await ask_or_fail(access.node, "/v1/explain", query)
    async with configuration(access) as stream, ownership(access) as (fold, _):
        return explain_view(fold, stream.sections, service, key)
