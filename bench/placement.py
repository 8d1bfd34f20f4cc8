"""Compares the planner with static hashing and greedy rebalance.

Run ``python bench/placement.py``; raw figures and a plot go to ``bench/results/``.
"""

import argparse
import subprocess
import sys
from multiprocessing import Pool
from pathlib import Path

import matplotlib
import msgspec
from placement_load import DEPLOYMENTS, SCENARIOS
from placement_runs import POLICIES, run

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402

SEED = 20261204
DURATION_S = 300
PROCESSES = 3
RESULTS = Path(__file__).parent / "results"
MARKS = {"planner": "o", "greedy rebalance": "^", "static hashing": "s"}
SHOWN = (
    "imbalance_mean",
    "imbalance_p95",
    "overload_mean",
    "single_key_bound",
    "churn",
    "moves",
    "unavailable_key_seconds",
    "waiting_request_seconds",
)


def case(arguments):
    """Run one case; top level, so that a pool can call it."""
    deployment, scenario, policy, seed, duration_s = arguments
    figures = run(
        policy, DEPLOYMENTS[deployment], SCENARIOS[scenario], seed, duration_s
    )
    named = {"deployment": deployment, "scenario": scenario, "policy": policy}
    return named | {"seed": seed} | figures


def plot(rows, path):
    """Plot imbalance against churn, one panel per deployment."""
    names = list(dict.fromkeys(row["deployment"] for row in rows))
    figure, axes = plt.subplots(1, len(names), figsize=(4.2 * len(names), 4))
    scenarios = list(dict.fromkeys(row["scenario"] for row in rows))
    colours = dict(zip(scenarios, plt.cm.tab10.colors))
    for axis, name in zip([axes] if len(names) == 1 else axes, names):
        for row in rows:
            if row["deployment"] == name:
                axis.scatter(
                    row["churn"],
                    row["imbalance_mean"],
                    marker=MARKS[row["policy"]],
                    color=colours[row["scenario"]],
                    label=f"{row['policy']}, {row['scenario']}",
                )
        axis.set_title(name)
        axis.set_xlabel("churn (share of keys moved)")
        axis.set_xscale("symlog", linthresh=0.1)
    handles = {}
    first = axes if len(names) == 1 else axes[0]
    first.set_ylabel("imbalance (max over mean)")
    for handle, label in zip(*first.get_legend_handles_labels()):
        handles.setdefault(label, handle)
    figure.legend(
        handles.values(), handles, loc="lower center", ncol=3, fontsize="x-small"
    )
    figure.subplots_adjust(bottom=0.36, left=0.05, right=0.98, wspace=0.25)
    figure.savefig(path, dpi=110)


def main():
    """Run all cases and write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=SEED)
    parser.add_argument("--duration-s", type=int, default=DURATION_S)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, action="append")
    parser.add_argument("--scenario", choices=SCENARIOS, action="append")
    parser.add_argument("--policy", choices=POLICIES, action="append")
    parser.add_argument("--name", default="placement", help="name of the result files")
    given = parser.parse_args()
    cases = [
        (deployment, scenario, policy, given.seed, given.duration_s)
        for deployment in given.deployment or DEPLOYMENTS
        for scenario in given.scenario or SCENARIOS
        for policy in given.policy or POLICIES
    ]
    commit = subprocess.check_output(["git", "rev-parse", "--short", "HEAD"], text=True)
    dirty = subprocess.check_output(["git", "status", "--porcelain", "packages"])
    with Pool(PROCESSES) as pool:
        rows = pool.map(case, cases, chunksize=1)
    for row in rows:
        shown = " ".join(f"{name}={row[name]}" for name in SHOWN)
        print(f"{row['deployment']}/{row['scenario']}/{row['policy']}: {shown}")
    figures = {
        "command": "python bench/" + " ".join([Path(sys.argv[0]).name, *sys.argv[1:]]),
        "commit": commit.strip() + ("+changes" if dirty else ""),
        "seed": given.seed,
        "duration_s": given.duration_s,
        "rows": rows,
    }
    RESULTS.mkdir(exist_ok=True)
    data = msgspec.json.format(msgspec.json.encode(figures), indent=1)
    (RESULTS / f"{given.name}.json").write_bytes(data + b"\n")
    plot(rows, RESULTS / f"{given.name}.png")


if __name__ == "__main__":
    main()
