"""Measure slopes of real processes that communicate over loopback."""
