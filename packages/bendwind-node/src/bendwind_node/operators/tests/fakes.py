"""Provide fakes of the control log and the members for tests of the operators' API."""

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


class CommandOutcome(enum.Enum):
    """Choose what happens to the next proposed command."""

    APPLIED = enum.auto()
    NOT_LEADER = enum.auto()
    NOT_ACCEPTED = enum.auto()
    ANSWER_LOST = enum.auto()
    DELAYED = enum.auto()


@dataclass
class FakeLog:
    """Hold a log, its delayed commands, and the outcome of the next command."""

    entries: list[bytes] = field(default_factory=list)
    delayed: list[bytes] = field(default_factory=list)
    next_outcome: CommandOutcome = CommandOutcome.APPLIED


@dataclass
class FakeClient:
    """Imitate a voter of the log."""

    log: FakeLog
    state: ControlState = field(default_factory=ControlState)
    current_replacement: ReplacementStatus | None = None

    def catch_up(self) -> object:
        result = None
        for index in range(self.state.applied + 1, len(self.log.entries) + 1):
            result = self.state.apply(index, self.log.entries[index - 1])
        return result

    async def propose(self, command: bytes):
        command_outcome, self.log.next_outcome = self.log.next_outcome, CommandOutcome.APPLIED
        match command_outcome:
            case CommandOutcome.NOT_LEADER:
                return Error(NotLeader("b", "http://127.0.0.1:9202"))
            case CommandOutcome.NOT_ACCEPTED:
                return Error(NoQuorum())
            case CommandOutcome.DELAYED:
                self.log.delayed.append(command)
                return Error(OutcomeUnknown())
        self.log.entries.append(command)
        if command_outcome is CommandOutcome.ANSWER_LOST:
            return Error(OutcomeUnknown())
        return Ok(self.catch_up())

    async def barrier(self):
        command_outcome, self.log.next_outcome = self.log.next_outcome, CommandOutcome.APPLIED
        if command_outcome is not CommandOutcome.APPLIED:
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
        return self.current_replacement


class FakeSource:
    """Imitate the source of process and member status."""

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


async def send_request(app: OperatorsApp, method: str, path: str, body: str = "", **query):
    headers = {"idempotency-key": key} if (key := query.pop("key", "")) else {}
    parts = tuple(path.strip("/").split("/"))
    response = await app.answer(Request(method, parts, query, headers, body.encode()))
    return response.status, msgspec.json.decode(response.body)
