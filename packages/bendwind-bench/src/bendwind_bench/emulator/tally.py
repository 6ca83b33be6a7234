"""Count what became of callers' requests, by route and by window, and what it cost."""

import collections
import enum
import math
from collections.abc import Iterable

import msgspec

from bendwind_bench.emulator.tables import RouteTable
from bendwind_bench.emulator.upstream import CrashCount
from bendwind_bench.limit_count import LimitCount
from bendwind_core.core import Seconds

WINDOW: Seconds = 2.0
# So many upstreams end under a request before it can be told from others, and so long it may take
# until all nodes that reach their voters know of it.
TELLING_ENDS = 3
TELLING: Seconds = 3.0
# Of customers with fewer requests, one answer more or less decides the share.
FEWEST_REQUESTS = 10
WORST_SHARE = 0.1


class Fate(enum.StrEnum):
    """Say what a caller got in the end."""

    IN_TIME = "in-time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


_SERVED = (Fate.IN_TIME, Fate.LATE)


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the figures of one run; shares are of the requests that callers made.

    `sent_back` is attempts returned unrun for each request, `busiest` the most attempts of an
    upstream against the mean of its service, `retries` the share of attempts that the retry budget
    paid for, and `worst` the mean share in time of the two worst windows. `crashed` counts the
    upstreams that ended under requests which end them, `crash_repeats` how often the worst of these
    reached upstreams later than `TELLING` after the third end under it, and `wronged` the attempts
    for each request that were quarantined though the request ends nothing.

    A call is one try of a caller, or one call that an upstream makes. `sent_back_a_call` is
    `sent_back` for each of these, `waited_free` the share of them that waited over 20 ms at an
    owner while another upstream of the service was free, and `waited_free_s` how long all waited
    so. `for_nothing` is the share of upstreams' own calls that were refused, each of which ended a
    run with an error. `worst_in_time` and `worst_served` are the shares of the tenth of the
    customers that fared worst by that, 1 where the scenario has none.
    `routes`, `ranks` and `customers` hold for each the number of requests, the share served at all
    and the shares by what became of them, `routes` also the rank of each.
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
    """Collect the fates of one run, and what it cost.

    `waited_long` counts the calls that waited while another upstream was free, `waited_s` how long.
    """

    __slots__ = (
        "attempts",
        "by_customer",
        "by_rank",
        "by_route",
        "by_window",
        "calls",
        "inner_calls",
        "inner_refused",
        "limits",
        "priorities",
        "retries",
        "sent_back",
        "waited_long",
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
        self.inner_refused = 0
        self.limits: list[LimitCount] = []
        self.waited_long = 0
        self.waited_s: Seconds = 0.0

    def note(
        self, route: RouteTable, began_at: Seconds, fate: Fate, rank: int, customer: str
    ) -> None:
        """Count what became of one request of a caller."""
        self.by_rank.setdefault(rank, collections.Counter())[fate] += 1
        if customer:
            self.by_customer.setdefault(customer, collections.Counter())[fate] += 1
        self.by_route.setdefault(route.name, collections.Counter())[fate] += 1
        self.priorities[route.name] = route.priority
        window = int(began_at / WINDOW)
        self.by_window.setdefault(window, collections.Counter())[fate] += 1

    def summarize(
        self, services: dict[str, list[str]], fell_over: int, crashes: Iterable[CrashCount] = ()
    ) -> Figures:
        """Return the figures; `services` lists the upstreams of each."""
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
            waited_free=_round(self.waited_long / max(1, self.calls)),
            waited_free_s=_round(self.waited_s),
            for_nothing=_round(self.inner_refused / max(1, self.inner_calls)),
            worst_in_time=_find_worst(self.by_customer.values(), (Fate.IN_TIME,)),
            worst_served=_find_worst(self.by_customer.values(), _SERVED),
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


def _count_repeats(crash: CrashCount) -> int:
    if len(crash.ended) < TELLING_ENDS:
        return 0
    told_at = crash.ended[TELLING_ENDS - 1] + TELLING
    return sum(at > told_at for at in crash.arrived)


def _find_worst(groups: Iterable[collections.Counter], fates: tuple[Fate, ...]) -> float:
    """Return the mean share of some fates among the tenth of the groups where it is lowest."""
    counted = [counts for counts in groups if counts.total() >= FEWEST_REQUESTS]
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
    whole = max(1, sum(counts.values()))
    return {str(fate): _round(counts[fate] / whole) for fate in Fate}


def _round(value: float) -> float:
    return round(value, 6)
