"""Define the logging level of each event."""

import logging

from bendwind_core.timeline.catalogue import EventKind

# For a call, its end at the entry node and the decisions of its owner nodes are logged by default.
# Its other events are logged at debug level, since they only help to find a fault.
_DEBUG_KINDS = frozenset(
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
_WARNING_KINDS = frozenset(
    {
        EventKind.ATTEMPT_UNKNOWN,
        EventKind.CLAIM_LOSS_ACCEPTED,
        EventKind.LOG_LINES_LEFT_OUT,
        EventKind.METRICS_NOT_SERVED,
        EventKind.LEADER_LOST,
        EventKind.VOTER_REPLACED,
        EventKind.LOG_TAIL_CUT,
        EventKind.COMMAND_REFUSED,
        EventKind.PLAN_OUTCOME_UNKNOWN,
        EventKind.REVISION_REFUSED,
        EventKind.REVISION_NOT_PUT,
        EventKind.EVACUATION_NOT_MARKED,
        EventKind.ANNOUNCEMENT_REFUSED,
        EventKind.UPSTREAM_ENDED,
        EventKind.NOTICE_MALFORMED,
        EventKind.RUN_NOT_RECORDED,
        EventKind.REQUEST_QUARANTINED,
        EventKind.FRESHNESS_LOST,
        EventKind.CONFIGURATION_DIFFERS,
        EventKind.MEMBER_LOST,
        EventKind.DIAL_FAILED,
        EventKind.FRAME_REFUSED,
        EventKind.INBOX_FULL,
        EventKind.MESSAGE_NOT_SENT,
        EventKind.MESSAGE_REFUSED,
        EventKind.RUN_OVERTAKEN,
        EventKind.SETTINGS_REFUSED,
        EventKind.PREVIOUS_RUN_UNFINISHED,
        EventKind.INCARNATION_NOT_KEPT,
        EventKind.RUN_NOT_MARKED,
        EventKind.OPERATOR_REFUSED,
        EventKind.KEYS_REFUSED,
        EventKind.PEER_REFUSED,
        EventKind.HANDSHAKE_REFUSED,
    }
)
_ERROR_KINDS = frozenset(
    {
        EventKind.CLAIM_GROUP_LOST,
        EventKind.FOREIGN_CLUSTER,
        EventKind.LOG_CORRUPT,
        EventKind.DISK_FAILED,
        EventKind.TASK_FAILED,
        EventKind.PROCESS_FAILED,
        EventKind.START_FAILED,
        EventKind.PREVIOUS_RUN_FAILED,
        EventKind.REQUEST_UNANSWERED,
    }
)
_LEVELS = (
    dict.fromkeys(EventKind, logging.INFO)
    | dict.fromkeys(_DEBUG_KINDS, logging.DEBUG)
    | dict.fromkeys(_WARNING_KINDS, logging.WARNING)
    | dict.fromkeys(_ERROR_KINDS, logging.ERROR)
)


def find_level(kind: EventKind) -> int:
    """Return the logging level of an event.

    >>> find_level(EventKind.CALL_ARRIVED) == logging.DEBUG
    True
    """
    return _LEVELS[kind]
