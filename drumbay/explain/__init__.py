"""Records of decisions, kept by the node that took them, and how they are found."""
