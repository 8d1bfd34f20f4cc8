"""Which VM runs a request of a service without keys."""

import pytest

from jujuberudder_router._choice import Candidate, choose


def candidate(vm, **changes):
    """Return an idle VM in another availability zone, with changes."""
    idle = Candidate(vm, False, 0, 0, 4, 0.1, 0, 0.0)
    return idle._replace(**changes)


@pytest.mark.parametrize(
    "candidates, body_bytes, expected",
    [
        ([], 0, None),
        ([candidate("a"), candidate("b", same_zone=True)], 0, "b"),
        ([candidate("a"), candidate("b", running=4)], 0, "a"),
        ([candidate("a"), candidate("b", same_zone=True, running=9)], 0, "a"),
        ([candidate("a"), candidate("b", same_zone=True, running=9)], 90000, "b"),
        ([candidate("a", service_s=0.3), candidate("b")], 0, "b"),
        ([candidate("a", service_s=0.0), candidate("b", running=1)], 0, "a"),
        ([candidate("a", failures=0.9), candidate("b", running=4)], 0, "b"),
        ([candidate("a", own=6, age_s=2.0), candidate("b", running=3)], 0, "b"),
    ],
    ids=[
        "none", "same zone", "free slots", "zone against queue",
        "an upload stays in its zone", "faster", "new, nothing known", "failing",
        "old report, many of our own",
    ],
)  # fmt: skip
def test_choice(candidates, body_bytes, expected):
    """Guards against full, failing or distant VMs, and new ones that get nothing."""
    found = choose(candidates, body_bytes, lambda: 0.0)
    assert (found and found.vm) == expected
