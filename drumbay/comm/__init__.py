"""Communication between nodes: one interface, a TCP/UDP transport and an in-memory one."""
