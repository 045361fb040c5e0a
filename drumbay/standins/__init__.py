"""Emulators of the systems around drumbay, for rehearsal and proof."""
