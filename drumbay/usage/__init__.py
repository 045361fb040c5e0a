"""Request counts by tenant and time window, collected from the nodes and reported by the leader."""
