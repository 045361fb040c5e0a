"""Rollout of weight versions over engines."""
