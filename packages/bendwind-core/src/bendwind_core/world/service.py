"""Describe a service, its rules and its limits as operators state them."""

import enum
import fnmatch
import functools
import re

from bendwind_core.core import Finite, Record, Storable
from bendwind_core.world.uri import normalize_path, normalize_pattern


class Repeat(enum.StrEnum):
    """Define whether a request may be attempted again without proof that it was not run."""

    IDEMPOTENT = "idempotent"
    NEVER = "never"


class StaleAction(enum.StrEnum):
    """Define what a node does with a call if its configuration is not proven to be fresh."""

    REFUSE = "refuse"
    SERVE = "serve"


class Policy(enum.StrEnum):
    """Name the algorithm that chooses an upstream."""

    SCORE = "score"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_IN_FLIGHT = "least-in-flight"


class Rule(Record, frozen=True, array_like=True):
    """Describe how requests that match a method and a path pattern are treated.

    `path` is a shell-style pattern for the path; empty `methods` match every method. `attempts`
    limits the number of upstreams that one call may reach, and `priority` ranks the call, 0 being
    the most urgent. An answer within `target_latency_ms` is in time. `name` distinguishes rules
    whose requests have different durations. If `is_open`, the requests need no customer's key.
    """

    path: str
    methods: tuple[str, ...] = ()
    repeat: Repeat = Repeat.IDEMPOTENT
    key_required: bool = False
    longest_wait_ms: Finite | None = None
    attempts: Storable | None = None
    target_latency_ms: Finite | None = None
    priority: Storable = 0
    name: str = ""
    is_open: bool = False


class Limits(Record, frozen=True, array_like=True):
    """Limit the resources of upstreams and nodes that a service may use."""

    queue: Storable = 16
    body_bytes: Storable = 8 * 1024 * 1024
    in_flight_per_entry: Storable = 512
    retry_ratio: Finite = 0.1


class WarmUpRule(Record, frozen=True, array_like=True):
    """Describe how long an upstream is cold after its start, and the rate it can serve until then.

    Units: `per_second` is in requests per second.
    """

    seconds: Finite
    per_second: Finite


class Service(Record, frozen=True, array_like=True):
    """Describe a service: the hosts that refer to it, the upstreams that may serve it, its rules.

    `upstreams` holds shell-style patterns for upstream names. `needed_upstreams` is the number of
    upstreams that operators rely on; a plan warns if fewer are announced. A `routed_only` service
    is reached only by routes, which have their own rules. An empty `health_path` means that its
    upstreams have no health path. With `near_first`, each node calls upstreams of its own data
    centre unless they would answer late. `warm_up` is None if upstreams need no warm-up.
    """

    name: str
    upstreams: tuple[str, ...]
    hosts: tuple[str, ...] = ()
    rules: tuple[Rule, ...] = ()
    longest_wait_ms: Finite = 2000.0
    limits: Limits = Limits()
    policy: Policy = Policy.SCORE
    on_stale: StaleAction = StaleAction.REFUSE
    hedge_after_ms: Finite | None = None
    needed_upstreams: Storable = 1
    routed_only: bool = False
    health_path: str = ""
    near_first: bool = False
    warm_up: WarmUpRule | None = None


# RFC 9110, section 9.2.2: repeated requests with these methods have the effect of a single one.
_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
_DEFAULT_IDEMPOTENT_RULE = Rule(path="*")
_DEFAULT_OTHER_RULE = Rule(path="*", repeat=Repeat.NEVER)
_COMPILED_PATTERNS = 4096


@functools.lru_cache(_COMPILED_PATTERNS)
def _compile_pattern(pattern: str) -> re.Pattern[str]:
    return re.compile(fnmatch.translate(normalize_pattern(pattern)))


def find_rule(service: Service, method: str, path: str) -> Rule:
    """Return the first rule that matches, or else the default rule of the method.

    All equivalent forms of a path match the same rule.

    >>> find_rule(Service("emisor", ("*",)), "POST", "/issue").repeat
    <Repeat.NEVER: 'never'>
    """
    path = normalize_path(path)
    for rule in service.rules:
        is_method = not rule.methods or method in rule.methods
        if is_method and _compile_pattern(rule.path).match(path):
            return rule
    return _DEFAULT_IDEMPOTENT_RULE if method in _IDEMPOTENT_METHODS else _DEFAULT_OTHER_RULE


def may_serve(service: Service, upstream: str) -> bool:
    """Return whether the name of an upstream matches one of the service's patterns."""
    return any(fnmatch.fnmatchcase(upstream, pattern) for pattern in service.upstreams)
