"""Emulators of the systems that drumbay talks to, for tests, simulations and soak runs."""
