"""Admission control per service: queues or rejects requests while workers are overloaded."""
