"""Constraints on where a request may run: evacuated zones, warm-up of workers, allowed regions."""
