"""Runs of the placement bench: the planner's real functions and two baselines."""

import heapq
from bisect import bisect_right
from types import SimpleNamespace

import numpy as np
import xxhash
from placement_load import SHIFT_S, Load, events

from jujuberudder._meter import MAX_HOT_KEYS, WINDOW_TICKS
from jujuberudder._placement import plan, successors
from jujuberudder._placement_state import PlacementState
from jujuberudder._reports import Reporter
from jujuberudder_core import Ownership, is_exact_cover, records, uniform_prefixes

SERVICE = "jobs"
STEP_S = 0.5
REPORT_S = 1.0
WARM_UP_S = 6.0
# Estimates of how long a key is not served: while it moves (requests in flight end,
# two messages), and after a loss (lease, seal and append).
MOVE_PAUSE_S = 0.05
LOSS_PAUSE_S = 1.7
DRAIN_S = 10.0
VIRTUAL_NODES = 100
GREEDY_INTERVAL_S = 5.0
GREEDY_TOLERANCE = 1.05
GREEDY_SHARDS_PER_TARGET = 16
SAMPLES = 2**16
# A target that joins has this capacity at first and all of it after COLD_S.
COLD_S, COLD_CAPACITY = 25.0, 0.3


class Tally:
    """Figures of a run."""

    def __init__(self):
        self.imbalance = []
        self.overload = []
        self.bound = []
        self.churn = 0.0
        self.key_seconds = 0.0
        self.request_seconds = 0.0
        self.moves = 0

    def moved(self, share, rate, pause_s, count=1):
        """Count keys that changed owner; ``share`` is a share of all keys."""
        self.churn += share
        self.key_seconds += share * pause_s
        self.request_seconds += float(rate) * pause_s
        self.moves += count

    def figures(self, keys):
        """Return the figures by name."""
        imbalance = np.array(self.imbalance)
        return {
            "imbalance_mean": round(float(imbalance.mean()), 4),
            "imbalance_p95": round(float(np.quantile(imbalance, 0.95)), 4),
            "overload_mean": round(float(np.mean(self.overload)), 4),
            "single_key_bound": round(float(np.mean(self.bound)), 4),
            "churn": round(self.churn, 4),
            "moves": self.moves,
            "unavailable_key_seconds": round(self.key_seconds * keys, 1),
            "waiting_request_seconds": round(self.request_seconds, 2),
        }


class Cluster:
    """Names, availability zones and reporting faults of targets."""

    def __init__(self, deployment, scenario, rng):
        self.deployment = deployment
        self.rng = rng
        self.misleading = scenario.misleading
        self.live = {}
        self.joined_at = {}
        self.drained = set()
        self.factors = {}
        self._number = 0
        for _ in range(deployment.targets):
            self.join(-COLD_S)

    def join(self, now):
        """Add a target and return its name."""
        name = f"t{self._number:04d}"
        self.live[name] = f"z{self._number % self.deployment.zones}"
        wrong = self.rng.random() < self.misleading
        self.factors[name] = 10 ** self.rng.uniform(-0.5, 0.5) if wrong else 1.0
        self._number += 1
        self.joined_at[name] = now
        return name

    def capacity(self, name, now):
        """Return the true capacity of a target, below 1 after a cold start."""
        warm = min(1.0, (now - self.joined_at[name]) / COLD_S)
        return COLD_CAPACITY + (1 - COLD_CAPACITY) * warm

    def pick(self):
        """Return a random target that is not drained."""
        return str(self.rng.choice(sorted(set(self.live) - self.drained)))

    def usable(self):
        """Return the targets that are live and not drained."""
        return [name for name in self.live if name not in self.drained]


class Planned:
    """The planner's functions, reports and the ownership fold."""

    def __init__(self, cluster, load, scenario, tally):
        self._cluster, self._load, self._tally = cluster, load, tally
        self._lag_s = scenario.lag_s
        self._ownership = Ownership()
        self._offset = 0
        self._offsets = []
        self._reporters = {}
        self._late = []
        self._section = {
            "service": SERVICE,
            "drain": [],
            "slots": cluster.deployment.slots,
            "initial_shard_bits": 5,
            "placement_weights": cluster.deployment.weights,
        }
        self._board = PlacementState(SERVICE, self._ownership)
        for name in cluster.live:
            self.join(name, 0.0)
        self._board = PlacementState(SERVICE, self._ownership)

    @property
    def shards(self):
        """Shards by prefix."""
        return self._ownership.shards(SERVICE)

    def _apply(self, record, now):
        self._offset += 1
        effect = self._ownership.apply(self._offset, record)
        if effect:
            self._board.observe(record, now)
        return effect

    def join(self, name, now):
        """Admit a target."""
        zone = self._cluster.live[name]
        admit = records.Admit("r", name, name, SERVICE, zone, "", "", "")
        assert self._apply(admit, now)

    def lose(self, name, now):
        """Take a target over; its keys are not served until then."""
        held = self._ownership.owned(name)
        prefixes = [prefix for _, prefix in held]
        for prefix, rate in zip(prefixes, self._load.of_prefixes(prefixes)):
            self._tally.moved(2.0 ** -len(prefix), rate, LOSS_PAUSE_S)
        board = self._board
        by_target = {one: board.load_of(one) for one in board.members()}
        shards = successors(
            self._ownership,
            {SERVICE: self._section},
            {name},
            lambda service: (by_target, lambda prefix, owner: board.load(prefix)),
        )
        version = self._ownership.incarnations[name].version
        base = records.Base(name, version)
        assert self._apply(records.Dead("d", "c", (base,), shards), now)

    def drain(self, name, now):
        """Drain a target."""
        self._section["drain"].append(name)

    def leave(self, name, now):
        """Remove a drained target."""
        assert not self._ownership.owned(name), "a drained target still owns shards"
        version = self._ownership.incarnations[name].version
        assert self._apply(records.Leave("l", name, version, ()), now)

    def step(self, now):
        """Finish moves, deliver reports and plan once."""
        for prefix in sorted(self._board.moving):
            shard = self.shards[prefix]
            self._apply(records.Release("r", SERVICE, prefix, shard.epoch), now)
        if self.shards and now % REPORT_S == 0:
            self._report(now)
        while self._late and self._late[0][0] <= now:
            _, _, name, report = heapq.heappop(self._late)
            if name in self._cluster.live:
                self._board.add_report(report, now)
                local = self._local_incarnation(name)
                summary = SimpleNamespace(loads=[])
                self._reporters[name][0].record_reply(local, report, summary, now)
        self._plan(now)

    def _plan(self, now):
        made = plan(
            self._board, self._ownership, self._section, now, (), now >= WARM_UP_S
        )
        self._board.clear_changed(made.deferred)
        if made.assigns:
            self._apply(records.Assign("a", "p", made.assigns), now)
        if made.moves:
            prefixes = [shard.prefix for shard in made.moves]
            for prefix, rate in zip(prefixes, self._load.of_prefixes(prefixes)):
                self._tally.moved(2.0 ** -len(prefix), rate, MOVE_PAUSE_S)
            assert self._apply(records.Move("m", "p", made.moves), now)
        for prefix, epoch in made.splits:
            assert self._apply(records.Split("s", SERVICE, prefix, epoch), now)
        for prefix, epochs in made.merges:
            assert self._apply(records.Merge("g", SERVICE, prefix, epochs), now)

    def _local_incarnation(self, name):
        return SimpleNamespace(
            settings=SimpleNamespace(deployment="bench", service=SERVICE),
            incarnation=name,
            ownership=self._ownership,
            served_shards=SimpleNamespace(in_flight=lambda: 0),
        )

    def _report(self, now):
        """Make the reports of this second; rates carry the noise of counting."""
        self._offsets.append(self._offset)
        since = self._offsets[-min(len(self._offsets), WINDOW_TICKS + 1)]
        prefixes = list(self.shards)
        true = self._load.of_prefixes(prefixes)
        counted = self._cluster.rng.poisson(true * WINDOW_TICKS) / WINDOW_TICKS
        rates, hot = {}, {}
        for prefix, rate in zip(prefixes, counted):
            owner = self.shards[prefix].owner
            rates.setdefault(owner, {})[SERVICE, prefix] = float(rate)
        ordered = sorted(prefixes)
        for index in self._load.hottest:
            bits = format(int(self._load.hashes[index]), "064b")
            owner = self.shards[ordered[bisect_right(ordered, bits) - 1]].owner
            found = hot.setdefault(owner, [])
            if len(found) < MAX_HOT_KEYS:
                found.append((int(self._load.hashes[index]), self._load.rates[index]))
        for name in self._cluster.live:
            self._report_one(name, now, since, rates.get(name, {}), hot.get(name, []))

    def _report_one(self, name, now, since, rates, hot):
        factor = self._cluster.factors[name]
        if name not in self._reporters:
            meter = SimpleNamespace()
            self._reporters[name] = (Reporter(meter), meter)
        reporter, meter = self._reporters[name]
        meter.since = since
        meter.rates = lambda: {key: rate * factor for key, rate in rates.items()}
        meter.hot_keys = lambda: [(key, rate * factor) for key, rate in hot]
        report = reporter.make_report(self._local_incarnation(name), "planner")
        order = len(self._late) + now * 1e6
        heapq.heappush(self._late, (now + self._lag_s, order, name, report))

    def check(self):
        """Fail unless the shards cover the hash space once, each with an owner."""
        assert is_exact_cover(self.shards)
        assert all(shard.owner for shard in self.shards.values())

    def target_rates(self):
        """Return the true rate of each target."""
        prefixes = list(self.shards)
        found = dict.fromkeys(self._cluster.live, 0.0)
        for prefix, rate in zip(prefixes, self._load.of_prefixes(prefixes)):
            found[self.shards[prefix].owner] += rate
        return found


class Greedy:
    """Moves shards from the most to the least loaded until all are alike.

    Uses the same reports; shards are fixed, no cooldown, no budget.
    """

    def __init__(self, cluster, load, scenario, tally):
        self._cluster, self._load, self._tally = cluster, load, tally
        self._lag_s = scenario.lag_s
        wanted = GREEDY_SHARDS_PER_TARGET * cluster.deployment.targets
        self._prefixes = uniform_prefixes(max(5, (wanted - 1).bit_length()))
        names = list(cluster.live)
        self._owners = [names[n % len(names)] for n in range(len(self._prefixes))]
        self._reported = np.ones(len(self._prefixes))
        self._late = []

    def join(self, name, now):
        """Nothing to do; the next round fills the target."""

    def lose(self, name, now):
        """Give the shards of a target to those with the fewest."""
        self._empty(name, LOSS_PAUSE_S)

    def drain(self, name, now):
        """As for a loss, but the keys only pause as in a move."""
        self._empty(name, MOVE_PAUSE_S)

    def leave(self, name, now):
        """Nothing is left to move."""

    def _empty(self, name, pause_s):
        loads = self._loads()
        loads.pop(name, None)
        for n, owner in enumerate(self._owners):
            if owner == name:
                least = min(loads, key=loads.get)
                loads[least] += self._reported[n]
                self._move(n, least, pause_s)

    def _move(self, n, owner, pause_s):
        self._owners[n] = owner
        rate = self._load.of_prefixes([self._prefixes[n]])[0]
        self._tally.moved(1 / len(self._prefixes), rate, pause_s)

    def _loads(self):
        loads = dict.fromkeys(self._cluster.usable(), 0.0)
        for owner, rate in zip(self._owners, self._reported):
            if owner in loads:
                loads[owner] += rate
        return loads

    def step(self, now):
        """Take reports in and rebalance now and then."""
        if now % REPORT_S == 0:
            true = self._load.of_prefixes(self._prefixes)
            counted = self._cluster.rng.poisson(true * WINDOW_TICKS) / WINDOW_TICKS
            factors = [self._cluster.factors[owner] for owner in self._owners]
            self._late.append((now + self._lag_s, counted * np.array(factors)))
        while self._late and self._late[0][0] <= now:
            self._reported = self._late.pop(0)[1]
        if now >= WARM_UP_S and now % GREEDY_INTERVAL_S == 0:
            self._rebalance()

    def _rebalance(self):
        loads = self._loads()
        mean = sum(loads.values()) / len(loads)
        moved = set()
        for _ in range(len(self._prefixes)):
            most, least = max(loads, key=loads.get), min(loads, key=loads.get)
            if loads[most] <= GREEDY_TOLERANCE * mean:
                break
            gap = loads[most] - loads[least]
            options = [
                (self._reported[n], n)
                for n, owner in enumerate(self._owners)
                if owner == most and n not in moved and self._reported[n] < gap
            ]
            if not options:
                break
            rate, n = max(options)
            loads[most] -= rate
            loads[least] += rate
            moved.add(n)
            self._move(n, least, MOVE_PAUSE_S)

    def check(self):
        """Fail if a shard is at a target that is gone."""
        assert set(self._owners) <= set(self._cluster.live)

    def target_rates(self):
        """Return the true rate of each target."""
        found = dict.fromkeys(self._cluster.live, 0.0)
        for owner, rate in zip(self._owners, self._load.of_prefixes(self._prefixes)):
            found[owner] += rate
        return found


class Static:
    """Consistent hashing with virtual nodes; never looks at load."""

    def __init__(self, cluster, load, scenario, tally):
        self._cluster, self._load, self._tally = cluster, load, tally
        self._ring_of(cluster.usable())

    def _ring_of(self, names):
        points = sorted(
            (xxhash.xxh3_64_intdigest(f"{name}/{n}".encode()), name)
            for name in names
            for n in range(VIRTUAL_NODES)
        )
        self._names = names
        self._points = np.array([point for point, _ in points], dtype=np.uint64)
        index = {name: n for n, name in enumerate(names)}
        self._owners = np.array([index[name] for _, name in points])

    def _owner_of(self, hashes):
        where = np.searchsorted(self._points, hashes) % len(self._points)
        return np.array(self._names)[self._owners[where]]

    def _change(self, pause_s):
        samples = np.arange(SAMPLES, dtype=np.uint64) * np.uint64(2**64 // SAMPLES)
        before, keys = self._owner_of(samples), self._owner_of(self._load.hashes)
        self._ring_of(self._cluster.usable())
        share = float((before != self._owner_of(samples)).mean())
        moved = keys != self._owner_of(self._load.hashes)
        self._tally.moved(share, float(self._load.rates[moved].sum()), pause_s)

    def join(self, name, now):
        """Add the virtual nodes of a target."""
        self._change(MOVE_PAUSE_S)

    def lose(self, name, now):
        """Remove the virtual nodes of a target."""
        self._change(LOSS_PAUSE_S)

    def drain(self, name, now):
        """Remove the virtual nodes of a target."""
        self._change(MOVE_PAUSE_S)

    def leave(self, name, now):
        """Nothing is left to move."""

    def step(self, now):
        """Nothing to do."""

    def check(self):
        """Nothing to check."""

    def target_rates(self):
        """Return the true rate of each target."""
        owners = np.searchsorted(self._points, self._load.hashes) % len(self._points)
        sums = np.bincount(
            self._owners[owners], self._load.rates, minlength=len(self._names)
        )
        return dict(zip(self._names, sums))


POLICIES = {"planner": Planned, "greedy rebalance": Greedy, "static hashing": Static}


def run(policy, deployment, scenario, seed, duration_s):
    """Run one policy through one load sequence and return its figures.

    Parameters
    ----------
    policy : str
        One of ``POLICIES``.
    deployment : Deployment
    scenario : Scenario
    seed : int
        The same seed gives the same keys, events and faults to each policy.
    duration_s : int

    Returns
    -------
    figures : dict
    """
    load = Load(deployment, np.random.default_rng(seed))
    picks = np.random.default_rng(seed + 1)
    cluster = Cluster(deployment, scenario, np.random.default_rng(seed + 2))
    tally = Tally()
    placed = POLICIES[policy](cluster, load, scenario, tally)
    cluster.rng, noise = picks, cluster.rng
    due = events(deployment, duration_s) if scenario.members else []
    leaving = []
    for number in range(int(duration_s / STEP_S)):
        now = number * STEP_S
        if scenario.shift and now and now % SHIFT_S == 0:
            load.shift()
        cluster.rng = picks
        while due and due[0][0] <= now:
            _, kind, count = due.pop(0)
            _happen(cluster, placed, kind, count, now, leaving)
        while leaving and leaving[0][0] <= now:
            name = leaving.pop(0)[1]
            placed.leave(name, now)
            del cluster.live[name]
        cluster.rng = noise
        placed.step(now)
        _measure(cluster, placed, load, tally, now)
    placed.check()
    return tally.figures(deployment.keys)


def _happen(cluster, placed, kind, count, now, leaving):
    for _ in range(count):
        if kind == "join":
            placed.join(cluster.join(now), now)
            continue
        name = cluster.pick()
        if kind == "drain":
            cluster.drained.add(name)
            leaving.append((now + DRAIN_S, name))
        else:
            del cluster.live[name]
        (placed.drain if kind == "drain" else placed.lose)(name, now)


def _measure(cluster, placed, load, tally, now):
    """Note max over mean of the loads, and of the loads per capacity."""
    rates = placed.target_rates()
    names = cluster.usable()
    usable = np.array([rates.get(name, 0.0) for name in names])
    capacity = np.array([cluster.capacity(name, now) for name in names])
    total = load.rates.sum()
    mean = total / len(names)
    tally.imbalance.append(usable.max() / mean)
    tally.overload.append((usable / capacity).max() / (total / capacity.sum()))
    tally.bound.append(max(1.0, load.rates.max() / mean))
