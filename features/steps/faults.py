"""Steps of the promises under faults; node processes behind fault proxies."""

import os

import trio
from behave import given, then, when

from jujuberudder_core import BoottimeClock
from jujuberudder_standins import run_drain, run_graceful, run_proof

SEED = int(os.environ.get("PROOF_SEED", "20261204"))
# Each promise looks at the same run of a fault.
_proofs = {}


def _once(run, *args):
    name = (run.__name__, *args)
    if name not in _proofs:
        print(f"seed {SEED}: {' '.join(args) or run.__name__}", flush=True)
        _proofs[name] = trio.run(run, *args, SEED, clock=BoottimeClock())
    return _proofs[name]


@given("six nodes in three availability zones under load")
def deployment(context):
    """Name the deployment; it starts with the fault."""


@when('"{faults}" happens')
def inject(context, faults):
    """Run the faults, or look at their run."""
    context.proof = _once(run_proof, faults)


@when('a target is drained while "{faults}" happens')
def drain(context, faults):
    """Drain a target by a line in its section."""
    context.drained = _once(run_drain, faults)


@when("a node with slow requests in flight is asked to leave")
def leave(context):
    """Send SIGTERM while requests run that take long."""
    context.proof = _once(run_graceful)


@then("{violation} is 0")
def compare(context, violation):
    """Compare one kind of violation."""
    counts = context.proof.violations._asdict() | context.proof._asdict()
    assert counts[violation] == 0, context.proof


@then("every key is served in the end")
def served(context):
    """Compare the outcome that must follow."""
    assert context.proof.served_again, context.proof


@then("all nodes come to report the assignments of the log")
def agreed(context):
    """Compare what nodes report in the end."""
    assert context.proof.agreed, context.proof


@then("the section published meanwhile comes into force on every node")
def in_force(context):
    """Compare the versions in force in the end."""
    assert context.proof.in_force, context.proof


@then("every node that was asked to leave exits with 0")
def exits(context):
    """Compare the exit codes."""
    assert context.proof.exits, context.proof
    assert not any(context.proof.exits.values()), context.proof


@then("the target gets no new work once 2 s have passed in force")
def no_new_work(context):
    """Compare the drained target's records."""
    assert context.drained.in_force, context.drained
    assert context.drained.before > 0, context.drained
    assert context.drained.late == 0, context.drained
