"""Benchmarks: load generator, comparison of scheduling policies, and capacity measurements."""
