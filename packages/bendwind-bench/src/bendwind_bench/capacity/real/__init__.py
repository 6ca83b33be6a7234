"""Measure slopes of real processes on loopback."""
