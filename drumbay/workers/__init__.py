"""Inference workers: what nodes know about them and the calls they make to them."""
