"""RPC between nodes: messages, transport, node directory, shared watches, relayed store calls."""
