"""Simulated replacements of the systems around ebonyshore, for tests, demo and benchmarks."""
