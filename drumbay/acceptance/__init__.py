"""An acceptance run: drives a deployment and compares results with the emulators' logs."""
