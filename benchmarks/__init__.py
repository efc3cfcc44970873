"""Benchmarks and the demo: they start real processes on loopback."""
