"""Routing of client requests and forwarding to workers, with deadlines and hedging."""
