"""Stand in for the control log and the members behind the operators' API."""

import enum
from dataclasses import dataclass, field

import msgspec
from expression import Error, Ok

from bendwind_core.plans import ControlState
from bendwind_core.timeline import Recorder
from bendwind_node.operators import (
    NoQuorum,
    NotLeader,
    OperatorAuthority,
    OperatorsApp,
    OutcomeUnknown,
    ProcessStatus,
    ReplacementStatus,
    Response,
    VoterStatus,
)
from bendwind_node.operators.http import Request

WALL_MS = 1_000


class Fate(enum.Enum):
    """Say what becomes of the next command that is proposed."""

    APPLIED = enum.auto()
    NOT_LEADER = enum.auto()
    NOT_ACCEPTED = enum.auto()
    ANSWER_LOST = enum.auto()
    DELAYED = enum.auto()


@dataclass
class FakeLog:
    """Hold one log, the command that is under way, and what comes of the next one."""

    entries: list[bytes] = field(default_factory=list)
    delayed: list[bytes] = field(default_factory=list)
    fate: Fate = Fate.APPLIED


@dataclass
class FakeClient:
    """Stand in for a voter of the log."""

    log: FakeLog
    state: ControlState = field(default_factory=ControlState)
    under_way: ReplacementStatus | None = None

    def catch_up(self) -> object:
        result = None
        for index in range(self.state.applied + 1, len(self.log.entries) + 1):
            result = self.state.apply(index, self.log.entries[index - 1])
        return result

    async def propose(self, command: bytes):
        fate, self.log.fate = self.log.fate, Fate.APPLIED
        match fate:
            case Fate.NOT_LEADER:
                return Error(NotLeader("b", "http://127.0.0.1:9202"))
            case Fate.NOT_ACCEPTED:
                return Error(NoQuorum())
            case Fate.DELAYED:
                self.log.delayed.append(command)
                return Error(OutcomeUnknown())
        self.log.entries.append(command)
        if fate is Fate.ANSWER_LOST:
            return Error(OutcomeUnknown())
        return Ok(self.catch_up())

    async def barrier(self):
        fate, self.log.fate = self.log.fate, Fate.APPLIED
        if fate is not Fate.APPLIED:
            return Error(NoQuorum())
        self.catch_up()
        return Ok(self.state.applied)

    def leader(self):
        return "a"

    def data_centres(self):
        return frozenset({"sala-norte", "sala-sur"})

    def voters(self):
        return [VoterStatus("a", "leader", self.state.applied)]

    def replacement(self):
        return self.under_way


class FakeSource:
    """Stand in for the members."""

    def process(self):
        return ProcessStatus("a", "sala-norte", 0)

    async def nodes(self):
        return []

    def upstreams(self):
        return []

    def notices(self):
        return []


def create_app(client: FakeClient | None, authority: OperatorAuthority) -> OperatorsApp:
    return OperatorsApp(
        client,
        FakeSource(),
        Recorder("a", lambda: WALL_MS, 100),
        authority,
        lambda: WALL_MS,
        lambda: None,
        lambda accept: Response(200, b"", "text/plain"),
    )


async def ask(app: OperatorsApp, method: str, path: str, body: str = "", **query):
    headers = {"idempotency-key": key} if (key := query.pop("key", "")) else {}
    parts = tuple(path.strip("/").split("/"))
    response = await app.answer(Request(method, parts, query, headers, body.encode()))
    return response.status, msgspec.json.decode(response.body)
