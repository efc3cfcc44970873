"""Settings of all tests: the same verdict on every run."""

import hypothesis

# Examples are the same each time, and none has a bound in wall-clock time.
hypothesis.settings.register_profile(
    'repeatable', deadline=None, derandomize=True, database=None
)
hypothesis.settings.load_profile('repeatable')
