"""Settings of all tests: the same examples in each run."""

from hypothesis import settings

settings.register_profile("ci", derandomize=True, deadline=None, print_blob=True)
settings.load_profile("ci")
