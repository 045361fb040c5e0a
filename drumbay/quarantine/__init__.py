"""Quarantine of requests that crash their workers."""
