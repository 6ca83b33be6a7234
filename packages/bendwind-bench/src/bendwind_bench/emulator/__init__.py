"""Emulate deployments in virtual time: real bendwind decisions, everything else is modelled."""

from bendwind_bench.emulator.scenario import Scenario, list_scenarios, load_scenario
from bendwind_bench.emulator.tally import Figures
from bendwind_bench.emulator.world import run_scenario

__all__ = ["Figures", "Scenario", "list_scenarios", "load_scenario", "run_scenario"]
