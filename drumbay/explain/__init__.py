"""Decision records of each node, and explanations from them and from log files."""
