"""Settings of all tests, which give the same examples and ids in each run."""

import random
import secrets

import pytest
from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")


@pytest.fixture(autouse=True)
def deterministic_ids(monkeypatch):
    """Generate ids with the ``random`` module, which Hypothesis seeds."""
    monkeypatch.setattr(secrets, "token_hex", lambda n: random.randbytes(n).hex())
