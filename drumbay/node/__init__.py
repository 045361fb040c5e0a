"""The node process: constructs, wires and runs its services."""
