"""Clients of back ends: model engines, scoring services and applications."""
