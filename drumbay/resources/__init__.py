"""Operators' resources: schema, validation and YAML files."""
