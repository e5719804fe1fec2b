"""Benchmarks of real processes and simulated fleets; no test asserts the results."""
