"""Leases with fencing tokens over the key-value service."""
