"""Ownership of named resources: leases with a fence that only grows."""
