"""Offer the bounds on what calls and measuring may take."""

from bendwind_core.limits import urgency_queue
from bendwind_core.limits.concurrency_share import ConcurrencyShare, admit, leave, set_services
from bendwind_core.limits.fair_queue import FairQueue
from bendwind_core.limits.probe_budget import ProbeBudget, spend_probe
from bendwind_core.limits.request_size import SizeExceeded, check_body, check_headers
from bendwind_core.limits.retry_budget import RetryBudget, earn_retry, may_retry, spend_retry
from bendwind_core.limits.try_budget import (
    TryBudget,
    earn_by_call,
    earn_by_try,
    may_try,
    pay_sent_back,
)
from bendwind_core.limits.turns import Turns
from bendwind_core.limits.urgency_queue import UrgencyQueue

__all__ = [
    "ConcurrencyShare",
    "FairQueue",
    "ProbeBudget",
    "RetryBudget",
    "SizeExceeded",
    "TryBudget",
    "Turns",
    "UrgencyQueue",
    "admit",
    "check_body",
    "check_headers",
    "earn_by_call",
    "earn_by_try",
    "earn_retry",
    "leave",
    "may_retry",
    "may_try",
    "pay_sent_back",
    "set_services",
    "spend_probe",
    "spend_retry",
    "urgency_queue",
]
