"""Count the requests that a server received and how each of them ended."""

import collections
import enum
from typing import Protocol

import msgspec

from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.calls.call_facts import find_request_id
from bendwind_node.calls.caller_exchange import CallerRequest
from bendwind_node.calls.dialect import BENDWIND_DIALECT, Dialect


class Ending(enum.StrEnum):
    """List how a request can end for its caller."""

    ANSWERED = "answered"
    # The upstream's answer was incomplete, so the answer to the caller was aborted as well.
    CUT = "cut"
    LEFT = "left"
    UNANSWERED = "unanswered"


class ExchangeProgress(Protocol):
    """Define the fields in which an exchange records its progress."""

    is_answered: bool
    is_gone: bool
    is_aborted: bool
    is_answer_begun: bool


class RequestAccount(msgspec.Struct, eq=False):
    """Hold how many requests one server received and how they ended.

    A request counts as received once its head is complete. One that ends unanswered is recorded as
    an event: its caller got neither a complete answer nor a refusal, and did not close its
    connection before.
    """

    address: str = ""
    recorder: Recorder | None = None
    dialect: Dialect = BENDWIND_DIALECT
    received: int = 0
    ended: collections.Counter[Ending] = msgspec.field(default_factory=collections.Counter)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that have not ended."""
        return self.received - self.ended.total()

    def record_received(self) -> None:
        """Count a request that was received."""
        self.received += 1

    def record_ended(self, request: CallerRequest, ending: Ending) -> None:
        """Count how a request ended; record it as an event if it is unanswered."""
        self.ended[ending] += 1
        if ending is Ending.UNANSWERED and self.recorder is not None:
            self.recorder.record(
                EventKind.REQUEST_UNANSWERED,
                detail=f"{self.address}: {request.method} {request.path}",
                request=find_request_id(request.headers, self.dialect),
            )

    def describe(self) -> str:
        """Return the counts as one line of text."""
        ended = " ".join(f"{ending}={self.ended[ending]}" for ending in Ending)
        return f"{self.address}: taken={self.received} {ended}"


def find_ending(exchange: ExchangeProgress) -> Ending:
    """Return how a request ended for its caller, from the fields of its exchange."""
    if exchange.is_answered:
        return Ending.ANSWERED
    if exchange.is_gone:
        return Ending.LEFT
    is_cut = exchange.is_answer_begun and exchange.is_aborted
    return Ending.CUT if is_cut else Ending.UNANSWERED
