"""Tenants, their API keys, and the authentication of requests."""
