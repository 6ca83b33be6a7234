"""Define how a request ends for its caller, for each state of the request and each event."""

import enum

import msgspec


class RequestState(enum.Enum):
    """List the states in which a node can hold a request."""

    READING = "its body is being read"
    WAITING_FOR_CONFIGURATION = "waits for the configuration of its service"
    WAITING_FOR_TOKEN = "waits for a token of its customer's quota"
    CLAIMING = "waits for the claim of its key; no upstream is chosen yet"
    IN_TRANSIT = "is being sent to an owner"
    QUEUED = "waits in the owner's queue"
    RUNNING = "runs at its upstream"
    ANSWERING = "its long answer is being sent to a caller that reads slowly"
    RESENT = "was refused by one upstream and is being sent to another"


class Event(enum.Enum):
    """List the events that can happen while a node holds a request."""

    NODE_STOPS = "the node that received it stops, with time left"
    OWNERS_STOP = "the nodes of the upstreams stop, with time left"
    STOP_TIME_ENDS = "the time for the stop of the node that received it ends"
    ROUTE_REMOVED = "a new configuration lacks its route"
    HOST_REMOVED = "a new configuration lacks its host"
    SERVICE_REMOVED = "a new configuration lacks its service"
    UPSTREAMS_LEAVE = "the upstreams of its service leave"
    CUSTOMER_REMOVED = "its customer's key is withdrawn"
    LINK_CLOSES = "the links to the owners close"
    TASK_FAILS = "its task raises an exception"
    HALF_CLOSE = "its caller closes the sending side of the connection"
    CALLER_CLOSES = "its caller closes the connection"
    PIPELINED = "the next request arrives on its connection"
    PIPELINED_AT_STOP = "the next request arrives on its connection, and the node stops"


class CallerOutcome(enum.Enum):
    """List what the caller can receive."""

    ANSWERED = "200, complete"
    NOT_RUN = "503, not run"
    UNKNOWN = "502, unknown"
    CUT = "an answer that had begun is incomplete"
    CALLER_CLOSED = "closed after the caller closed its side"
    NOTHING = "closed without a byte of an answer"


class Case(msgspec.Struct, frozen=True):
    """Hold a state, an event in it, and the only outcome that the caller may see."""

    state: RequestState
    event: Event
    outcome: CallerOutcome


# The outcome of these events is the same in each state of the request.
_SAME_FOR_ALL_STATES = {
    Event.NODE_STOPS: CallerOutcome.ANSWERED,
    Event.ROUTE_REMOVED: CallerOutcome.ANSWERED,
    Event.HOST_REMOVED: CallerOutcome.ANSWERED,
    Event.CUSTOMER_REMOVED: CallerOutcome.ANSWERED,
    Event.CALLER_CLOSES: CallerOutcome.CALLER_CLOSED,
    Event.PIPELINED: CallerOutcome.ANSWERED,
    Event.PIPELINED_AT_STOP: CallerOutcome.ANSWERED,
}

# One letter per state, in the order of `RequestState`.
_BY_STATE = {
    Event.OWNERS_STOP: "NNNNNAAAN",
    Event.STOP_TIME_ENDS: "NNNUUUUCU",
    Event.SERVICE_REMOVED: "NNNNAAAAA",
    Event.UPSTREAMS_LEAVE: "NNNNNNAAN",
    Event.LINK_CLOSES: "AAAAAAUCN",
    Event.TASK_FAILS: "NNNUUUUCU",
    # A request with a claim continues without its caller, and its answer is sent nevertheless.
    Event.HALF_CLOSE: "LLLALLLLL",
}
_LETTERS = {
    "A": CallerOutcome.ANSWERED,
    "N": CallerOutcome.NOT_RUN,
    "U": CallerOutcome.UNKNOWN,
    "C": CallerOutcome.CUT,
    "L": CallerOutcome.CALLER_CLOSED,
}


def _list_cases() -> tuple[Case, ...]:
    always = [
        Case(state, event, outcome)
        for event, outcome in _SAME_FOR_ALL_STATES.items()
        for state in RequestState
    ]
    by_state = [
        Case(state, event, _LETTERS[letter])
        for event, letters in _BY_STATE.items()
        for state, letter in zip(RequestState, letters, strict=True)
    ]
    return (*always, *by_state)


CASES = _list_cases()
