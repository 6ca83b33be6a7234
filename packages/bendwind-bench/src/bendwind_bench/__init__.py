"""Benchmark Bendwind with simulated upstreams, open-loop load and scheduled faults."""
