"""Measure how the costs of membership grow with the size of a deployment."""
