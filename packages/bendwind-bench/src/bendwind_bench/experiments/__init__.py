"""Provide the experiments by name."""

from bendwind_bench.experiments.run import EXPERIMENTS, run_experiment

__all__ = ["EXPERIMENTS", "run_experiment"]
