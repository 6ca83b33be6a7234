"""Say how severe each event is."""

import logging

from bendwind_core.timeline.catalogue import EventKind

# Of a call, its end at the entry node and what its owner nodes decided are logged; its other events
# are worth a log line only while a fault is looked for.
_OF_ONE_CALL = frozenset(
    {
        EventKind.CALL_ARRIVED,
        EventKind.ATTEMPT_SENT,
        EventKind.ATTEMPT_NOT_RUN,
        EventKind.ATTEMPT_ANSWERED,
        EventKind.LATE_MESSAGE_DROPPED,
        EventKind.DISPATCH_STARTED,
        EventKind.CLAIM_GRANTED,
        EventKind.CLAIM_NOT_GRANTED,
    }
)
_WARNINGS = frozenset(
    {
        EventKind.ATTEMPT_UNKNOWN,
        EventKind.CLAIM_LOSS_ACCEPTED,
        EventKind.LOG_LINES_LEFT_OUT,
        EventKind.METRICS_NOT_SERVED,
        EventKind.LEADER_LOST,
        EventKind.VOTER_REPLACED,
        EventKind.LOG_TAIL_CUT,
        EventKind.PLAN_OUTCOME_UNKNOWN,
        EventKind.REVISION_REFUSED,
        EventKind.REVISION_NOT_PUT,
        EventKind.EVACUATION_NOT_MARKED,
        EventKind.ANNOUNCEMENT_REFUSED,
        EventKind.UPSTREAM_ENDED,
        EventKind.NOTICE_MALFORMED,
        EventKind.REQUEST_QUARANTINED,
        EventKind.FRESHNESS_LOST,
        EventKind.MEMBER_LOST,
        EventKind.DIAL_FAILED,
        EventKind.FRAME_REFUSED,
        EventKind.SETTINGS_REFUSED,
        EventKind.OPERATOR_REFUSED,
        EventKind.KEYS_REFUSED,
        EventKind.PEER_REFUSED,
        EventKind.HANDSHAKE_REFUSED,
    }
)
_ERRORS = frozenset(
    {
        EventKind.CLAIM_GROUP_LOST,
        EventKind.FOREIGN_CLUSTER,
        EventKind.LOG_CORRUPT,
        EventKind.DISK_FAILED,
        EventKind.TASK_FAILED,
        EventKind.REQUEST_UNANSWERED,
    }
)
_LEVELS = (
    dict.fromkeys(EventKind, logging.INFO)
    | dict.fromkeys(_OF_ONE_CALL, logging.DEBUG)
    | dict.fromkeys(_WARNINGS, logging.WARNING)
    | dict.fromkeys(_ERRORS, logging.ERROR)
)


def find_level(kind: EventKind) -> int:
    """Return the logging level of an event.

    >>> find_level(EventKind.CALL_ARRIVED) == logging.DEBUG
    True
    """
    return _LEVELS[kind]
