"""Structured logs and Prometheus metrics."""
