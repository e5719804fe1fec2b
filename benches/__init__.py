"""Benches: speeds measured on real processes, never asserted in tests."""
