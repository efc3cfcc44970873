"""Parts of the load player, see `benchmarks.load_play`."""
