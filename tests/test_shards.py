"""Coverage of the hash space by shards."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jujuberudder_core import hash_bits, is_exact_cover, prefix_of, uniform_prefixes


@pytest.mark.parametrize(
    "prefixes, expected",
    [
        ([""], True),
        (["0", "1"], True),
        (["0", "10", "11"], True),
        (["0"], False),
        (["0", "1", "10"], False),
        ([], False),
    ],
)
def test_is_exact_cover(prefixes, expected):
    """Guards against initial assignments with gaps or overlaps."""
    assert is_exact_cover(prefixes) is expected


@given(key=st.text(), bits=st.integers(0, 6))
def test_each_key_has_one_shard(key, bits):
    """Guards against a key that two shards or none would cover."""
    prefixes = uniform_prefixes(bits)
    found = [prefix for prefix in prefixes if hash_bits(key).startswith(prefix)]
    assert found == [prefix_of(hash_bits(key), prefixes)]
