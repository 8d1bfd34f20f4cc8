"""A TCP proxy that injects faults, switched at run time."""

import random
from functools import partial
from itertools import count

import trio

QUEUED_CHUNKS = 64
# The usual minimum of a TCP retransmission timeout.
STALL_S = 0.2


class ProxyLink:
    """Faults of one direction between two places.

    Parameters
    ----------
    rng : random.Random

    Attributes
    ----------
    delay_s, jitter_s : float
        Each chunk arrives after the delay and a uniform share of the jitter, in order.
    bytes_per_s : float or None
        Rate limit of each connection; none if None.
    stall_share, reset_share : float
        Share of chunks that wait for ``STALL_S``, or reset their connection.
    lose_answers : int
        Connections to reset at their next chunk in this direction, which is lost.
    carried : int
        Bytes passed on so far.
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
        self.lose_answers = 0
        self.carried = 0

    def cut(self):
        """Hold back all bytes, as retransmission over a cut link does."""
        self._open = trio.Event()

    def heal(self):
        """Remove all faults; bytes held back are passed on."""
        self.delay_s = self.jitter_s = 0.0
        self.stall_share = self.reset_share = 0.0
        self.bytes_per_s = None
        self.lose_answers = 0
        self._open.set()

    async def wait_open(self):
        """Wait while the path is cut."""
        await self._open.wait()

    def due_s(self):
        """Return how long the next chunk takes, in seconds."""
        stall_s = STALL_S if self._rng.random() < self.stall_share else 0.0
        return self.delay_s + self.jitter_s * self._rng.random() + stall_s

    def loses(self):
        """Return whether the connection is reset at the next chunk."""
        if self.lose_answers:
            self.lose_answers -= 1
            return True
        return self._rng.random() < self.reset_share


class Network:
    """Directed paths between named places, and the proxies on them.

    Parameters
    ----------
    nursery : trio.Nursery
    seed : int
    """

    def __init__(self, nursery, seed=0):
        self._nursery = nursery
        self._seed = seed
        self._paths = {}

    def path(self, source, destination):
        """Return the path from one place to another."""
        name = (source, destination)
        if name not in self._paths:
            rng = random.Random(f"{self._seed} {source} {destination}")
            self._paths[name] = ProxyLink(rng)
        return self._paths[name]

    def paths(self, sources, destinations):
        """Return the paths from each source to each other destination."""
        pairs = ((a, b) for a in sources for b in destinations if a != b)
        return [self.path(a, b) for a, b in pairs]

    def between(self, some, others):
        """Return the paths of both directions between two groups of places."""
        return self.paths(some, others) + self.paths(others, some)

    def heal(self):
        """Remove all faults."""
        for path in self._paths.values():
            path.heal()

    async def link(self, source, destination, address, host):
        """Open a proxy for the connections of one place to another.

        Parameters
        ----------
        source, destination : str
        address : str
            Where connections are passed on to, ``host:port``.
        host : str
            Loopback address to listen on.

        Returns
        -------
        address : str
            Where the proxy listens.
        """
        serve = partial(
            _connection,
            address,
            self.path(source, destination),
            self.path(destination, source),
        )
        listeners = await trio.open_tcp_listeners(0, host=host)
        await self._nursery.start(trio.serve_listeners, serve, listeners)
        return f"{host}:{listeners[0].socket.getsockname()[1]}"


class _Reset(Exception):
    """A fault ends the connection."""


async def _connection(address, forward, backward, client):
    """Pass one connection on until both directions ended."""
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
                # Closing with unread data resets the connection, as intended.
                pass


async def _pump(source, destination, path):
    """Pass on one direction; reading goes on while chunks are on their way."""
    send, receive = trio.open_memory_channel(QUEUED_CHUNKS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_read, source, send, path)
        nursery.start_soon(_write, receive, destination, path)


async def _read(source, send, path):
    async with send:
        async for data in source:
            await send.send((trio.current_time() + path.due_s(), data))


async def _write(receive, destination, path):
    async for due, data in receive:
        await trio.sleep_until(due)
        await path.wait_open()
        if path.loses():
            raise _Reset
        if path.bytes_per_s:
            await trio.sleep(len(data) / path.bytes_per_s)
        path.carried += len(data)
        await destination.send_all(data)
    await path.wait_open()
    await destination.send_eof()


_networks = count(random.SystemRandom().randrange(1 << 16))


def loopback_prefix():
    """Return the first three bytes of a loopback network of this process's own.

    Ports that are chosen before a process binds them could be taken by others on
    127.0.0.1.
    """
    number = next(_networks)
    return f"127.{number // 200 % 250 + 2}.{number % 200 + 1}"
