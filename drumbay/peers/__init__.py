"""Calls between nodes: messages, transport, the nodes that are known, and relayed store calls."""
