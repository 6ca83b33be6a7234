"""Model the demand: request rates, the nodes that receive requests and their customers."""

import itertools
import math
import random

import msgspec

from bendwind_bench.emulator.tables import CustomerTable, RouteTable, Scenario, Wave
from bendwind_core.core import Seconds


class Sender(msgspec.Struct, frozen=True):
    """Identify the customer that sends a request; with `rank` None the route's rank applies."""

    customer: str = ""
    rank: int | None = None


NOBODY = Sender()


class _Shares(msgspec.Struct, frozen=True):
    """Hold the senders of a route's requests; `factor` is their total rate relative to usual."""

    senders: tuple[Sender, ...]
    cumulated: tuple[float, ...]
    factor: float


def _find_height(wave: Wave, now: Seconds) -> float:
    turn = now / wave.period_s + wave.phase
    return wave.weight * (1.0 + wave.swing * math.sin(2.0 * math.pi * turn))


class Demand:
    """Hold the current demand; without customers and waves it equals the rates of the routes."""

    __slots__ = ("_hot", "_names", "_shares", "places", "rate_factors", "rng", "scenario")

    def __init__(self, scenario: Scenario, places: dict[str, str], rng: random.Random):
        """Create the demand; `node_data_centres` maps each node to its data centre."""
        self.scenario = scenario
        self.places = places
        self.rng = rng
        self.rate_factors: dict[str, float] = {}
        self._names = tuple(places)
        self._hot: dict[str, float] = {}
        self._shares: dict[str, _Shares] = {}

    def set_rate(self, route: str, factor: float) -> None:
        """Multiply the request rate of a route, or of all routes if `route` is empty."""
        self.rate_factors[route] = factor

    def heat(self, customer: str, factor: float) -> None:
        """Multiply the request rate of a customer; a factor of 1 restores the usual rate."""
        self._hot[customer] = factor
        self._shares.clear()

    def find_rate(self, route: RouteTable, now: Seconds) -> float:
        """Return the request rate of a route.

        Units: requests per second."""
        heights = self._list_heights(now)
        whole = sum(wave.weight for wave in self.scenario.callers.waves)
        level = sum(heights) / whole if heights else 1.0
        factor = self.rate_factors.get("", 1.0) * self.rate_factors.get(route.name, 1.0)
        return route.per_second * factor * level * self._find_shares(route).factor

    def pick_node(self, now: Seconds) -> str:
        """Return the node that receives the next request."""
        waves = self.scenario.callers.waves
        if not waves:
            return self.rng.choice(self._names)
        [wave] = self.rng.choices(waves, self._list_heights(now))
        there = [name for name, place in self.places.items() if place == wave.data_centre]
        # Callers of a data centre without an instance use any instance.
        return self.rng.choice(there or self._names)

    def _list_heights(self, now: Seconds) -> list[float]:
        return [_find_height(wave, now) for wave in self.scenario.callers.waves]

    def pick_sender(self, route: RouteTable) -> Sender:
        """Return the sender of the next request of a route."""
        shares = self._find_shares(route)
        if not shares.senders:
            return NOBODY
        return self.rng.choices(shares.senders, cum_weights=shares.cumulated)[0]

    def _find_shares(self, route: RouteTable) -> _Shares:
        shares = self._shares.get(route.name)
        if shares is None:
            shares = self._shares[route.name] = self._make_shares(route)
        return shares

    def _make_shares(self, route: RouteTable) -> _Shares:
        groups = [
            group
            for group in self.scenario.customers
            if route.name in (group.routes or (route.name,))
        ]
        usual = [pair for group in groups for pair in _list_sizes(group)]
        sizes = [size * self._hot.get(sender.customer, 1.0) for sender, size in usual]
        factor = sum(sizes) / sum(size for _, size in usual) if usual else 1.0
        senders = tuple(sender for sender, _ in usual)
        return _Shares(senders, tuple(itertools.accumulate(sizes)), factor)


def _list_sizes(group: CustomerTable) -> list[tuple[Sender, float]]:
    sizes = [(number + 1) ** -group.zipf for number in range(group.count)]
    scale = group.weight / sum(sizes)
    return [
        (Sender(group.find_name(number), group.rank), size * scale)
        for number, size in enumerate(sizes)
    ]


__all__ = ["NOBODY", "Demand", "Sender"]
