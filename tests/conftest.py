"""Settings that make the results of all tests repeatable."""

import hypothesis

# Examples are the same in every run. There is no deadline, because a loaded
# machine could exceed it.
hypothesis.settings.register_profile(
    'repeatable', deadline=None, derandomize=True, database=None
)
hypothesis.settings.load_profile('repeatable')
