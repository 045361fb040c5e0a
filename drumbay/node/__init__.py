"""The node process: the shell that joins the services."""
