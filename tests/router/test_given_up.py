"""Which keys a node grants again after it has reported their release."""

import pytest

from jujuberudder_router import KeyMap
from jujuberudder_router._given_up import GivenUpKeys
from jujuberudder_router._types import KeyRange


def own(start, end, fence, vm="b"):
    return KeyRange(start, end, fence, vm, "i-b@1")


@pytest.mark.parametrize(
    "key_ranges, granted, still_given_up",
    [
        ([own(0, 99, 1)], [], [(0, 99, 1)]),
        ([own(0, 199, 1)], [(100, 199)], [(0, 99, 1)]),
        ([own(0, 99, 2)], [(0, 99)], []),
        ([own(0, 49, 1), own(50, 99, 3, "c")], [], [(0, 99, 1)]),
        ([own(0, 49, 2), own(50, 99, 1)], [(0, 49)], [(0, 99, 1)]),
        ([own(0, 99, 1, "c")], [], []),
        ([], [], []),
    ],
    ids=[
        "not written yet", "more keys under the fence", "new fence", "half handed over",
        "new fence for half", "handed over", "no key map",
    ],
)  # fmt: skip
def test_reported_keys_are_granted_only_after_a_change(
    key_ranges, granted, still_given_up
):
    """Guards against two targets with keys whose handover is not known yet.

    An evacuation that was taken back gave the keys to their target again, and the VM
    that had got the report handed them over 1 s later.
    """
    given_up = GivenUpKeys()
    given_up.add(0, 99, 1)
    present = [r for r in key_ranges if r.vm == "b"]
    assert [(r.start, r.end) for r in given_up.without(present)] == granted
    given_up.apply(KeyMap("jobs", 4, tuple(key_ranges)), "b")
    assert given_up.ranges == still_given_up
