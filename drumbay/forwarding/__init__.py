"""Requests of clients: routes, and forwarding to workers with deadlines and hedging."""
