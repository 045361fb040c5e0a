"""Request handling: routing, admission, backend selection, dispatch and response."""
