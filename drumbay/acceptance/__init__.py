"""An acceptance run: drives a deployment of emulators and checks it against their logs."""
