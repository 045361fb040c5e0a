"""A node that keeps nothing: it serves from the key-value service and the workers."""
