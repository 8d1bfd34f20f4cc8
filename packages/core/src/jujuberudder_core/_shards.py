"""Shards, identified by binary prefixes of the 64-bit hash of a key."""

import xxhash

HASH_BITS = 64


def hash_bits(key):
    """Return the 64-bit hash of a key as a string of 64 binary digits.

    Parameters
    ----------
    key : str

    Returns
    -------
    bits : str of length 64
    """
    return format(xxhash.xxh3_64_intdigest(key.encode()), f"0{HASH_BITS}b")


def prefix_of(bits, prefixes):
    """Return the element of ``prefixes`` that is a prefix of ``bits``, or None.

    Parameters
    ----------
    bits : str of length 64
    prefixes : container of str
        No element is a prefix of another one.
    """
    for length in range(HASH_BITS + 1):
        if bits[:length] in prefixes:
            return bits[:length]
    return None


def is_exact_cover(prefixes):
    """Return whether the prefixes cover the hash space exactly once.

    Parameters
    ----------
    prefixes : iterable of str
    """
    ordered = sorted(prefixes)
    overlap = any(b.startswith(a) for a, b in zip(ordered, ordered[1:]))
    total = sum(2 ** (HASH_BITS - len(prefix)) for prefix in ordered)
    return not overlap and total == 2**HASH_BITS


def uniform_prefixes(bits):
    """Return all prefixes of ``bits`` binary digits in ascending order."""
    if bits == 0:
        return [""]
    return [format(value, f"0{bits}b") for value in range(2**bits)]
