"""Usage by tenant and window: counted at each node, collected by few, reported by the leader."""
