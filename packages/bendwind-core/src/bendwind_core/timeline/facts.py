"""Define the values that decided the outcome of a request, for its log line and the timeline."""

import msgspec

from bendwind_core.core import Milliseconds


class AttemptFacts(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one attempt of a call as observed by its entry node.

    `number` is the sequence number of the attempt within the entry node's run; the `call` field of
    the owner's log lines ends with it.
    Units: `sent_ms` counts from the call's arrival, `ms` from the sending to the end; `wait_ms` is
    the time after which the owner reported that it would accept the attempt, None if it reported
    none.
    """

    upstream: str
    sent_ms: Milliseconds
    end: str = ""
    ms: Milliseconds | None = None
    wait_ms: Milliseconds | None = None
    number: int = 0


class CallFacts(msgspec.Struct, frozen=True, omit_defaults=True, tag="call"):
    """Hold the end of a call: the request, the outcome of each attempt and the caller's result.

    `version` is the configuration by which the request was resolved, `age_ms` the time since that
    version was last confirmed to be the newest, and `newest` a newer version that a peer had stated
    by then, 0 if none had: the three tell why a request went by an old route. `quota` names the
    quota that applied to the call and the voter that made the final decision, if any.
    Units: `ms` counts from the call's arrival; `timeout_ms` and `target_ms` are the values at its
    start, and `tried_ms` is how long the caller had already been trying, derived from the time that
    it had left.
    `rank` is the urgency, 0 for the most urgent; `customer` is empty if the customer is not known.
    """

    service: str = ""
    route: str = ""
    status: int = 0
    ms: Milliseconds = 0.0
    timeout_ms: Milliseconds = 0.0
    target_ms: Milliseconds | None = None
    version: int = 0
    age_ms: Milliseconds | None = None
    attempts: tuple[AttemptFacts, ...] = ()
    tried_ms: Milliseconds = 0.0
    rank: int = 0
    customer: str = ""
    quota: str = ""
    newest: int = 0


class DispatchFacts(msgspec.Struct, frozen=True, omit_defaults=True, tag="dispatch"):
    """Hold the state of an owner node when it started an attempt, and how long the attempt took.

    `slow_factor` is the pace that the upstream last reported, `report_age_ms` the report's age.
    `limit` is how many of the `slots` attempts may use, 0 for all; `rank` and `customer` are those
    of the hand-over. `version` is the owner's configuration, `entry_version` that of the entry node
    when it sent the hand-over, 0 if both are the same.
    Units: milliseconds; `waited_ms` was spent in the queue, `ms` in the upstream.
    """

    route: str = ""
    waited_ms: Milliseconds = 0.0
    ms: Milliseconds = 0.0
    remaining_ms: Milliseconds = 0.0
    running: int = 0
    slots: int = 0
    slow_factor: float = 1.0
    report_age_ms: Milliseconds | None = None
    limit: int = 0
    rank: int = 0
    customer: str = ""
    version: int = 0
    entry_version: int = 0


class RefusalFacts(msgspec.Struct, frozen=True, omit_defaults=True, tag="refusal"):
    """Hold the state of an owner node when it refused an attempt as not run.

    `signature` is that of a suspect, as in UnansweredFacts; `limit`, `rank` and `customer` are as
    in DispatchFacts. `limit_per_s` is the rate limit that the upstream announced, None without one.
    Units: milliseconds; `remaining_ms` and `target_ms` are the times left when the attempt
    arrived, `waited_ms` was spent in the queue since then, None if the attempt did not wait.
    """

    route: str = ""
    remaining_ms: Milliseconds = 0.0
    target_ms: Milliseconds | None = None
    usual_ms: Milliseconds = 0.0
    running: int = 0
    waiting: int = 0
    slots: int = 0
    slow_factor: float = 1.0
    report_age_ms: Milliseconds | None = None
    signature: str = ""
    waited_ms: Milliseconds | None = None
    limit: int = 0
    rank: int = 0
    customer: str = ""
    limit_per_s: float | None = None


class UnansweredFacts(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one request that was running when its upstream ended.

    `signature` is equal for equivalent requests of the same caller. `request` is the id that the
    caller gave this request.
    """

    signature: str
    request: str = ""


class EndFacts(msgspec.Struct, frozen=True, omit_defaults=True, tag="end"):
    """Hold the requests that an upstream had not answered when its process ended by itself."""

    requests: tuple[UnansweredFacts, ...] = ()


Facts = CallFacts | DispatchFacts | RefusalFacts | EndFacts
