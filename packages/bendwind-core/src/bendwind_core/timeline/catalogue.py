"""Number every event that a process logs and records."""

import enum


class EventKind(enum.IntEnum):
    """List the events; docs/EVENTS.md explains each.

    Ranges: 1xx entry node, 2xx owner node, 3xx claims, 4xx consensus and storage, 5xx plans,
    6xx membership, 7xx links, 8xx process, 9xx security.
    """

    CALL_ARRIVED = 101
    CALL_FINISHED = 102
    ATTEMPT_SENT = 103
    ATTEMPT_NOT_RUN = 104
    ATTEMPT_ANSWERED = 105
    ATTEMPT_UNKNOWN = 106
    DISPATCH_STARTED = 201
    DISPATCH_FINISHED = 202
    VOTER_CHANGED = 601
    CONFIGURATION_APPLIED = 602
    FRESHNESS_GAINED = 603
    FRESHNESS_LOST = 604
    UPSTREAM_ANNOUNCED = 605
    MEMBER_APPEARED = 606
    MEMBER_LOST = 607
    CLAIM_GRANTED = 301
    CLAIM_NOT_GRANTED = 302
    CLAIM_GROUP_CHANGED = 303
    CLAIM_GROUP_LOST = 304
    CLAIM_LOSS_ACCEPTED = 305
    PLAN_CREATED = 501
    PLAN_REFUSED = 502
    PLAN_CONFIRMED = 503
    PLAN_LOST = 504
    DRAIN_MARKED = 505
    PLAN_OUTCOME_UNKNOWN = 506
    LINK_OPENED = 701
    LINK_CLOSED = 702
    PROCESS_STARTED = 801
    PROCESS_STOPPING = 802
    PROCESS_STOPPED = 803
    OPERATOR_REFUSED = 901
