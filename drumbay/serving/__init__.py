"""The serving node. It is stateless: its state is in the key-value store and at the workers."""
