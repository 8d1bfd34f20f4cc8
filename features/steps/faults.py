"""Steps that check guarantees under faults.

The nodes are real processes whose connections pass through fault proxies.
"""

import os

import trio
from behave import given, then, when

from jujuberudder_core import BoottimeClock
from jujuberudder_standins import run_drain, run_graceful, run_proof

SEED = int(os.environ.get("PROOF_SEED", "20261204"))
# A fault runs once; all scenarios that name it check the results of that run.
_results = {}


def _run_once(run, *args):
    key = (run.__name__, *args)
    if key not in _results:
        print(f"seed {SEED}: {' '.join(args) or run.__name__}", flush=True)
        _results[key] = trio.run(run, *args, SEED, clock=BoottimeClock())
    return _results[key]


@given("six nodes in three availability zones under load")
def deployment(context):
    """Do nothing: the step of the fault starts the deployment."""


@when('"{faults}" happens')
def inject(context, faults):
    """Run the faults under load unless they have already run."""
    context.proof = _run_once(run_proof, faults)


@when('a target is drained while "{faults}" happens')
def drain(context, faults):
    """Publish a section that drains a target, and run the faults meanwhile."""
    context.drained = _run_once(run_drain, faults)


@when("a node with slow requests in flight is asked to leave")
def leave(context):
    """Send SIGTERM to a node while slow requests are in flight."""
    context.proof = _run_once(run_graceful)


@then("{violation} is 0")
def violation_is_zero(context, violation):
    """Check that no violation of one kind was counted."""
    counts = context.proof.violations._asdict() | context.proof._asdict()
    assert counts[violation] == 0, context.proof


@then("every key is served in the end")
def every_key_is_served(context):
    """Check that every key is served after the faults have ended."""
    assert context.proof.served_again, context.proof


@then("all nodes come to report the assignments of the log")
def assignments_agree(context):
    """Check that all nodes finally report the assignments of the log."""
    assert context.proof.agreed, context.proof


@then("the section published meanwhile comes into force on every node")
def section_is_in_force(context):
    """Check that the published section is finally in force on every node."""
    assert context.proof.in_force, context.proof


@then("every node that was asked to leave exits with 0")
def nodes_exit_with_zero(context):
    """Check the exit codes; at least one node must have been stopped."""
    assert context.proof.exits, context.proof
    assert not any(context.proof.exits.values()), context.proof


@then("the target gets no new work once 2 s have passed in force")
def no_new_work(context):
    """Check that the target ran requests before the drain and starts none after it."""
    assert context.drained.in_force, context.drained
    assert context.drained.before > 0, context.drained
    assert context.drained.late == 0, context.drained
