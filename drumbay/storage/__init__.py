"""Durable storage of records under the data folder of a node that has a disk."""
