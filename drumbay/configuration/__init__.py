"""Distribution of the operators' configuration to every node."""
