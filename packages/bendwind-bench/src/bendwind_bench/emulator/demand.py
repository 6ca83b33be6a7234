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


NO_SENDER = Sender()


class _Shares(msgspec.Struct, frozen=True):
    """Hold the senders of a route's requests; `factor` is their total rate relative to usual."""

    senders: tuple[Sender, ...]
    cumulative_weights: tuple[float, ...]
    factor: float


def _find_wave_rate(wave: Wave, now: Seconds) -> float:
    cycles = now / wave.period_s + wave.phase
    return wave.weight * (1.0 + wave.swing * math.sin(2.0 * math.pi * cycles))


class Demand:
    """Hold the current demand; without customers and waves it equals the rates of the routes."""

    __slots__ = (
        "_customer_factors",
        "_names",
        "_shares",
        "node_data_centres",
        "route_factors",
        "rng",
        "scenario",
    )

    def __init__(self, scenario: Scenario, node_data_centres: dict[str, str], rng: random.Random):
        """Create the demand; `node_data_centres` maps each node to its data centre."""
        self.scenario = scenario
        self.node_data_centres = node_data_centres
        self.rng = rng
        self.route_factors: dict[str, float] = {}
        self._names = tuple(node_data_centres)
        self._customer_factors: dict[str, float] = {}
        self._shares: dict[str, _Shares] = {}

    def set_rate_factor(self, route: str, factor: float) -> None:
        """Multiply the request rate of a route, or of all routes if `route` is empty."""
        self.route_factors[route] = factor

    def set_customer_factor(self, customer: str, factor: float) -> None:
        """Multiply the request rate of a customer; a factor of 1 restores the usual rate."""
        self._customer_factors[customer] = factor
        self._shares.clear()

    def find_rate(self, route: RouteTable, now: Seconds) -> float:
        """Return the request rate of a route.

        Units: requests per second."""
        wave_rates = self._list_wave_rates(now)
        total_weight = sum(wave.weight for wave in self.scenario.callers.waves)
        level = sum(wave_rates) / total_weight if wave_rates else 1.0
        factor = self.route_factors.get("", 1.0) * self.route_factors.get(route.name, 1.0)
        return route.per_second * factor * level * self._find_shares(route).factor

    def choose_node(self, now: Seconds) -> str:
        """Return the node that receives the next request."""
        waves = self.scenario.callers.waves
        if not waves:
            return self.rng.choice(self._names)
        [wave] = self.rng.choices(waves, self._list_wave_rates(now))
        local_nodes = [
            name
            for name, data_centre in self.node_data_centres.items()
            if data_centre == wave.data_centre
        ]
        # Callers of a data centre without an instance use any instance.
        return self.rng.choice(local_nodes or self._names)

    def _list_wave_rates(self, now: Seconds) -> list[float]:
        return [_find_wave_rate(wave, now) for wave in self.scenario.callers.waves]

    def choose_sender(self, route: RouteTable) -> Sender:
        """Return the sender of the next request of a route."""
        shares = self._find_shares(route)
        if not shares.senders:
            return NO_SENDER
        return self.rng.choices(shares.senders, cum_weights=shares.cumulative_weights)[0]

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
        usual_rates = [pair for group in groups for pair in _list_rates(group)]
        rates = [
            rate * self._customer_factors.get(sender.customer, 1.0) for sender, rate in usual_rates
        ]
        factor = sum(rates) / sum(rate for _, rate in usual_rates) if usual_rates else 1.0
        senders = tuple(sender for sender, _ in usual_rates)
        return _Shares(senders, tuple(itertools.accumulate(rates)), factor)


def _list_rates(group: CustomerTable) -> list[tuple[Sender, float]]:
    rates = [(number + 1) ** -group.zipf for number in range(group.count)]
    scale = group.weight / sum(rates)
    return [
        (Sender(group.find_name(number), group.rank), rate * scale)
        for number, rate in enumerate(rates)
    ]


__all__ = ["NO_SENDER", "Demand", "Sender"]
