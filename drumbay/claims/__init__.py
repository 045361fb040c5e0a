"""At-most-once execution by claims on idempotency keys, granted by a majority of replicas."""
