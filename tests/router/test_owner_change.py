"""Whether a request waits for the owner of its key, or is refused at once."""

from types import SimpleNamespace

import pytest

from jujuberudder_router import KeyMap, KeyRange, Node
from jujuberudder_router._ownership import SUSPECT_AFTER_S

KEYMAP = KeyMap("s", 2, (KeyRange(0, 99, 1, "a", "i@1"),))
SUSPECTED = KeyMap("s", 2, KEYMAP.ranges, (("a", "suspicion"),))


@pytest.mark.parametrize(
    "keymap, vm, key, unreachable_s, expected",
    [
        (None, "b", 7, 0.0, True),
        (KEYMAP, "b", 7, SUSPECT_AFTER_S / 2, True),
        (KEYMAP, "b", 7, SUSPECT_AFTER_S, False),
        (KEYMAP, "a", 7, SUSPECT_AFTER_S, True),
        (KEYMAP, "b", 100, SUSPECT_AFTER_S, True),
        (SUSPECTED, "b", 7, 0.0, False),
    ],
    ids=[
        "no key map", "owner restarts", "owner cut off", "own key", "no owner",
        "owner suspected",
    ],
)  # fmt: skip
def test_request_waits_only_for_an_owner_that_may_change(
    keymap, vm, key, unreachable_s, expected
):
    """Guards against requests held for the owner of a key that stays unreachable."""
    node = SimpleNamespace(
        keymaps={"s": keymap} if keymap else {}, vms={"a": None, "b": None},
        settings=SimpleNamespace(vm=vm), unreachable_s=lambda owner: unreachable_s,
    )  # fmt: skip
    assert Node.owner_may_change(node, "s", key) == expected


@pytest.mark.parametrize(
    "keymap, key, expected",
    [
        (None, 7, "no key map"),
        (KEYMAP, 100, "the key has no owner"),
        (KEYMAP, 7, "the owner a accepts no requests: unreachable for 3.0 s"),
        (SUSPECTED, 7, "unreachable for 3.0 s, suspected"),
    ],
)
def test_refusal_names_the_owner_that_cannot_be_reached(keymap, key, expected):
    """Guards against refusals whose log line does not lead to the VM at fault."""
    node = SimpleNamespace(
        keymaps={"s": keymap} if keymap else {}, unreachable_s=lambda owner: 3.0
    )
    assert expected in Node.owner_problem(node, "s", key)
