"""At-most-once execution: write-once claims on a quorum of replicas."""
