"""Scheduling of rollout samples and their staleness."""
