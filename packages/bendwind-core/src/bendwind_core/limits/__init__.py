"""Limit the resources that calls, retries and probes may use."""

from bendwind_core.limits import urgency_queue
from bendwind_core.limits.concurrency_share import (
    ConcurrencyShare,
    acquire_call,
    release_call,
    set_services,
)
from bendwind_core.limits.customer_work import CustomerWork
from bendwind_core.limits.fair_queue import FairQueue
from bendwind_core.limits.no_wait_budget import (
    NoWaitBudget,
    earn_by_call,
    earn_by_no_wait_attempt,
    may_send_no_wait,
    spend_on_refusal,
)
from bendwind_core.limits.probe_budget import ProbeBudget, spend_probe
from bendwind_core.limits.request_size import SizeExceeded, check_body
from bendwind_core.limits.retry_budget import (
    RetryBudget,
    charge_resend,
    earn_retry,
    may_resend,
    may_retry,
    spend_retry,
)
from bendwind_core.limits.urgency_queue import UrgencyQueue

__all__ = [
    "ConcurrencyShare",
    "CustomerWork",
    "FairQueue",
    "NoWaitBudget",
    "ProbeBudget",
    "RetryBudget",
    "SizeExceeded",
    "UrgencyQueue",
    "acquire_call",
    "charge_resend",
    "check_body",
    "earn_by_call",
    "earn_by_no_wait_attempt",
    "earn_retry",
    "may_resend",
    "may_retry",
    "may_send_no_wait",
    "release_call",
    "set_services",
    "spend_on_refusal",
    "spend_probe",
    "spend_retry",
    "urgency_queue",
]
