"""Count the requests that a server took against what became of them."""

import collections
import enum
from typing import Protocol

import msgspec

from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.calls.call_facts import find_request_id
from bendwind_node.calls.caller_exchange import CallerRequest
from bendwind_node.calls.dialect import BENDWIND_DIALECT, Dialect


class Ending(enum.StrEnum):
    """Say how a request ended for its caller."""

    ANSWERED = "answered"
    # The answer of an upstream that broke off is broken off as well.
    CUT = "cut"
    LEFT = "left"
    UNANSWERED = "unanswered"


class SeenExchange(Protocol):
    """Name what an exchange notes of how it went."""

    is_answered: bool
    is_gone: bool
    is_aborted: bool
    is_answer_begun: bool


class RequestAccount(msgspec.Struct, eq=False):
    """Hold how many requests one server took and how they ended.

    A request counts as taken from its whole head on. One that ends unanswered is recorded: its
    caller got neither a whole answer nor a refusal, and did not leave before.
    """

    address: str = ""
    recorder: Recorder | None = None
    dialect: Dialect = BENDWIND_DIALECT
    taken: int = 0
    ended: collections.Counter[Ending] = msgspec.field(default_factory=collections.Counter)

    @property
    def in_hand(self) -> int:
        """Count the requests that have not ended."""
        return self.taken - self.ended.total()

    def open(self) -> None:
        """Note that a request was taken."""
        self.taken += 1

    def close(self, request: CallerRequest, ending: Ending) -> None:
        """Note how a request ended."""
        self.ended[ending] += 1
        if ending is Ending.UNANSWERED and self.recorder is not None:
            self.recorder.record(
                EventKind.REQUEST_UNANSWERED,
                detail=f"{self.address}: {request.method} {request.path}",
                request=find_request_id(request.headers, self.dialect),
            )

    def describe(self) -> str:
        """Return the counts on one line."""
        ended = " ".join(f"{ending}={self.ended[ending]}" for ending in Ending)
        return f"{self.address}: taken={self.taken} {ended}"


def find_ending(exchange: SeenExchange) -> Ending:
    """Return how a request ended for its caller, by what its exchange saw."""
    if exchange.is_answered:
        return Ending.ANSWERED
    if exchange.is_gone:
        return Ending.LEFT
    is_cut = exchange.is_answer_begun and exchange.is_aborted
    return Ending.CUT if is_cut else Ending.UNANSWERED
