"""Measure slopes of the pure code, in this process."""
