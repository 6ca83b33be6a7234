"""Measure the slopes of membership."""
