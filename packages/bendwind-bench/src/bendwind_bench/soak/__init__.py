"""Provide the soak: random faults on real processes, and checks of what was promised."""

from bendwind_bench.soak.checks import check_record, check_safety
from bendwind_bench.soak.command import replay, soak
from bendwind_bench.soak.run import run_soak
from bendwind_bench.soak.schedule import SoakSchedule, SoakTargets, make_schedule

__all__ = [
    "SoakSchedule",
    "SoakTargets",
    "check_record",
    "check_safety",
    "make_schedule",
    "replay",
    "run_soak",
    "soak",
]
