"""Offer the bounds on what calls and measuring may take."""

from bendwind_core.limits.fair_queue import FairQueue
from bendwind_core.limits.retry_budget import RetryBudget, earn_retry, may_retry, spend_retry

__all__ = ["FairQueue", "RetryBudget", "earn_retry", "may_retry", "spend_retry"]
