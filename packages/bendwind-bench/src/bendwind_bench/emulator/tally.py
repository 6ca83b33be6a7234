"""Count the outcomes of callers' requests, by route and by time window, and their cost."""

import collections
import enum
import math
from collections.abc import Iterable

import msgspec

from bendwind_bench.emulator.tables import RouteTable
from bendwind_bench.emulator.upstream import CrashHistory
from bendwind_bench.limit_count import LimitCount
from bendwind_core.core import Seconds

WINDOW: Seconds = 2.0
# Number of upstream ends under a request before it can be distinguished from other requests, and
# the maximum time until all nodes that can reach their voters know of it.
SUSPICION_ENDS = 3
SUSPICION_DELAY: Seconds = 3.0
# For customers with fewer requests, a single answer changes the share too much.
MIN_CUSTOMER_REQUESTS = 10
WORST_SHARE = 0.1


class Fate(enum.StrEnum):
    """Enumerate the final outcomes of a caller's request."""

    IN_TIME = "in-time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


_SERVED = (Fate.IN_TIME, Fate.LATE)


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the figures of one run; shares are relative to the requests that callers made.

    `sent_back` is the number of attempts refused without running, per request. `busiest` is the
    highest number of attempts at an upstream relative to the mean of its service. `retries` is the
    share of attempts that were charged to the retry budget, and `worst` the mean share in time of
    the two worst windows. `crashed` counts the upstreams that ended under crashing requests.
    `crash_repeats` is how often the worst crashing request reached upstreams later than
    `SUSPICION_DELAY` after the third end under it. `wronged` is the number of quarantined attempts
    per request whose request crashes no upstream.

    A call is one send of a caller, retries included, or one call that an upstream makes.
    `sent_back_a_call` is `sent_back` per call. `waited_free` is the share of calls that waited over
    20 ms at an owner while another upstream of the service was free, and `waited_free_s` the total
    time of such waits. `for_nothing` is the share of upstreams' own calls that were refused, each
    of which ended a run with an error. `worst_in_time` and `worst_served` are the mean shares of
    the tenth of the customers with the lowest such shares, 1 if the scenario has no customers.
    `routes`, `ranks` and `customers` hold for each item the number of requests, the share served at
    all and the share of each outcome; `routes` also holds the rank of each route.
    """

    requests: int
    in_time: float
    late: float
    refused: float
    failed: float
    worst: float
    sent_back: float
    busiest: float
    retries: float
    fell_over: int
    crashed: int
    crash_repeats: int
    wronged: float
    calls: int
    sent_back_a_call: float
    waited_free: float
    waited_free_s: float
    for_nothing: float
    worst_in_time: float
    worst_served: float
    limit_worst: float
    limit_used: float
    routes: dict[str, dict[str, float]]
    ranks: dict[str, dict[str, float]]
    customers: dict[str, dict[str, float]]
    windows: dict[str, dict[str, float]]


class Tally:
    """Collect the request outcomes of one run and their cost.

    `long_waits` counts the calls that waited over 20 ms while another upstream was free, `waited_s`
    is the total time of all such waits, shorter ones included.
    """

    __slots__ = (
        "attempts",
        "by_customer",
        "by_rank",
        "by_route",
        "by_window",
        "calls",
        "inner_calls",
        "inner_calls_refused",
        "limits",
        "priorities",
        "retries",
        "sent_back",
        "long_waits",
        "waited_s",
        "wronged",
    )

    def __init__(self):
        self.by_customer: dict[str, collections.Counter] = {}
        self.by_rank: dict[int, collections.Counter] = {}
        self.priorities: dict[str, int] = {}
        self.by_route: dict[str, collections.Counter] = {}
        self.by_window: dict[int, collections.Counter] = {}
        self.attempts: collections.Counter[str] = collections.Counter()
        self.sent_back = 0
        self.wronged = 0
        self.retries = 0
        self.calls = 0
        self.inner_calls = 0
        self.inner_calls_refused = 0
        self.limits: list[LimitCount] = []
        self.long_waits = 0
        self.waited_s: Seconds = 0.0

    def record_outcome(
        self, route: RouteTable, began_at: Seconds, fate: Fate, rank: int, customer: str
    ) -> None:
        """Count the outcome of one request of a caller."""
        self.by_rank.setdefault(rank, collections.Counter())[fate] += 1
        if customer:
            self.by_customer.setdefault(customer, collections.Counter())[fate] += 1
        self.by_route.setdefault(route.name, collections.Counter())[fate] += 1
        self.priorities[route.name] = route.priority
        window = int(began_at / WINDOW)
        self.by_window.setdefault(window, collections.Counter())[fate] += 1

    def summarize(
        self, services: dict[str, list[str]], fell_over: int, crashes: Iterable[CrashHistory] = ()
    ) -> Figures:
        """Return the figures; `services` lists the upstreams of each service."""
        total = sum(self.by_route.values(), collections.Counter())
        requests = sum(total.values())
        shares = _find_shares(total)
        windows = {
            f"{window * WINDOW:g}": _find_shares(counter)
            for window, counter in sorted(self.by_window.items())
        }
        worst = sorted(window[Fate.IN_TIME] for window in windows.values())[:2]
        sent = sum(self.attempts.values())
        return Figures(
            requests=requests,
            in_time=shares[Fate.IN_TIME],
            late=shares[Fate.LATE],
            refused=shares[Fate.REFUSED],
            failed=shares[Fate.FAILED],
            worst=_round(sum(worst) / max(1, len(worst))),
            sent_back=_round(self.sent_back / max(1, requests)),
            busiest=self._find_busiest(services),
            retries=_round(self.retries / max(1, sent)),
            fell_over=fell_over,
            crashed=sum(len(crash.ended) for crash in crashes),
            wronged=_round(self.wronged / max(1, requests)),
            crash_repeats=max((_count_repeats(crash) for crash in crashes), default=0),
            calls=self.calls,
            sent_back_a_call=_round(self.sent_back / max(1, self.calls)),
            waited_free=_round(self.long_waits / max(1, self.calls)),
            waited_free_s=_round(self.waited_s),
            for_nothing=_round(self.inner_calls_refused / max(1, self.inner_calls)),
            worst_in_time=_find_worst_share(self.by_customer.values(), (Fate.IN_TIME,)),
            worst_served=_find_worst_share(self.by_customer.values(), _SERVED),
            limit_worst=_round(
                max((limit.fullest_window_share for limit in self.limits), default=0.0)
            ),
            limit_used=self._find_limit_used(),
            routes={
                name: {"rank": self.priorities[name], **figures}
                for name, figures in _describe_groups(self.by_route).items()
            },
            ranks=_describe_groups(self.by_rank),
            customers=_describe_groups(self.by_customer),
            windows=windows,
        )

    def _find_limit_used(self) -> float:
        allowed = sum(limit.allowed_requests for limit in self.limits)
        return (
            _round(sum(limit.counted_requests for limit in self.limits) / allowed)
            if allowed
            else 0.0
        )

    def _find_busiest(self, services: dict[str, list[str]]) -> float:
        ratios = []
        for names in services.values():
            counts = [self.attempts[name] for name in names]
            if sum(counts):
                ratios.append(max(counts) * len(counts) / sum(counts))
        return _round(max(ratios, default=1.0))


def _count_repeats(crash: CrashHistory) -> int:
    if len(crash.ended) < SUSPICION_ENDS:
        return 0
    known_at = crash.ended[SUSPICION_ENDS - 1] + SUSPICION_DELAY
    return sum(at > known_at for at in crash.arrived)


def _find_worst_share(groups: Iterable[collections.Counter], fates: tuple[Fate, ...]) -> float:
    """Return the mean share of `fates` in the tenth of the groups where that share is lowest."""
    counted = [counts for counts in groups if counts.total() >= MIN_CUSTOMER_REQUESTS]
    shares = sorted(sum(counts[fate] for fate in fates) / counts.total() for counts in counted)
    worst = shares[: math.ceil(WORST_SHARE * len(shares))]
    return _round(sum(worst) / len(worst)) if worst else 1.0


def _describe_groups(groups: dict) -> dict[str, dict[str, float]]:
    return {
        str(name): {
            "requests": counts.total(),
            "served": _round(sum(counts[fate] for fate in _SERVED) / counts.total()),
            **_find_shares(counts),
        }
        for name, counts in sorted(groups.items())
    }


def _find_shares(counts: collections.Counter) -> dict[str, float]:
    total = max(1, sum(counts.values()))
    return {str(fate): _round(counts[fate] / total) for fate in Fate}


def _round(value: float) -> float:
    return round(value, 6)
