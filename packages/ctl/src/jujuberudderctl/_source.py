"""Reads the state of a deployment from a node's operator API or the log service."""

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

from ._exits import EXIT_INVALID_INPUT, EXIT_UNREACHABLE

NODE_TIMEOUT_S = 3.0
MAX_CONCURRENT_QUERIES = 64


class Access(NamedTuple):
    """Addresses of a deployment; ``node`` is an operator address or None."""

    log_address: str
    deployment: str
    node: str | None


async def resolve_access(node, log_address, deployment):
    """Return the Access for the options of a command.

    Parameters
    ----------
    node : str or None
        Operator address of a node, host:port.
    log_address : str or None
        Address of the log service, host:port.
    deployment : str or None
        Name of the deployment.

    Returns
    -------
    access : Access

    Raises
    ------
    UserError
        If options are missing or invalid, or the node does not respond.
    """
    if node is None:
        if log_address is None or deployment is None:
            message = "give --node ADDRESS, or --log-address and --deployment"
            raise UserError(message, EXIT_INVALID_INPUT)
        _check_address("--log-address", log_address)
        return Access(log_address, deployment, None)
    status = await query_node_or_raise(node, "/v1/status")
    if not {"log_address", "deployment"} <= set(status):
        message = f"--node: expected the operator address of a node, got {node}"
        raise UserError(message, EXIT_INVALID_INPUT)
    return Access(log_address or status["log_address"], status["deployment"], node)


def _check_address(option, address):
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) < 65536:
        message = f"{option}: expected host:port, got {address!r}"
        raise UserError(message, EXIT_INVALID_INPUT)


async def query_node(address, path, query=()):
    """Send a GET request to the operator API of a node.

    Parameters
    ----------
    address : str
        Operator address, host:port.
    path : str
    query : sequence of (str, str)
        Query parameters.

    Returns
    -------
    content : Result[dict, Failure]
    """
    url = _url(address, path, query)
    try:
        with trio.fail_after(NODE_TIMEOUT_S):
            async with httpcore.AsyncConnectionPool() as pool:
                response = await pool.request("GET", url)
        if response.status != 200:
            return Err(Failure("ask", address, f"status {response.status}"))
        return Ok(msgspec.json.decode(response.content))
    except trio.TooSlowError:
        return Err(Failure("ask", address, f"no answer in {NODE_TIMEOUT_S:g} s"))
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


async def query_node_or_raise(address, path, query=()):
    """Return the content of a node's response.

    Raises
    ------
    UserError
        If the address is invalid or the node cannot be read.
    """
    _check_address("--node", address)
    result = await query_node(address, path, query)
    if result.is_err():
        message = f"node {address} cannot be read: {result.err_value.reason}"
        raise UserError(message, EXIT_UNREACHABLE)
    return result.ok_value


async def query_nodes(addresses, path):
    """Return the results of `query_node` for many nodes, by address."""
    results = {}
    limit = trio.CapacityLimiter(MAX_CONCURRENT_QUERIES)

    async def query_one(address):
        async with limit:
            results[address] = await query_node(address, path)

    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(query_one, address)
    return results


class SectionChange(NamedTuple):
    """A section record of the log and the outcome of applying it."""

    version: int
    record: records.Section
    outcome: Ok[bool] | Err[Failure]


class Configuration(NamedTuple):
    """State of the configuration stream after it was read to its end.

    Parameters
    ----------
    sections : Sections
    history : list of SectionChange
        Changes that the log still contains, oldest first.
    follower : Follower
    writer : Writer
    """

    sections: Sections
    history: list[SectionChange]
    follower: Follower
    writer: Writer


@asynccontextmanager
async def open_configuration(access):
    """Yield the Configuration of a deployment.

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
            history.append(SectionChange(position, record, outcome))
        return outcome.unwrap_or(False)

    async with _open_stream(access, "sections", sections, handle) as (follower, writer):
        yield Configuration(sections, history, follower, writer)


@asynccontextmanager
async def open_ownership(access):
    """Yield the ownership state of a deployment and an async function to update it.

    Raises
    ------
    UserError
        If the log service cannot be read.
    """
    ownership = Ownership()

    async with _open_stream(access, "ownership", ownership, ownership.apply) as (
        follower,
        _,
    ):
        yield ownership, follower.catch_up


@asynccontextmanager
async def _open_stream(access, name, state, handle):
    client = LogClient(access.log_address)
    stream = f"{access.deployment}.{name}"

    def observe(position, record):
        writer.observe(position, record, handle(position, record))

    replay = LogReplay(state, observe)
    follower = Follower(
        client, stream, replay.process, _discard_log_event, replay.note_gap
    )
    writer = Writer(client, follower, stream)
    try:
        if not await follower.catch_up():
            result = await client.read(stream, 0)
            reason = (
                result.err_value.reason
                if result.is_err()
                else "the first read failed, the next one succeeded"
            )
            message = f"log service {access.log_address} cannot be read: {reason}"
            raise UserError(message, EXIT_UNREACHABLE)
        if not replay.complete:
            message = (
                f"log service {access.log_address} contains no snapshot of {stream}"
            )
            raise UserError(message, EXIT_UNREACHABLE)
        yield follower, writer
    finally:
        with trio.move_on_after(1, shield=True):
            await client.aclose()


def _discard_log_event(event, **fields):
    """Discard the log events of a follower; a command reports only the outcome."""


async def read_record(access, offset):
    """Return the data of one ownership record as ``Result[str, Failure]``."""
    client = LogClient(access.log_address)
    try:
        result = await client.read(f"{access.deployment}.ownership", offset)
    finally:
        await client.aclose()
    if result.is_err():
        return result
    for entry in result.ok_value.records:
        if entry.offset == offset:
            return Ok(entry.data)
    reason = "the log does not contain the record any more"
    return Err(Failure("read", access.log_address, reason))


async def read_sections(access):
    """Return version and text of the sections in force, by name."""
    if access.node:
        return (await query_node_or_raise(access.node, "/v1/sections"))["sections"]
    async with open_configuration(access) as configuration:
        return sections_view(configuration.sections)


async def read_nodes(access):
    """Return the views of the live nodes."""
    if access.node:
        return await query_node_or_raise(access.node, "/v1/nodes")
    async with open_ownership(access) as (ownership, _):
        return nodes_view(ownership)


async def read_owners(access):
    """Return the views of the shards, by service and prefix."""
    if access.node:
        return await query_node_or_raise(access.node, "/v1/owners")
    async with open_ownership(access) as (ownership, _):
        return owners_view(ownership)


async def read_key_explanation(access, service, key):
    """Return the owner of a key and the state that determines it."""
    if access.node:
        query = [("service", service), ("key", key)]
        return await query_node_or_raise(access.node, "/v1/explain", query)
    async with (
        open_configuration(access) as configuration,
        open_ownership(access) as (ownership, _),
    ):
        return explain_view(ownership, configuration.sections, service, key)
