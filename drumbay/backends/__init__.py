"""Clients for backends: model engines, scoring services and application servers."""
