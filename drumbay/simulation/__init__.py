"""Deterministic simulation on a virtual clock, faults, histories and checkers."""
