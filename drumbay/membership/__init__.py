"""Membership of nodes: SWIM failure detection."""
