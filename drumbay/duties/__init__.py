"""Calls to the platform that one node at a time makes for all: usage reports, worker counts."""
