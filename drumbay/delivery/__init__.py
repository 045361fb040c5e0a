"""Exactly-once delivery of samples: a fenced, replicated log of batches."""
