"""Random sequences of faults on a simulated cluster of whole nodes.

At all times a key has at most one owner, and its epoch only rises. Once the faults have
ended, all keys are served again.
"""

import random

import trio
from fakes import CHECK_S, LEAVES, LOG, Checker, Cluster, simulate
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from jujuberudder_core import encode_record, new_id, records

ZONES = ("a", "b", "c", "a", "b", "c")
RECOVERY_TIMEOUT_S = 30.0
ACTIONS = (
    "cut",
    "cut log",
    "cut zone",
    "log down",
    "heal",
    "faults",
    "freeze",
    "thaw",
    "kill",
    "start",
    "stop",
    "move",
    "split",
    "merge",
    "request",
    "renew witnesses",
)
STEPS = st.lists(
    st.tuples(
        st.sampled_from(ACTIONS),
        st.integers(0, len(ZONES) - 1),
        st.integers(0, len(ZONES) - 1),
        st.floats(0.01, 1.2),
    ),
    min_size=30,
    max_size=60,
)


def apply_action(cluster, action, one, other):
    """Inject a fault or make a change.

    ``one`` and ``other`` are the numbers of the host and of its peer.
    """
    host, peer = cluster.hosts[f"n{one}"], cluster.hosts[f"n{other}"]
    if action == "cut":
        cluster.cuts.add(frozenset((host.name, peer.name)))
    elif action == "cut log":
        cluster.cuts.add(frozenset((host.name, LOG)))
    elif action == "cut zone":
        inside = [h.name for h in cluster.hosts.values() if h.zone == host.zone]
        outside = [h.name for h in cluster.hosts.values() if h.zone != host.zone]
        cluster.cuts |= {frozenset((a, b)) for a in inside for b in outside}
    elif action == "log down":
        cluster.cuts |= {frozenset((name, LOG)) for name in cluster.hosts}
    elif action == "heal":
        cluster.cuts.clear()
    elif action == "faults":
        cluster.faulty = not cluster.faulty
    elif action == "freeze" and host.thawed.is_set():
        host.thawed = trio.Event()
    elif action == "thaw":
        host.thawed.set()
    elif action == "kill" and host.core is not None:
        host.scope.cancel()
    elif action == "start" and host.core is None:
        cluster.start(host.run)
    elif action == "stop" and host.core is not None:
        host.stopping.set()
    elif action == "request":
        cluster.start(hold_request, host, one + other)
    else:
        append_change(cluster, action, host, one + other)


async def hold_request(host, number):
    """Keep a request in flight for up to 2 s at a node that admits it."""
    if host.core is None or host.core.local_incarnation is None:
        return
    serving = host.core.local_incarnation.served_shards
    prefix = host.core.ownership.find("jobs", LEAVES[number])
    if prefix is None or serving.admitting_epoch("jobs", prefix) is None:
        return
    local = host.core.local_incarnation
    serving.enter("jobs", prefix)
    await trio.sleep(random.uniform(0, 2))
    serving.exit("jobs", prefix)
    if local.holds_lease():
        # The node was not taken over, so the key can only have moved, and a move waits
        # for this request. No other node serves the key yet.
        owners = {name for name, _ in host.cluster.serving(LEAVES[number])}
        assert owners <= {host.name}, (
            f"{owners} serve the key of a request that ran at {host.name}"
        )


def append_change(cluster, action, host, number):
    """Append a change of shards as another node would, or mark a witness as sealed.

    A sealed witness makes the node of the host replace its witness set.
    """
    core = cluster.newest()
    if core is None or frozenset((host.name, LOG)) in cluster.cuts:
        return
    ownership = core.ownership
    shards = sorted(ownership.shards("jobs").items())
    if not shards:
        return
    prefix, shard = shards[number % len(shards)]
    local = host.core.local_incarnation if host.core else None
    record = None
    if action == "move" and local:
        entry = records.ShardOwner("jobs", prefix, shard.epoch, local.incarnation)
        record = records.Move(new_id(), "p", (entry,))
    elif action == "split" and len(prefix) < 4:
        record = records.Split(new_id(), "jobs", prefix, shard.epoch)
    elif action == "merge" and prefix:
        pair = [ownership.shards("jobs").get(prefix[:-1] + d) for d in "01"]
        if None not in pair:
            epochs = (pair[0].epoch, pair[1].epoch)
            record = records.Merge(new_id(), "jobs", prefix[:-1], epochs)
    elif action == "renew witnesses" and local:
        local.lease.sealed_by.update(local.state().witnesses[:1])
    if record is not None:
        cluster.log.put("sim.ownership", encode_record(record))


async def walk(steps):
    """Start a cluster, apply the steps, end all faults and wait for recovery."""
    async with trio.open_nursery() as nursery:
        cluster = Cluster(nursery, ZONES)
        checker = Checker(cluster)
        cluster.start(checker.run)
        await trio.sleep(3)
        assert checker.served(), "the cluster does not serve all keys after its start"
        for action, one, other, pause_s in steps:
            apply_action(cluster, action, one, other)
            checker.check()
            await trio.sleep(pause_s)
        cluster.heal()
        with trio.move_on_after(RECOVERY_TIMEOUT_S):
            while not checker.served():
                await trio.sleep(CHECK_S)
        assert checker.served(), "keys are not served in time after the faults ended"
        nursery.cancel_scope.cancel()


@settings(max_examples=8, phases=[Phase.generate])
@given(steps=STEPS)
def test_one_owner_through_faults(steps):
    """Guards against two owners of a key, falling epochs and lost recovery."""
    simulate(walk, steps)
