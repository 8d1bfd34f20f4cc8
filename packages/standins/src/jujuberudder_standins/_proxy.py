"""A TCP proxy with faults that can be switched on and off at run time."""

import random
from functools import partial
from itertools import count

import trio

MAX_QUEUED_CHUNKS = 64
# Usual minimum of the TCP retransmission time-out.
STALL_S = 0.2


class ProxyLink:
    """Faults on the path in one direction between two endpoints.

    Parameters
    ----------
    rng : random.Random
        Source of jitter, stalls and resets.

    Attributes
    ----------
    delay_s, jitter_s : float
        Each chunk is delayed by ``delay_s`` plus a time drawn uniformly from 0 to
        ``jitter_s``; chunks stay in order.
    bytes_per_s : float or None
        Rate limit of each connection; unlimited if None.
    stall_share, reset_share : float
        Share of chunks that are delayed by ``STALL_S``, or that reset their connection.
    pending_resets : int
        Number of connections to reset at their next chunk in this direction; the
        chunk is lost.
    forwarded_bytes : int
        Number of bytes forwarded so far.
    silences : int
        Number of calls of ``silence`` so far.
    """

    def __init__(self, rng):
        self._rng = rng
        self._open = trio.Event()
        self._open.set()
        self.delay_s = 0.0
        self.jitter_s = 0.0
        self.bytes_per_s = None
        self.stall_share = 0.0
        self.reset_share = 0.0
        self.pending_resets = 0
        self.forwarded_bytes = 0
        self.silences = 0

    def silence(self):
        """Hold back all bytes of the connections that are open now, for good."""
        self.silences += 1

    def cut(self):
        """Hold back all bytes, as TCP does while it retransmits over a cut link."""
        self._open = trio.Event()

    def heal(self):
        """Remove all faults and forward the bytes held back."""
        self.delay_s = self.jitter_s = 0.0
        self.stall_share = self.reset_share = 0.0
        self.bytes_per_s = None
        self.pending_resets = 0
        self._open.set()

    async def wait_open(self):
        """Wait while the path is cut."""
        await self._open.wait()

    def draw_delay_s(self):
        """Draw the delay of the next chunk and return it in seconds."""
        stall_s = STALL_S if self._rng.random() < self.stall_share else 0.0
        return self.delay_s + self.jitter_s * self._rng.random() + stall_s

    def should_reset(self):
        """Return whether to reset the connection at the next chunk."""
        if self.pending_resets:
            self.pending_resets -= 1
            return True
        return self._rng.random() < self.reset_share


class Network:
    """Directed paths between named endpoints, and the proxies on them.

    Parameters
    ----------
    nursery : trio.Nursery
        Runs the proxies.
    seed : int
        Seed of the random faults.
    """

    def __init__(self, nursery, seed=0):
        self._nursery = nursery
        self._seed = seed
        self._paths = {}

    def path(self, source, destination):
        """Return the path from one endpoint to another."""
        name = (source, destination)
        if name not in self._paths:
            rng = random.Random(f"{self._seed} {source} {destination}")
            self._paths[name] = ProxyLink(rng)
        return self._paths[name]

    def paths(self, sources, destinations):
        """Return the paths from each source to each destination other than itself."""
        pairs = ((a, b) for a in sources for b in destinations if a != b)
        return [self.path(a, b) for a, b in pairs]

    def between(self, some, others):
        """Return the paths in both directions between two groups of endpoints."""
        return self.paths(some, others) + self.paths(others, some)

    def heal(self):
        """Remove all faults from all paths."""
        for path in self._paths.values():
            path.heal()

    async def link(self, source, destination, address, host):
        """Open a proxy for the connections from one endpoint to another.

        Parameters
        ----------
        source, destination : str
            Names of the endpoints.
        address : str
            Address to forward connections to, ``host:port``.
        host : str
            Loopback address to listen on.

        Returns
        -------
        address : str
            Address that the proxy listens on, ``host:port``.
        """
        serve = partial(
            _serve_connection,
            address,
            self.path(source, destination),
            self.path(destination, source),
        )
        listeners = await trio.open_tcp_listeners(0, host=host)
        await self._nursery.start(trio.serve_listeners, serve, listeners)
        return f"{host}:{listeners[0].socket.getsockname()[1]}"


class _Reset(Exception):
    """Raised when a fault resets the connection."""


async def _serve_connection(address, forward, backward, client):
    """Forward one connection until both directions have ended."""
    host, _, port = address.rpartition(":")
    async with client:
        await forward.wait_open()
        try:
            server = await trio.open_tcp_stream(host, int(port))
        except OSError:
            return
        async with server:
            try:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_pump, client, server, forward)
                    nursery.start_soon(_pump, server, client, backward)
            except* (_Reset, trio.BrokenResourceError, trio.ClosedResourceError):
                # Closing a socket with unread data resets the connection, as intended.
                pass


async def _pump(source, destination, path):
    """Forward one direction; reading continues while earlier chunks are delayed."""
    send, receive = trio.open_memory_channel(MAX_QUEUED_CHUNKS)
    silences = path.silences
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_read_chunks, source, send, path)
        nursery.start_soon(_write_chunks, receive, destination, path, silences)


async def _read_chunks(source, send, path):
    async with send:
        async for data in source:
            await send.send((trio.current_time() + path.draw_delay_s(), data))


async def _write_chunks(receive, destination, path, silences):
    async for due, data in receive:
        await trio.sleep_until(due)
        await _wait_forwarding(path, silences)
        if path.should_reset():
            raise _Reset
        if path.bytes_per_s:
            await trio.sleep(len(data) / path.bytes_per_s)
        path.forwarded_bytes += len(data)
        await destination.send_all(data)
    await _wait_forwarding(path, silences)
    await destination.send_eof()


async def _wait_forwarding(path, silences):
    """Wait while the path is cut, or for ever if the connection is silenced."""
    await path.wait_open()
    if path.silences != silences:
        await trio.sleep_forever()


_network_numbers = count(random.SystemRandom().randrange(1 << 16))


def loopback_prefix():
    """Return the first three bytes of a loopback network private to this process.

    On 127.0.0.1, another process could bind a port after it is chosen and before the
    node that it is meant for binds it.
    """
    number = next(_network_numbers)
    return f"127.{number // 200 % 250 + 2}.{number % 200 + 1}"
