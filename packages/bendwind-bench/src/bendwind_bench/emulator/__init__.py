"""Emulate deployments in virtual time: the product's own decisions on models of everything else."""

from bendwind_bench.emulator.scenario import Scenario, list_scenarios, load_scenario
from bendwind_bench.emulator.tally import Figures
from bendwind_bench.emulator.world import run_scenario

__all__ = ["Figures", "Scenario", "list_scenarios", "load_scenario", "run_scenario"]
