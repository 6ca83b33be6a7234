"""Measure Bendwind with stand-in upstreams, open-loop load and faults by schedule."""
