"""Tenants: whose key a request carries, and what a request without a known key is told."""
