"""Describe what decided about one request, for its log line and the time line."""

import msgspec

from bendwind_core.core import Milliseconds


class AttemptFacts(msgspec.Struct, frozen=True, omit_defaults=True):
    """Hold one attempt of a call as its entry node saw it.

    `number` counts the attempts of the entry node's run; the owner's lines end their `call` in it.
    Units: `sent_ms` counts from the call's arrival, `ms` from the sending to the end; `wait_ms` is
    what its owner told of when it would take it, None where it told nothing.
    """

    upstream: str
    sent_ms: Milliseconds
    end: str = ""
    ms: Milliseconds | None = None
    wait_ms: Milliseconds | None = None
    number: int = 0


class CallFacts(msgspec.Struct, frozen=True, omit_defaults=True, tag="call"):
    """Hold a call's end: what was asked, what each attempt came to and what the caller got.

    `version` is that of the configuration in force, `age_ms` how long ago it was proven the newest.
    `quota` says whose quota the call came under and which voter had the last word, if any.
    Units: `ms` counts from the call's arrival; `timeout_ms` and `target_ms` are what it started
    with, and `tried_ms` is how long the caller had been trying before, by the time it had left.
    `rank` says how urgent it was, 0 the most, and `customer` whose it was, empty where not known.
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


class DispatchFacts(msgspec.Struct, frozen=True, omit_defaults=True, tag="dispatch"):
    """Hold what an owner node knew when it started an attempt, and how long that took.

    `slow_factor` is the upstream's last report of its pace, `report_age_ms` the report's age.
    `limit` is how many attempts may run of `slots`, 0 for all; `rank` and `customer` are those of
    the hand-over.
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


class RefusalFacts(msgspec.Struct, frozen=True, omit_defaults=True, tag="refusal"):
    """Hold what an owner node knew when it refused an attempt as not run.

    `signature` is that of a suspect, as in UnansweredFacts; `limit`, `rank` and `customer` are as
    in DispatchFacts. `limit_per_s` is the limit that the upstream has named, None without one.
    Units: milliseconds; `remaining_ms` and `target_ms` are what was left when the attempt came,
    `waited_ms` was spent in the queue since, None where it did not wait.
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
    """Hold one request that an upstream ended under.

    `signature` is equal for requests of one caller for the same thing, `request` the caller's own
    id of this one.
    """

    signature: str
    request: str = ""


class EndFacts(msgspec.Struct, frozen=True, omit_defaults=True, tag="end"):
    """Hold what an upstream had not answered when it ended by itself."""

    requests: tuple[UnansweredFacts, ...] = ()


Facts = CallFacts | DispatchFacts | RefusalFacts | EndFacts
