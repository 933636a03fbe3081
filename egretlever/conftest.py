"""Makes hypothesis derandomised, so that every run gives the same verdict."""

import hypothesis

hypothesis.settings.register_profile(
    "egretlever", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("egretlever")
