"""Load the Hypothesis profile named by the environment variable HYPOTHESIS_PROFILE."""

import os

from hypothesis import HealthCheck, settings

_QUIET = [HealthCheck.too_slow, HealthCheck.data_too_large, HealthCheck.filter_too_much]

settings.register_profile(
    "ci",
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=_QUIET,
)
settings.register_profile(
    "fuzz",
    deadline=None,
    max_examples=3000,
    stateful_step_count=120,
    suppress_health_check=_QUIET,
)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))
