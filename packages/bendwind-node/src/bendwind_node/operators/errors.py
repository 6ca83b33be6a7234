"""Convert errors to error responses of the operators' API."""

import enum

import msgspec
from msgspec import UNSET, UnsetType

from bendwind_core.core import TomlError
from bendwind_core.plans import (
    CommandFault,
    CustomerFault,
    EvictedPlan,
    GroupRefused,
    RequestReused,
    TooManyMarks,
    TooManyPlans,
    UnknownPlan,
    VersionMoved,
)
from bendwind_node.operators.control_client import ControlError, NoQuorum, NotLeader, OutcomeUnknown
from bendwind_node.operators.http import Response, json_response


class ErrorKind(enum.StrEnum):
    """Identify the cause of an error response."""

    BAD_INTENT = "bad-intent"
    BAD_REQUEST = "bad-request"
    REFUSED = "refused"
    NOT_FOUND = "not-found"
    NOT_A_VOTER = "not-a-voter"
    UNKNOWN_PLAN = "unknown-plan"
    NO_LOST_CLAIMS = "no-lost-claims"
    GROUP_REFUSED = "group-refused"
    UNKNOWN_DATA_CENTRE = "unknown-data-centre"
    UNKNOWN_SUSPECT = "unknown-suspect"
    UNKNOWN_SERVICE = "unknown-service"
    METHOD_NOT_ALLOWED = "method-not-allowed"
    VERSION_MOVED = "version-moved"
    REQUEST_REUSED = "request-reused"
    FORGOTTEN_PLAN = "forgotten-plan"
    TOO_LARGE = "too-large"
    NOT_LEADER = "not-leader"
    TOO_MANY_PLANS = "too-many-plans"
    TOO_MANY_MARKS = "too-many-marks"
    NO_QUORUM = "no-quorum"
    OUTCOME_UNKNOWN = "outcome-unknown"


class ErrorBody(msgspec.Struct, frozen=True):
    """Hold the JSON body of an error; keys that do not apply are omitted."""

    error: ErrorKind
    detail: str = ""
    file: str | UnsetType = UNSET
    key: str | UnsetType = UNSET
    expected: str | UnsetType = UNSET
    version: int | UnsetType = UNSET
    plan: str | UnsetType = UNSET
    leader: str | None | UnsetType = UNSET
    leader_url: str | None | UnsetType = UNSET


CommandRefusal = (
    VersionMoved
    | CustomerFault
    | RequestReused
    | TooManyPlans
    | UnknownPlan
    | EvictedPlan
    | TooManyMarks
    | GroupRefused
)


def plain_error(status: int, kind: ErrorKind, detail: str = "") -> Response:
    """Return an error response without optional keys."""
    return json_response(status, ErrorBody(kind, detail))


def describe_intent_error(error: TomlError) -> ErrorBody:
    """Return the error body for an invalid intent or configuration."""
    return ErrorBody(
        ErrorKind.BAD_INTENT, str(error), file=error.file, key=error.key, expected=error.expected
    )


def control_error(error: ControlError) -> Response:
    """Return the error response for a command that the control log did not accept or confirm."""
    match error:
        case NotLeader(leader, url):
            body = ErrorBody(ErrorKind.NOT_LEADER, "ask the leader", leader=leader, leader_url=url)
            return json_response(421, body)
        case CommandFault(is_too_large=True):
            return plain_error(413, ErrorKind.TOO_LARGE, str(error))
        case CommandFault():
            return plain_error(400, ErrorKind.BAD_REQUEST, str(error))
        case NoQuorum(detail):
            return plain_error(503, ErrorKind.NO_QUORUM, detail or "nothing was accepted")
        case OutcomeUnknown(detail):
            text = detail or "the command may still take effect; send the request again"
            return plain_error(504, ErrorKind.OUTCOME_UNKNOWN, text)


def command_error(refusal: CommandRefusal) -> Response:
    """Return the error response for a command that the replicated state refused."""
    match refusal:
        case VersionMoved(version, plan):
            text = f"version {version} is in force"
            body = ErrorBody(ErrorKind.VERSION_MOVED, text, version=version, plan=plan)
            return json_response(409, body)
        case CustomerFault():
            return plain_error(400, ErrorKind.BAD_INTENT, f"customers: {refusal}")
        case RequestReused(plan):
            text = f"the idempotency key already created {plan} from another intent"
            return json_response(409, ErrorBody(ErrorKind.REQUEST_REUSED, text, plan=plan))
        case TooManyPlans(count):
            return plain_error(429, ErrorKind.TOO_MANY_PLANS, f"{count} plans are open")
        case TooManyMarks(count):
            return plain_error(429, ErrorKind.TOO_MANY_MARKS, f"{count} drain marks are set")
        case UnknownPlan(plan):
            return plain_error(404, ErrorKind.UNKNOWN_PLAN, f"no plan {plan!r} was ever created")
        case GroupRefused(detail):
            return plain_error(409, ErrorKind.GROUP_REFUSED, detail)
        case EvictedPlan(plan):
            text = f"{plan} is older than the oldest outcome that is kept"
            return plain_error(410, ErrorKind.FORGOTTEN_PLAN, text)
