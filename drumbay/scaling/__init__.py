"""Autoscaling: the leader orders worker counts per service and zone from the platform."""
