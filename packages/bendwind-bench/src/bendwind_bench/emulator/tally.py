"""Count what became of callers' requests, by route and by window, and what it cost."""

import collections
import enum
from collections.abc import Iterable

import msgspec

from bendwind_bench.emulator import fairness
from bendwind_bench.emulator.upstream import CrashCount
from bendwind_core.core import Seconds

WINDOW: Seconds = 2.0
# So many upstreams end under a request before it can be told from others, and so long it may take
# until all nodes that reach their voters know of it.
TELLING_ENDS = 3
TELLING: Seconds = 3.0


class Fate(enum.StrEnum):
    """Say what a caller got in the end."""

    IN_TIME = "in-time"
    LATE = "late"
    REFUSED = "refused"
    FAILED = "failed"


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """Hold the figures of one run; shares are of the requests that callers made.

    `sent_back` is attempts returned unrun for each request, `busiest` the most attempts of an
    upstream against the mean of its service, `retries` the share of attempts that the retry budget
    paid for, and `worst` the mean share in time of the two worst windows. `crashed` counts the
    upstreams that ended under requests which end them, `crash_repeats` how often the worst of these
    reached upstreams later than `TELLING` after the third end under it, and `wronged` the attempts
    for each request that were quarantined though the request ends nothing.

    `urgent` is the share in time of the most urgent kinds, `put_behind` by how much a kind was
    served oftener than a more urgent one of its service, `least_kind` and `least_customer` how
    often the worst-served was, as a share of how often all were, `others` the share in time of the
    customers that sent their usual, and `for_nothing` the runs, for each request, that ended with
    an error since a call of theirs was refused.
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
    urgent: float = 0.0
    put_behind: float = 0.0
    least_kind: float = 1.0
    least_customer: float = 1.0
    others: float = 0.0
    for_nothing: float = 0.0
    routes: dict[str, dict[str, float]]
    windows: dict[str, dict[str, float]]


class Tally:
    """Collect the fates of one run."""

    __slots__ = (
        "attempts",
        "by_route",
        "by_window",
        "fairness",
        "for_nothing",
        "hot",
        "retries",
        "sent_back",
        "services",
        "wronged",
    )

    def __init__(self):
        self.by_route: dict[str, collections.Counter] = {}
        self.by_window: dict[int, collections.Counter] = {}
        self.attempts: collections.Counter[str] = collections.Counter()
        self.sent_back = 0
        self.wronged = 0
        self.retries = 0
        self.for_nothing = 0
        self.services: dict[str, str] = {}
        self.hot: set[str] = set()
        self.fairness = fairness.Fairness()

    def note(
        self, route: str, began_at: Seconds, fate: Fate, rank: int = 0, customer: str = ""
    ) -> None:
        """Count what became of one request of a caller."""
        self.by_route.setdefault(route, collections.Counter())[fate] += 1
        fairness.note_end(
            self.fairness,
            rank,
            route,
            customer,
            is_served=fate in (Fate.IN_TIME, Fate.LATE),
            is_in_time=fate is Fate.IN_TIME,
        )
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
            urgent=_round(fairness.find_urgent(self.fairness)),
            put_behind=_round(fairness.find_put_behind(self.fairness, self.services)),
            least_kind=_round(fairness.find_least_kind(self.fairness)),
            least_customer=_round(fairness.find_least_customer(self.fairness)),
            others=_round(fairness.find_others(self.fairness, self.hot)),
            for_nothing=_round(self.for_nothing / max(1, requests)),
            crash_repeats=max((_count_repeats(crash) for crash in crashes), default=0),
            routes={name: _find_shares(counts) for name, counts in sorted(self.by_route.items())},
            windows=windows,
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


def _find_shares(counts: collections.Counter) -> dict[str, float]:
    whole = max(1, sum(counts.values()))
    return {str(fate): _round(counts[fate] / whole) for fate in Fate}


def _round(value: float) -> float:
    return round(value, 6)
