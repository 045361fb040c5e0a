"""Durable record logs in the data directory of a node that has a disk."""
