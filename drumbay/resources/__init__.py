"""The operators' resources: schema, checks, and their keys in the key-value service."""
