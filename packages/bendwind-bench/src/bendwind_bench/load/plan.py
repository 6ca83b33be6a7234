"""Schedule every request of a load before it starts, from a seed."""

import random

import msgspec

from bendwind_core.core import Milliseconds, Seconds


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe one kind of request and its weight in the mix.

    A `marked` request must not be run twice. A `keyed` one carries an Idempotency-Key, and a share
    `resend` of these is sent again with the same key. `addresses` replace those of the plan.
    """

    service: str
    path: str
    method: str = "GET"
    weight: float = 1.0
    marked: bool = False
    keyed: bool = False
    resend: float = 0.0
    request_bytes: int = 0
    answer_bytes: tuple[int, int] = (100, 2000)
    chunked: float = 0.2
    addresses: list[str] = []


class LoadPlan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe a load: its start, its rate, its mix of requests and the addresses that receive it.

    `start_at` is wall-clock time in seconds since 1970. `direct` maps a service to the addresses
    of its upstreams, which then receive its requests, drawn at random, instead of the `entries`.
    """

    name: str
    start_at: Seconds
    duration_s: Seconds
    rate: float
    kinds: list[RequestKind]
    entries: list[str]
    seed: int = 0
    client_delay_ms: Milliseconds = 0.0
    timeout_ms: Milliseconds = 5000.0
    most_open: int = 4000
    direct: dict[str, list[str]] = {}


class Send(msgspec.Struct, frozen=True):
    """Hold one scheduled send; a resend has the id of the request and a `number` of its own."""

    at_s: Seconds
    request: str
    number: int
    kind: int
    address: str
    answer_bytes: int
    chunked: bool


MAX_RESEND_DELAY_S = 0.4


def schedule_sends(plan: LoadPlan) -> list[Send]:
    """Draw all sends of a plan, sorted by time, with Poisson arrivals."""
    rng = random.Random(f"{plan.name} {plan.seed}")
    weights = [kind.weight for kind in plan.kinds]
    sends = []
    at_s = rng.expovariate(plan.rate)
    while at_s < plan.duration_s:
        kind = rng.choices(range(len(weights)), weights)[0]
        sends += _plan_request(plan, rng, at_s, f"{plan.name}-{plan.seed}-{len(sends)}", kind)
        at_s += rng.expovariate(plan.rate)
    return sorted(sends, key=lambda send: send.at_s)


def _plan_request(plan: LoadPlan, rng: random.Random, at_s, request: str, number: int):
    kind = plan.kinds[number]
    size = rng.randint(*kind.answer_bytes)
    is_chunked = rng.random() < kind.chunked
    times = [at_s]
    if kind.keyed and rng.random() < kind.resend:
        times.append(at_s + rng.uniform(0.0, MAX_RESEND_DELAY_S))
    targets = kind.addresses or plan.direct.get(kind.service) or plan.entries
    return [
        Send(time, request, index, number, rng.choice(targets), size, is_chunked)
        for index, time in enumerate(times)
    ]
