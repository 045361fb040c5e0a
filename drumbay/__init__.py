"""Drumbay: a rollout service for reinforcement learning beside live traffic."""

__version__ = "0.1.0"
