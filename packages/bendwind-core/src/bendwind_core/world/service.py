"""Describe a service, its rules and its limits as operators state them."""

import enum
import fnmatch

from bendwind_core.core import Milliseconds, Record, Seconds


class Repeat(enum.StrEnum):
    """Say whether a request may be attempted again without proof that it was not run."""

    IDEMPOTENT = "idempotent"
    NEVER = "never"


class StaleAction(enum.StrEnum):
    """Say what a node does with a call when its configuration is not proven fresh."""

    REFUSE = "refuse"
    SERVE = "serve"


class Policy(enum.StrEnum):
    """Name the algorithm that picks an upstream."""

    SCORE = "score"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_IN_FLIGHT = "least-in-flight"


class Rule(Record, frozen=True, array_like=True):
    """State how requests that match a method and a path pattern are treated.

    `methods` empty matches every method; `path` is a shell-style pattern over the path.
    `attempts` bounds the upstreams that one call may reach, and `priority` ranks it, 0 the most
    urgent; an answer within `target_latency_ms` is in time. `name` tells apart the rules whose
    requests take different times. Requests of one that `is_open` need no customer's key.
    """

    path: str
    methods: tuple[str, ...] = ()
    repeat: Repeat = Repeat.IDEMPOTENT
    key_required: bool = False
    longest_wait_ms: Milliseconds | None = None
    attempts: int | None = None
    target_latency_ms: Milliseconds | None = None
    priority: int = 0
    name: str = ""
    is_open: bool = False


class Limits(Record, frozen=True, array_like=True):
    """Bound what a service may take of its upstreams and of the nodes that serve it."""

    queue: int = 16
    body_bytes: int = 8 * 1024 * 1024
    in_flight_per_entry: int = 512
    retry_ratio: float = 0.1


class WarmUpRule(Record, frozen=True, array_like=True):
    """State how long an upstream is cold after its start, and what it bears until then.

    Units: `per_second` is in requests a second.
    """

    seconds: Seconds
    per_second: float


class Service(Record, frozen=True, array_like=True):
    """State a service: the hosts that name it, the upstreams that may serve it, its rules.

    `upstreams` holds shell-style patterns over upstream names. `needed_upstreams` is how many the
    operators count on; a plan warns when fewer are announced. A service that is `routed_only` is
    reached by routes alone, which bring their own rules. `health_path` empty means that its
    upstreams offer none. `near_first` has each node call upstreams of its own data centre unless
    they would answer late. `warm_up` is None where upstreams need none.
    """

    name: str
    upstreams: tuple[str, ...]
    hosts: tuple[str, ...] = ()
    rules: tuple[Rule, ...] = ()
    longest_wait_ms: Milliseconds = 2000.0
    limits: Limits = Limits()
    policy: Policy = Policy.SCORE
    on_stale: StaleAction = StaleAction.REFUSE
    hedge_after_ms: Milliseconds | None = None
    needed_upstreams: int = 1
    routed_only: bool = False
    health_path: str = ""
    near_first: bool = False
    warm_up: WarmUpRule | None = None


# RFC 9110, section 9.2.2: the methods whose repetition has the effect of a single request.
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
_ANY_IDEMPOTENT = Rule(path="*")
_ANY_OTHER = Rule(path="*", repeat=Repeat.NEVER)


def find_rule(service: Service, method: str, path: str) -> Rule:
    """Return the first rule that matches, else the default of the method.

    >>> find_rule(Service("emisor", ("*",)), "POST", "/issue").repeat
    <Repeat.NEVER: 'never'>
    """
    for rule in service.rules:
        is_method = not rule.methods or method in rule.methods
        if is_method and fnmatch.fnmatchcase(path, rule.path):
            return rule
    return _ANY_IDEMPOTENT if method in _IDEMPOTENT_METHODS else _ANY_OTHER


def may_serve(service: Service, upstream: str) -> bool:
    """Tell whether the service's patterns admit an upstream of this name."""
    return any(fnmatch.fnmatchcase(upstream, pattern) for pattern in service.upstreams)
