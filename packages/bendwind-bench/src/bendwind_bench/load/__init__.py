"""Provide open-loop load: plans, the workers that send them, and the checks of the answers."""

from bendwind_bench.load.guarantees import GuaranteeReport, check_guarantees, read_runs
from bendwind_bench.load.plan import LoadPlan, RequestKind, Send, schedule_sends
from bendwind_bench.load.sample import Outcome, Sample, create_sample
from bendwind_bench.load.worker import classify, list_headers, run_worker, send_load

__all__ = [
    "GuaranteeReport",
    "LoadPlan",
    "Outcome",
    "RequestKind",
    "Sample",
    "Send",
    "check_guarantees",
    "classify",
    "create_sample",
    "list_headers",
    "read_runs",
    "run_worker",
    "schedule_sends",
    "send_load",
]
