"""Log service faults, name and address conflicts, slow logs and failure of a zone."""

import pytest
import trio
from fakes import LEAVES, LOG, Checker, Cluster, seeded, simulate
from result import Err, Ok

from jujuberudder._admission import has_ended, obstacle
from jujuberudder_core import Failure, Ownership, encode_record, records
from jujuberudder_logservice import Batch, Entry, Follower

KEEP = records.Keep("k", "a", 1)
LOG_DELAY_S = 0.3
TAKEOVER_LIMIT_S = 2.0
LOG_LEASE_S = 6.0
START_LIMIT_S = 60.0


def batch(first, end, *entries):
    """Return a batch with entries given as ``(offset, data)``."""
    return Batch(first, end, [Entry(*entry) for entry in entries])


VALID = encode_record(KEEP)
READS = {
    "stale read": (
        [batch(0, 2, (0, VALID), (1, VALID)), batch(0, 1, (0, VALID))],
        [1, 2],
        ["log_went_back"],
    ),
    "log that lost its newest records": (
        [batch(0, 2, (0, VALID), (1, VALID)), batch(0, 1), batch(0, 1)],
        [1, 2],
        ["log_went_back"],
    ),
    "repeated records": ([batch(0, 1, (0, VALID)), batch(0, 1, (0, VALID))], [1], []),
    "undecodable record": (
        [batch(0, 2, (0, '["keep"'), (1, VALID))],
        [2],
        ["record_skipped"],
    ),
    "unknown kind": (
        [batch(0, 2, (0, '["nope", "x"]'), (1, VALID))],
        [2],
        ["record_skipped"],
    ),
    "records removed by retention": (
        [batch(0, 1, (0, VALID)), batch(5, 6, (5, VALID))],
        [1, "missed", 6],
        ["records_removed"],
    ),
}


@pytest.mark.parametrize("batches, handled, events", READS.values(), ids=READS)
async def test_follower_tolerates_invalid_reads(batches, handled, events):
    """Guards against state that changes after faulty responses of the log service."""
    positions, logged = [], []
    responses = iter(batches)

    class Client:
        async def read(self, *args):
            return Ok(next(responses))

    follower = Follower(
        Client(),
        "s",
        lambda position, record: positions.append(position),
        lambda event, **fields: logged.append(event),
        lambda first: positions.append("missed"),
    )
    for _ in batches:
        with trio.move_on_after(0):
            await follower.catch_up()
    assert (positions, logged) == (handled, events)


CONFLICTS = {
    "same name": ("one", "127.0.0.1:9", "incarnation a of node one is alive"),
    "same address": ("two", "127.0.0.1:1", "node one is alive at address 127.0.0.1:1"),
    "neither": ("two", "127.0.0.1:9", None),
}


@pytest.mark.parametrize("node, address, reason", CONFLICTS.values(), ids=CONFLICTS)
def test_names_and_addresses_in_use(node, address, reason):
    """Guards against two nodes with one name or address, and a wait without a reason.

    The second node is not admitted; the reason names the node that is alive.
    """
    ownership = Ownership()
    addresses = ("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")
    ownership.apply(1, records.Admit("r", "a", "one", "jobs", "z", *addresses))
    assert obstacle(ownership, node, address) == reason


@pytest.mark.parametrize("listens, ended", [(True, False), (False, True)])
async def test_predecessor_has_ended_only_if_no_process_listens(listens, ended):
    """Guards against replacing an incarnation whose process is still running."""
    with trio.socket.socket() as socket:
        await socket.bind(("127.0.0.1", 0))
        if listens:
            socket.listen()
        address = "127.0.0.1:{}".format(socket.getsockname()[1])
        assert await has_ended(address, "127.0.0.1:1") is ended


async def test_predecessor_on_another_host_has_not_ended():
    """Guards against treating an unreachable VM as terminated."""
    assert not await has_ended("127.0.0.2:1", "127.0.0.1:1")


@seeded
def test_lease_of_a_keep_starts_when_it_is_sent(_):
    """Guards against a lease that starts at the answer of a slow log."""

    async def main():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, ("a", "b"))
            host = cluster.hosts["n0"]
            sent, lease_starts = [], []
            append = host.append

            async def slow_append(stream, data):
                sent.append(trio.current_time())
                appended = await append(stream, data)
                await trio.sleep(LOG_DELAY_S)
                return appended

            host.append = slow_append
            await trio.sleep(LOG_DELAY_S)
            extend = host.core.local_incarnation.lease.extend

            def record_extend(sent_at, witnesses=(), **length):
                lease_starts.append(sent_at)
                extend(sent_at, witnesses, **length)

            host.core.local_incarnation.lease.extend = record_extend
            await trio.sleep(5)
            assert len(lease_starts) > 2
            assert set(lease_starts) <= set(sent)
            nursery.cancel_scope.cancel()

    simulate(main)


async def test_failed_reads_do_not_count_as_round_trips(autojump_clock):
    """Guards against leases, and so takeovers, that are extended by read time-outs."""

    class Client:
        async def read(self, *args):
            await trio.sleep(LOG_DELAY_S)
            return Err(Failure("read", "log", "timed out"))

    follower = Follower(Client(), "s", lambda *args: None, lambda *args, **kw: None)
    assert not await follower.catch_up()
    assert follower.round_trip_s == 0.0


def all_hold_leases(cluster):
    """Return whether the node of each host holds a lease."""
    incarnations = [host.core.local_incarnation for host in cluster.running()]
    return len(incarnations) == len(cluster.hosts) and all(
        local.holds_lease() for local in incarnations
    )


@pytest.mark.parametrize("log_delay_s", [0.0, 0.3, 0.6])
def test_cold_start_behind_a_slow_log(log_delay_s):
    """Guards against leases that expire before their record is read back.

    36 nodes with a log delay of 0.3 s in each direction appended 504 `keep` records in
    20 s and never held a lease.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, ("a", "b", "c") * 12)
            cluster.log_delay_s = log_delay_s
            checker = Checker(cluster)
            cluster.start(checker.run)
            with trio.fail_after(START_LIMIT_S):
                while not all_hold_leases(cluster):
                    await trio.sleep(0.1)
            assert cluster.log.appends < 8 * len(cluster.hosts)
            nursery.cancel_scope.cancel()

    simulate(main)


@seeded
def test_takeover_waits_for_the_lease_that_a_record_granted(_):
    """Guards against a second owner before a long lease from a slow log expires."""

    async def main():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, ("a", "b", "c") * 3)
            checker = Checker(cluster)
            cluster.start(checker.run)
            await trio.sleep(5)
            [(owner, _)] = cluster.serving(LEAVES[0])
            local = cluster.hosts[owner].core.local_incarnation
            version = local.state().version
            keep = records.Keep("k", local.incarnation, version, LOG_LEASE_S)
            applied = await local.write(keep)
            local.lease.extend(applied.ok_value.sent_at, lease_s=LOG_LEASE_S)
            others = [name for name in cluster.hosts if name != owner]
            cluster.cuts |= {frozenset((owner, peer)) for peer in [*others, LOG]}
            await trio.sleep(LOG_LEASE_S - 1)
            assert cluster.serving(LEAVES[0])[0][0] == owner
            await trio.sleep(5)
            assert cluster.serving(LEAVES[0])[0][0] != owner
            nursery.cancel_scope.cancel()

    simulate(main)


@seeded
def test_lost_zone_is_taken_over_in_few_records(_):
    """Guards against one append per lost node, and against duplicate deaths."""

    async def main():
        async with trio.open_nursery() as nursery:
            cluster = Cluster(nursery, ("a",) * 5 + ("b", "c", "d") * 2)
            checker = Checker(cluster)
            cluster.start(checker.run)
            await trio.sleep(5)
            for host in cluster.hosts.values():
                if host.zone == "a":
                    host.scope.cancel()
            with trio.fail_after(TAKEOVER_LIMIT_S):
                await trio.sleep(0.1)
                while not checker.served():
                    await trio.sleep(0.01)
            await trio.sleep(3)
            dead = [r for r in cluster.records() if type(r) is records.Dead]
            assert sum(len(record.bases) for record in dead) == 5
            assert len(dead) < 5
            nursery.cancel_scope.cancel()

    simulate(main)
