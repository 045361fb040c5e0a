"""The HTTP interface of a node: records on the wire and the handlers that serve them."""
