"""Benchmarks, load generation and simulated clusters for tests."""
