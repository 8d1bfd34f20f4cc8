"""Settings of all tests: the same examples in each run."""

import random
import secrets

import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")


@pytest.fixture(autouse=True)
def repeatable_ids(monkeypatch):
    """Draw ids from the random source that hypothesis seeds."""
    monkeypatch.setattr(secrets, "token_hex", lambda n: random.randbytes(n).hex())
