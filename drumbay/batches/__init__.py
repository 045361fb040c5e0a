"""Batch jobs: many requests submitted together, run by one owner, read at stable positions."""
