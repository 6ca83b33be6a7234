"""Offer open-loop load: plans, the workers that send them, and the checks of what came back."""

from bendwind_bench.load.plan import LoadPlan, RequestKind, Send, schedule_sends
from bendwind_bench.load.sample import Outcome, Sample
from bendwind_bench.load.verdict import Verdict, check_promises, read_runs
from bendwind_bench.load.worker import run_worker, send_load

__all__ = [
    "LoadPlan",
    "Outcome",
    "RequestKind",
    "Sample",
    "Send",
    "Verdict",
    "check_promises",
    "read_runs",
    "run_worker",
    "schedule_sends",
    "send_load",
]
