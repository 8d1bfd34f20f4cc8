"""Simulations of the placement benchmark: the planner's code and two baselines."""

import heapq
from bisect import bisect_right
from types import SimpleNamespace

import numpy as np
import xxhash
from placement_load import SHIFT_INTERVAL_S, KeyLoad, membership_events

from jujuberudder._meter import MAX_HOT_KEYS, WINDOW_TICKS
from jujuberudder._placement import plan, successors
from jujuberudder._placement_state import PlacementState
from jujuberudder._reports import Reporter
from jujuberudder_core import Ownership, is_exact_cover, records, uniform_prefixes

SERVICE = "jobs"
STEP_S = 0.5
REPORT_S = 1.0
WARM_UP_S = 6.0
# Estimated time that a key is not served: during a move (requests in flight end, two
# messages), and after the loss of its owner (lease, seal and append).
MOVE_PAUSE_S = 0.05
LOSS_PAUSE_S = 1.7
DRAIN_S = 10.0
VIRTUAL_NODES = 100
GREEDY_INTERVAL_S = 5.0
GREEDY_TOLERANCE = 1.05
GREEDY_SHARDS_PER_TARGET = 16
SAMPLES = 2**16
# The capacity of a target that joins increases from COLD_CAPACITY to 1 over COLD_S.
COLD_S, COLD_CAPACITY = 25.0, 0.3


class RunMetrics:
    """Collects the metrics of one run."""

    def __init__(self):
        self.imbalance = []
        self.overload = []
        self.single_key_bound = []
        self.churn = 0.0
        self.key_seconds = 0.0
        self.request_seconds = 0.0
        self.moves = 0

    def record_move(self, share, rate, pause_s, count=1):
        """Record keys that change owner.

        Parameters
        ----------
        share : float
            Share of all keys.
        rate : float
            Requests/s of these keys.
        pause_s : float
            Time for which the keys are not served.
        count : int
            Number of moves.
        """
        self.churn += share
        self.key_seconds += share * pause_s
        self.request_seconds += float(rate) * pause_s
        self.moves += count

    def summarize(self, key_count):
        """Return the metrics by name."""
        imbalance = np.array(self.imbalance)
        return {
            "imbalance_mean": round(float(imbalance.mean()), 4),
            "imbalance_p95": round(float(np.quantile(imbalance, 0.95)), 4),
            "overload_mean": round(float(np.mean(self.overload)), 4),
            "single_key_bound": round(float(np.mean(self.single_key_bound)), 4),
            "churn": round(self.churn, 4),
            "moves": self.moves,
            "unavailable_key_seconds": round(self.key_seconds * key_count, 1),
            "waiting_request_seconds": round(self.request_seconds, 2),
        }


class Cluster:
    """Simulated targets: availability zones, capacity and faults of their reports."""

    def __init__(self, deployment, scenario, rng):
        self.deployment = deployment
        self.rng = rng
        self.misleading_share = scenario.misleading_share
        self.live = {}
        self.joined_at = {}
        self.draining = set()
        self.report_factors = {}
        self._next_index = 0
        for _ in range(deployment.targets):
            self.join(-COLD_S)

    def join(self, now):
        """Add a target and return its name."""
        name = f"t{self._next_index:04d}"
        self.live[name] = f"z{self._next_index % self.deployment.zones}"
        misleading = self.rng.random() < self.misleading_share
        self.report_factors[name] = (
            10 ** self.rng.uniform(-0.5, 0.5) if misleading else 1.0
        )
        self._next_index += 1
        self.joined_at[name] = now
        return name

    def capacity(self, name, now):
        """Return the true capacity of a target, which is below 1 after a cold start."""
        warm_share = min(1.0, (now - self.joined_at[name]) / COLD_S)
        return COLD_CAPACITY + (1 - COLD_CAPACITY) * warm_share

    def pick_target(self):
        """Return a random target that is not draining."""
        return str(self.rng.choice(sorted(set(self.live) - self.draining)))

    def usable(self):
        """Return the targets that are live and not draining."""
        return [name for name in self.live if name not in self.draining]


class PlannerPolicy:
    """Runs the planner's functions on simulated reports and an ownership fold."""

    def __init__(self, cluster, load, scenario, metrics):
        self._cluster, self._load, self._metrics = cluster, load, metrics
        self._report_lag_s = scenario.report_lag_s
        self._ownership = Ownership()
        self._offset = 0
        self._past_offsets = []
        self._reporters = {}
        self._delayed_reports = []
        self._section = {
            "service": SERVICE,
            "drain": [],
            "slots": cluster.deployment.slots,
            "initial_shard_bits": 5,
            "placement_weights": cluster.deployment.placement_weights,
        }
        self._placement_state = PlacementState(SERVICE, self._ownership)
        for name in cluster.live:
            self.join(name, 0.0)
        # A new state has no admission times: the initial targets do not count as new.
        self._placement_state = PlacementState(SERVICE, self._ownership)

    @property
    def shards(self):
        """The shards of the service by prefix."""
        return self._ownership.shards(SERVICE)

    def _apply(self, record, now):
        self._offset += 1
        effect = self._ownership.apply(self._offset, record)
        if effect:
            self._placement_state.observe(record, now)
        return effect

    def join(self, name, now):
        """Admit a new target."""
        zone = self._cluster.live[name]
        admit = records.Admit("r", name, name, SERVICE, zone, "", "", "")
        assert self._apply(admit, now)

    def lose(self, name, now):
        """Take over a failed target; its keys are not served for ``LOSS_PAUSE_S``."""
        owned_shards = self._ownership.owned(name)
        prefixes = [prefix for _, prefix in owned_shards]
        for prefix, rate in zip(prefixes, self._load.shard_rates(prefixes)):
            self._metrics.record_move(2.0 ** -len(prefix), rate, LOSS_PAUSE_S)
        placement_state = self._placement_state
        by_target = {
            target: placement_state.load_of(target)
            for target in placement_state.members()
        }
        shards = successors(
            self._ownership,
            {SERVICE: self._section},
            {name},
            lambda service: (
                by_target,
                lambda prefix, owner: placement_state.load(prefix),
            ),
        )
        version = self._ownership.incarnations[name].version
        base = records.Base(name, version)
        assert self._apply(records.Dead("d", "c", (base,), shards), now)

    def drain(self, name, now):
        """Start to drain a target."""
        self._section["drain"].append(name)

    def leave(self, name, now):
        """Remove a drained target."""
        assert not self._ownership.owned(name), "a drained target still owns shards"
        version = self._ownership.incarnations[name].version
        assert self._apply(records.Leave("l", name, version, ()), now)

    def step(self, now):
        """Complete moves, deliver reports that are due and plan once."""
        for prefix in sorted(self._placement_state.moving):
            shard = self.shards[prefix]
            self._apply(records.Release("r", SERVICE, prefix, shard.epoch), now)
        if self.shards and now % REPORT_S == 0:
            self._report(now)
        while self._delayed_reports and self._delayed_reports[0][0] <= now:
            _, _, name, report = heapq.heappop(self._delayed_reports)
            if name in self._cluster.live:
                self._placement_state.add_report(report, now)
                local = self._local_incarnation(name)
                summary = SimpleNamespace(loads=[])
                self._reporters[name][0].record_reply(local, report, summary, now)
        self._plan(now)

    def _plan(self, now):
        decision = plan(
            self._placement_state,
            self._ownership,
            self._section,
            now,
            (),
            now >= WARM_UP_S,
        )
        self._placement_state.clear_changed(decision.deferred)
        if decision.assigns:
            self._apply(records.Assign("a", "p", decision.assigns), now)
        if decision.moves:
            prefixes = [shard.prefix for shard in decision.moves]
            for prefix, rate in zip(prefixes, self._load.shard_rates(prefixes)):
                self._metrics.record_move(2.0 ** -len(prefix), rate, MOVE_PAUSE_S)
            assert self._apply(records.Move("m", "p", decision.moves), now)
        for prefix, epoch in decision.splits:
            assert self._apply(records.Split("s", SERVICE, prefix, epoch), now)
        for prefix, epochs in decision.merges:
            assert self._apply(records.Merge("g", SERVICE, prefix, epochs), now)

    def _local_incarnation(self, name):
        """Return the state of a node that a ``Reporter`` reads."""
        return SimpleNamespace(
            settings=SimpleNamespace(deployment="bench", service=SERVICE),
            incarnation=name,
            ownership=self._ownership,
            served_shards=SimpleNamespace(in_flight=lambda: 0),
        )

    def _report(self, now):
        """Create a report of each target; shard rates have Poisson counting noise."""
        self._past_offsets.append(self._offset)
        window_start = self._past_offsets[
            -min(len(self._past_offsets), WINDOW_TICKS + 1)
        ]
        prefixes = list(self.shards)
        true_rates = self._load.shard_rates(prefixes)
        counted_rates = (
            self._cluster.rng.poisson(true_rates * WINDOW_TICKS) / WINDOW_TICKS
        )
        rates_by_owner, hot_keys_by_owner = {}, {}
        for prefix, rate in zip(prefixes, counted_rates):
            owner = self.shards[prefix].owner
            rates_by_owner.setdefault(owner, {})[SERVICE, prefix] = float(rate)
        sorted_prefixes = sorted(prefixes)
        for index in self._load.hottest:
            bits = format(int(self._load.hashes[index]), "064b")
            owner = self.shards[
                sorted_prefixes[bisect_right(sorted_prefixes, bits) - 1]
            ].owner
            hot_keys = hot_keys_by_owner.setdefault(owner, [])
            if len(hot_keys) < MAX_HOT_KEYS:
                hot_keys.append(
                    (int(self._load.hashes[index]), self._load.rates[index])
                )
        for name in self._cluster.live:
            self._report_one(
                name,
                now,
                window_start,
                rates_by_owner.get(name, {}),
                hot_keys_by_owner.get(name, []),
            )

    def _report_one(self, name, now, window_start, rates, hot_keys):
        factor = self._cluster.report_factors[name]
        if name not in self._reporters:
            meter = SimpleNamespace()
            self._reporters[name] = (Reporter(meter), meter)
        reporter, meter = self._reporters[name]
        meter.since = window_start
        meter.rates = lambda: {key: rate * factor for key, rate in rates.items()}
        meter.hot_keys = lambda: [(key, rate * factor) for key, rate in hot_keys]
        report = reporter.make_report(self._local_incarnation(name), "planner")
        tie_breaker = len(self._delayed_reports) + now * 1e6
        heapq.heappush(
            self._delayed_reports, (now + self._report_lag_s, tie_breaker, name, report)
        )

    def check(self):
        """Check that shards cover the hash space exactly once and all have owners."""
        assert is_exact_cover(self.shards)
        assert all(shard.owner for shard in self.shards.values())

    def target_rates(self):
        """Return the true rate of each target."""
        prefixes = list(self.shards)
        rates_by_target = dict.fromkeys(self._cluster.live, 0.0)
        for prefix, rate in zip(prefixes, self._load.shard_rates(prefixes)):
            rates_by_target[self.shards[prefix].owner] += rate
        return rates_by_target


class GreedyPolicy:
    """Moves shards from the most to the least loaded target until loads are similar.

    Loads are similar if none exceeds ``GREEDY_TOLERANCE`` times the mean.
    It gets the same reports as the planner. Its shards are fixed, and it has neither a
    cooldown nor a budget for moves.
    """

    def __init__(self, cluster, load, scenario, metrics):
        self._cluster, self._load, self._metrics = cluster, load, metrics
        self._report_lag_s = scenario.report_lag_s
        min_shards = GREEDY_SHARDS_PER_TARGET * cluster.deployment.targets
        self._prefixes = uniform_prefixes(max(5, (min_shards - 1).bit_length()))
        targets = list(cluster.live)
        self._owners = [
            targets[index % len(targets)] for index in range(len(self._prefixes))
        ]
        self._reported_rates = np.ones(len(self._prefixes))
        self._delayed_reports = []

    def join(self, name, now):
        """Do nothing; the next rebalance moves shards to the target."""

    def lose(self, name, now):
        """Move each shard of a failed target to the least loaded target."""
        self._evacuate(name, LOSS_PAUSE_S)

    def drain(self, name, now):
        """Move the shards as after a loss, but with the shorter pause of a move."""
        self._evacuate(name, MOVE_PAUSE_S)

    def leave(self, name, now):
        """Do nothing; no keys are left to move."""

    def _evacuate(self, name, pause_s):
        loads = self._target_loads()
        loads.pop(name, None)
        for index, owner in enumerate(self._owners):
            if owner == name:
                least_loaded = min(loads, key=loads.get)
                loads[least_loaded] += self._reported_rates[index]
                self._move_shard(index, least_loaded, pause_s)

    def _move_shard(self, index, owner, pause_s):
        self._owners[index] = owner
        rate = self._load.shard_rates([self._prefixes[index]])[0]
        self._metrics.record_move(1 / len(self._prefixes), rate, pause_s)

    def _target_loads(self):
        loads = dict.fromkeys(self._cluster.usable(), 0.0)
        for owner, rate in zip(self._owners, self._reported_rates):
            if owner in loads:
                loads[owner] += rate
        return loads

    def step(self, now):
        """Apply reports that are due and rebalance every ``GREEDY_INTERVAL_S``."""
        if now % REPORT_S == 0:
            true_rates = self._load.shard_rates(self._prefixes)
            counted_rates = (
                self._cluster.rng.poisson(true_rates * WINDOW_TICKS) / WINDOW_TICKS
            )
            report_factors = [
                self._cluster.report_factors[owner] for owner in self._owners
            ]
            self._delayed_reports.append(
                (now + self._report_lag_s, counted_rates * np.array(report_factors))
            )
        while self._delayed_reports and self._delayed_reports[0][0] <= now:
            self._reported_rates = self._delayed_reports.pop(0)[1]
        if now >= WARM_UP_S and now % GREEDY_INTERVAL_S == 0:
            self._rebalance()

    def _rebalance(self):
        loads = self._target_loads()
        mean = sum(loads.values()) / len(loads)
        moved = set()
        for _ in range(len(self._prefixes)):
            most_loaded, least_loaded = (
                max(loads, key=loads.get),
                min(loads, key=loads.get),
            )
            if loads[most_loaded] <= GREEDY_TOLERANCE * mean:
                break
            load_gap = loads[most_loaded] - loads[least_loaded]
            candidates = [
                (self._reported_rates[index], index)
                for index, owner in enumerate(self._owners)
                if owner == most_loaded
                and index not in moved
                and self._reported_rates[index] < load_gap
            ]
            if not candidates:
                break
            rate, index = max(candidates)
            loads[most_loaded] -= rate
            loads[least_loaded] += rate
            moved.add(index)
            self._move_shard(index, least_loaded, MOVE_PAUSE_S)

    def check(self):
        """Check that every owner is a live target."""
        assert set(self._owners) <= set(self._cluster.live)

    def target_rates(self):
        """Return the true rate of each target."""
        rates_by_target = dict.fromkeys(self._cluster.live, 0.0)
        for owner, rate in zip(self._owners, self._load.shard_rates(self._prefixes)):
            rates_by_target[owner] += rate
        return rates_by_target


class StaticHashingPolicy:
    """Consistent hashing with virtual nodes, regardless of load."""

    def __init__(self, cluster, load, scenario, metrics):
        self._cluster, self._load, self._metrics = cluster, load, metrics
        self._build_ring(cluster.usable())

    def _build_ring(self, targets):
        points = sorted(
            (xxhash.xxh3_64_intdigest(f"{name}/{n}".encode()), name)
            for name in targets
            for n in range(VIRTUAL_NODES)
        )
        self._targets = targets
        self._ring_points = np.array([point for point, _ in points], dtype=np.uint64)
        index = {name: n for n, name in enumerate(targets)}
        self._point_owners = np.array([index[name] for _, name in points])

    def _owners_of(self, hashes):
        points = np.searchsorted(self._ring_points, hashes) % len(self._ring_points)
        return np.array(self._targets)[self._point_owners[points]]

    def _rebuild_ring(self, pause_s):
        samples = np.arange(SAMPLES, dtype=np.uint64) * np.uint64(2**64 // SAMPLES)
        owners_before, key_owners_before = (
            self._owners_of(samples),
            self._owners_of(self._load.hashes),
        )
        self._build_ring(self._cluster.usable())
        share = float((owners_before != self._owners_of(samples)).mean())
        moved_keys = key_owners_before != self._owners_of(self._load.hashes)
        self._metrics.record_move(
            share, float(self._load.rates[moved_keys].sum()), pause_s
        )

    def join(self, name, now):
        """Add the virtual nodes of a target."""
        self._rebuild_ring(MOVE_PAUSE_S)

    def lose(self, name, now):
        """Remove the virtual nodes of a target."""
        self._rebuild_ring(LOSS_PAUSE_S)

    def drain(self, name, now):
        """Remove the virtual nodes of a target."""
        self._rebuild_ring(MOVE_PAUSE_S)

    def leave(self, name, now):
        """Do nothing; no keys are left to move."""

    def step(self, now):
        """Do nothing."""

    def check(self):
        """Do nothing; there is no state to check."""

    def target_rates(self):
        """Return the true rate of each target."""
        points = np.searchsorted(self._ring_points, self._load.hashes) % len(
            self._ring_points
        )
        rates = np.bincount(
            self._point_owners[points], self._load.rates, minlength=len(self._targets)
        )
        return dict(zip(self._targets, rates))


POLICIES = {
    "planner": PlannerPolicy,
    "greedy rebalance": GreedyPolicy,
    "static hashing": StaticHashingPolicy,
}


def run_simulation(policy, deployment, scenario, seed, duration_s):
    """Run one policy through one load sequence and return its metrics.

    Parameters
    ----------
    policy : str
        One of ``POLICIES``.
    deployment : Deployment
    scenario : Scenario
    seed : int
        The same seed gives each policy the same keys, events and report faults.
    duration_s : int
        Simulated time.

    Returns
    -------
    metrics : dict
        As returned by ``RunMetrics.summarize``.
    """
    load = KeyLoad(deployment, np.random.default_rng(seed))
    event_rng = np.random.default_rng(seed + 1)
    cluster = Cluster(deployment, scenario, np.random.default_rng(seed + 2))
    metrics = RunMetrics()
    placement = POLICIES[policy](cluster, load, scenario, metrics)
    cluster.rng, noise_rng = event_rng, cluster.rng
    pending_events = (
        membership_events(deployment, duration_s) if scenario.membership_changes else []
    )
    pending_leaves = []
    for step in range(int(duration_s / STEP_S)):
        now = step * STEP_S
        if scenario.shift_hot_keys and now and now % SHIFT_INTERVAL_S == 0:
            load.shift_hot_keys()
        cluster.rng = event_rng
        while pending_events and pending_events[0][0] <= now:
            _, kind, count = pending_events.pop(0)
            _apply_event(cluster, placement, kind, count, now, pending_leaves)
        while pending_leaves and pending_leaves[0][0] <= now:
            name = pending_leaves.pop(0)[1]
            placement.leave(name, now)
            del cluster.live[name]
        cluster.rng = noise_rng
        placement.step(now)
        _record_metrics(cluster, placement, load, metrics, now)
    placement.check()
    return metrics.summarize(deployment.keys)


def _apply_event(cluster, placement, kind, count, now, pending_leaves):
    for _ in range(count):
        if kind == "join":
            placement.join(cluster.join(now), now)
            continue
        name = cluster.pick_target()
        if kind == "drain":
            cluster.draining.add(name)
            pending_leaves.append((now + DRAIN_S, name))
        else:
            del cluster.live[name]
        (placement.drain if kind == "drain" else placement.lose)(name, now)


def _record_metrics(cluster, placement, load, metrics, now):
    """Record the maximum over the mean of the loads, and of the loads per capacity."""
    rates = placement.target_rates()
    targets = cluster.usable()
    target_rates = np.array([rates.get(name, 0.0) for name in targets])
    capacity = np.array([cluster.capacity(name, now) for name in targets])
    total_rate = load.rates.sum()
    mean_rate = total_rate / len(targets)
    metrics.imbalance.append(target_rates.max() / mean_rate)
    metrics.overload.append(
        (target_rates / capacity).max() / (total_rate / capacity.sum())
    )
    metrics.single_key_bound.append(max(1.0, load.rates.max() / mean_rate))
