"""Client of the platform's key-value store (etcd v3 semantics)."""
