"""Batch jobs: sets of rollout requests that one node runs and any node serves results of."""
