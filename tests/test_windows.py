"""Race windows of the ownership protocol that random simulations seldom reach."""

import pytest
import trio
from fakes import APPEND_TIMEOUT_S, LOG, Checker, Cluster, seeded, simulate
from result import Err

from jujuberudder_core import Failure, encode_record, new_id, records
from jujuberudder_peers import GRANT_S, LEASE_S, Lease, Refused, Sealed, Witness

ZONES = ("a", "b", "c") * 3
START_S = 3.0
WATCH_S = 5.0
STEP_S = 0.001
LATE_S = 0.1


def make_witness(until=10.0, alive=("x",)):
    """Return a witness whose own lease ends at ``until``."""
    lease = Lease()
    lease.extend(until - LEASE_S)
    return Witness(lease, lambda incarnation: incarnation in alive)


def renews_after_seal(witness):
    """Renew after a seal, when all grants have expired."""
    witness.seal("x", 1.0)
    return witness.renew("x", 1.0 + GRANT_S)


def seals_while_renewing(witness):
    """Seal immediately after a renewal."""
    witness.renew("x", 1.0)
    return witness.seal("x", 1.1)


def seals_after_missed_renewal(witness):
    """Seal when the last renewal is older than the renewal interval."""
    witness.renew("x", 1.0)
    return witness.seal("x", 1.5)


def renews_after_forgetting(witness):
    """Renew after the witness removed the sealed incarnation as dead."""
    witness.seal("x", 1.0)
    witness.forget("x")
    return witness.renew("x", 2.0)


REPLIES = {
    "sealed for good": (make_witness(), renews_after_seal, Refused("sealed")),
    "never granted": (make_witness(), lambda w: w.seal("x", 1.0), Sealed(GRANT_S)),
    "renews at present": (make_witness(), seals_while_renewing, Refused("renews")),
    "silent": (make_witness(), seals_after_missed_renewal, Sealed(GRANT_S - 0.5)),
    "dead stays refused": (
        make_witness(alive=()),
        renews_after_forgetting,
        Refused("not alive in the log"),
    ),
    "witness without a lease": (
        make_witness(until=0.5),
        lambda w: w.renew("x", 1.0),
        Refused("witness holds no lease"),
    ),
}


@pytest.mark.parametrize("witness, send, expected", REPLIES.values(), ids=REPLIES)
def test_replies_of_a_witness(witness, send, expected):
    """Guards against grants after a seal, and seals of a healthy incarnation."""
    reply = send(witness)
    if isinstance(reply, Sealed):
        assert reply.remaining_s == pytest.approx(expected.remaining_s)
    else:
        assert reply == expected


def cut(cluster, hosts, others):
    """Cut the links between two groups of peers, given by name."""
    cluster.cuts |= {frozenset((a, b)) for a in hosts for b in others}


def node_names(cluster, incarnations):
    """Return the node names of incarnations."""
    known = cluster.newest().ownership.incarnations
    return [known[incarnation].admit.node for incarnation in incarnations]


def new_witnesses(cluster, host):
    """Return new witnesses for a host, none of which is a current one."""
    state = host.core.local_incarnation.state()
    excluded = {host.core.local_incarnation.incarnation, *state.witnesses}
    by_zone = {}
    for incarnation, other in host.core.ownership.live():
        if incarnation not in excluded:
            by_zone.setdefault(other.admit.availability_zone, incarnation)
    return tuple(by_zone.values())


def append_witnesses(cluster, host, chosen):
    """Append a record that changes the witnesses of a host."""
    local = host.core.local_incarnation
    record = records.Witnesses(
        new_id(), local.incarnation, local.state().version, chosen
    )
    cluster.log.put("sim.ownership", encode_record(record))


async def change_not_read(cluster, host):
    """Cut the holder from the log after the change was appended, before it is read.

    The holder renews with two of its old witnesses; the third one and the new set get
    no renewals. Sealing only the new set would take the shards of a healthy holder.
    """
    state = host.core.local_incarnation.state()
    chosen = new_witnesses(cluster, host)
    cut(cluster, [host.name], [LOG])
    append_witnesses(cluster, host, chosen)
    cut(cluster, [host.name], node_names(cluster, state.witnesses[:1]))
    cut(cluster, [host.name], node_names(cluster, chosen))


async def change_not_confirmed(cluster, host):
    """Cut the holder from the log after the change was read, before it is confirmed.

    The holder renews with the new set; its old witnesses get no renewals. Sealing only
    the old set would take the shards of a healthy holder.
    """
    state = host.core.local_incarnation.state()
    chosen = new_witnesses(cluster, host)
    append_witnesses(cluster, host, chosen)
    while host.core.local_incarnation.state().next_witnesses is None:
        await trio.sleep(STEP_S)
    cut(cluster, [host.name], [LOG])
    cut(cluster, [host.name], node_names(cluster, state.witnesses))


async def cut_with_its_witnesses(cluster, host):
    """Isolate a holder and two of its witnesses, which still reach each other.

    The witnesses are recorded as dead and count as sealed. If they acknowledged
    renewals without a lease of their own, they would extend the lease of the holder.
    """
    inside = [
        host.name,
        *node_names(cluster, host.core.local_incarnation.state().witnesses[:2]),
    ]
    cut(cluster, inside, [LOG])
    cut(cluster, inside, [name for name in cluster.hosts if name not in inside])


async def frozen_then_without_log(cluster, host):
    """Freeze a holder; afterwards it reaches its witnesses but not the log."""
    host.thawed = trio.Event()
    await trio.sleep(4)
    cut(cluster, [host.name], [LOG])
    host.thawed.set()


async def witnesses_restart(cluster, host):
    """Restart all witnesses at their addresses while the holder is cut from the log.

    The new incarnations have no seals and could renew an incarnation that was taken
    over.
    """
    cut(cluster, [host.name], [LOG])
    witnesses = node_names(cluster, host.core.local_incarnation.state().witnesses)
    for name in witnesses:
        cluster.hosts[name].scope.cancel()
    await trio.sleep(STEP_S)
    for name in witnesses:
        cluster.start(cluster.hosts[name].run)


async def move_then_owner_lost(cluster, host):
    """Stop the owner of a moving shard between its release message and its record."""
    prefix, destination = start_move(cluster, host)
    serving = host.core.local_incarnation.served_shards
    epoch = host.core.ownership.shards("jobs")[prefix].epoch
    with trio.fail_after(WATCH_S):
        while not serving.released("jobs", prefix, epoch):
            await trio.sleep(STEP_S / 10)
        cut(cluster, [host.name], [LOG])
        while not destination.core.local_incarnation.served_shards.finishing_epoch(
            "jobs", prefix
        ):
            await trio.sleep(STEP_S)
        cut(cluster, [destination.name], [LOG])
    host.scope.cancel()


async def all_restart(cluster, host):
    """Restart all nodes at once, which discards all state about grants and seals."""
    for other in cluster.hosts.values():
        other.scope.cancel()
    await trio.sleep(STEP_S)
    for other in cluster.hosts.values():
        cluster.start(other.run)


def start_move(cluster, host):
    """Append a move of one shard of a host; return its prefix and destination."""
    ownership = cluster.newest().ownership
    name, prefix = sorted(ownership.owned(host.core.local_incarnation.incarnation))[0]
    epoch = ownership.shards(name)[prefix].epoch
    others = [h for h in cluster.running() if h is not host and h.zone != host.zone]
    target = others[0].core.local_incarnation.incarnation
    entry = records.ShardOwner(name, prefix, epoch, target)
    cluster.log.put(
        "sim.ownership", encode_record(records.Move(new_id(), "p", (entry,)))
    )
    return prefix, others[0]


async def start_cluster(nursery):
    """Start nine nodes in three availability zones and wait until all keys are served.

    Returns the cluster and its checker.
    """
    cluster = Cluster(nursery, ZONES)
    checker = Checker(cluster)
    cluster.start(checker.run)
    await trio.sleep(START_S)
    assert checker.served()
    return cluster, checker


def find_owner_with_witnesses(cluster):
    """Return a host that owns shards and has three confirmed witnesses."""
    for host in cluster.running():
        local = host.core.local_incarnation
        if local.owned() and len(local.state().witness_sets[-1]) == 3:
            if local.state().next_witnesses is None:
                return host
    raise AssertionError("no owner has witnesses")


WINDOWS = (
    change_not_read,
    change_not_confirmed,
    cut_with_its_witnesses,
    frozen_then_without_log,
    witnesses_restart,
    move_then_owner_lost,
    all_restart,
)


@pytest.mark.parametrize("window", WINDOWS)
@seeded
def test_one_owner_in_window(window, _):
    """Guards against two owners of a key in a race window of the protocol."""

    async def main():
        async with trio.open_nursery() as nursery:
            cluster, checker = await start_cluster(nursery)
            await window(cluster, find_owner_with_witnesses(cluster))
            await trio.sleep(WATCH_S)
            cluster.heal()
            await trio.sleep(WATCH_S)
            assert checker.served()
            nursery.cancel_scope.cancel()

    simulate(main)


@seeded
def test_lease_ends_before_leave(_):
    """Guards against grants from a witness that the log records as dead."""

    async def main():
        async with trio.open_nursery() as nursery:
            cluster, checker = await start_cluster(nursery)
            host = find_owner_with_witnesses(cluster)
            local = host.core.local_incarnation
            held = []
            put = cluster.log.put

            def watch(stream, data):
                if data.startswith('["leave"'):
                    held.append(local.holds_lease())
                return put(stream, data)

            cluster.log.put = watch
            host.stopping.set()
            await trio.sleep(START_S)
            assert held == [False]
            assert checker.served()
            nursery.cancel_scope.cancel()

    simulate(main)


async def append_late(cluster, stream, data):
    """Append a record after the writer's time-out, which returns an error."""

    async def arrive():
        await trio.sleep(APPEND_TIMEOUT_S + LATE_S)
        cluster.log.put(stream, data)

    cluster.start(arrive)
    await trio.sleep(APPEND_TIMEOUT_S)
    return Err(Failure("append", LOG, "no answer", True))


@seeded
def test_late_admission_grants_no_lease(_):
    """Guards against a lease that starts at another send time than that in the log.

    The append of the admission times out and takes effect later.
    """

    async def main():
        async with trio.open_nursery() as nursery:
            cluster, _ = await start_cluster(nursery)
            host = cluster.hosts["n8"]
            host.stopping.set()
            await trio.sleep(START_S)
            host.append = lambda *record: append_late(cluster, *record)
            cluster.start(host.run)
            while host.core is None or host.core.local_incarnation is None:
                await trio.sleep(STEP_S)
            local, from_log = host.core.local_incarnation, []
            extend = local.lease.extend

            def watch(sent_at, witnesses=()):
                if not witnesses:
                    from_log.append(sent_at)
                extend(sent_at, witnesses)

            local.lease.extend = watch
            while not local.state().alive:
                await trio.sleep(STEP_S)
            await trio.sleep(APPEND_TIMEOUT_S + LATE_S)
            assert from_log == []
            nursery.cancel_scope.cancel()

    simulate(main)
