"""The HTTP interface of a node: typed request and response bodies, and handlers."""
