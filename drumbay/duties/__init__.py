"""Platform calls made by the leader only: usage reports and worker counts."""
