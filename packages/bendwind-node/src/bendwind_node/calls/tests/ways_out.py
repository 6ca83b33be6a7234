"""Say how each request that a node holds ends, whatever comes over it."""

import enum

import msgspec


class Held(enum.Enum):
    """Say where a node holds a request."""

    READING = "its body is being read"
    CONFIGURING = "waits for the configuration of its service"
    TOKEN = "waits for a token of its customer's quota"
    CLAIMING = "waits for the claim of its key; no upstream is chosen"
    ON_ITS_WAY = "on its way to an owner"
    QUEUED = "waits in the owner's queue"
    RUNNING = "runs at its upstream"
    ANSWERING = "its long answer is on the way to a caller that reads slowly"
    GIVEN_BACK = "refused by one upstream, on its way to another"


class Event(enum.Enum):
    """Say what comes over a request."""

    NODE_STOPS = "the node that it came to stops, and has time"
    OWNERS_STOP = "the nodes of the upstreams stop, and have time"
    GRACE_ENDS = "the node that it came to has no time left"
    ROUTE_LEAVES = "a configuration without its route"
    HOST_LEAVES = "a configuration without its host"
    SERVICE_LEAVES = "a configuration without its service"
    UPSTREAM_LEAVES = "the upstreams of its service leave"
    CUSTOMER_LEAVES = "its customer's key is withdrawn"
    LINK_CLOSES = "the links to the owners close"
    FAULT = "a fault in its task"
    HALF_CLOSE = "its caller ends its sending side"
    LEAVES = "its caller closes the connection"
    NEXT_IN = "the next request is in on its connection"
    NEXT_IN_AT_STOP = "the next request is in on its connection, and the node stops"


class Seen(enum.Enum):
    """Say what the caller sees of it."""

    ANSWERED = "200, whole"
    NOT_RUN = "503, not run"
    UNKNOWN = "502, unknown"
    CUT = "an answer that had begun breaks off"
    LEFT = "closed after the caller left"
    NOTHING = "closed without a byte"


class Pair(msgspec.Struct, frozen=True):
    """Hold what a request meets, and the one outcome that its caller sees."""

    held: Held
    event: Event
    seen: Seen


# What these events do is the same wherever the request is held.
_ALWAYS = {
    Event.NODE_STOPS: Seen.ANSWERED,
    Event.ROUTE_LEAVES: Seen.ANSWERED,
    Event.HOST_LEAVES: Seen.ANSWERED,
    Event.CUSTOMER_LEAVES: Seen.ANSWERED,
    Event.LEAVES: Seen.LEFT,
    Event.NEXT_IN: Seen.ANSWERED,
    Event.NEXT_IN_AT_STOP: Seen.ANSWERED,
}

# One letter for each state, in the order of `Held`.
_BY_STATE = {
    Event.OWNERS_STOP: "NNNNNAAAN",
    Event.GRACE_ENDS: "NNNUUUUCU",
    Event.SERVICE_LEAVES: "NNNNAAAAA",
    Event.UPSTREAM_LEAVES: "NNNNNNAAN",
    Event.LINK_CLOSES: "AAAAAAUCN",
    Event.FAULT: "NNNUUUUCU",
    # What runs under a claim goes on without its caller, and its answer is sent all the same.
    Event.HALF_CLOSE: "LLLALLLLL",
}
_LETTERS = {
    "A": Seen.ANSWERED,
    "N": Seen.NOT_RUN,
    "U": Seen.UNKNOWN,
    "C": Seen.CUT,
    "L": Seen.LEFT,
}


def _list_pairs() -> tuple[Pair, ...]:
    always = [Pair(held, event, seen) for event, seen in _ALWAYS.items() for held in Held]
    by_state = [
        Pair(held, event, _LETTERS[letter])
        for event, letters in _BY_STATE.items()
        for held, letter in zip(Held, letters, strict=True)
    ]
    return (*always, *by_state)


PAIRS = _list_pairs()
