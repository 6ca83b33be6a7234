"""Have the voters record what a node learns of runs of upstreams, and load it at the start."""

from collections.abc import Callable

import trio

from bendwind_core.core import Record, Seconds
from bendwind_core.runs import (
    RunKeeper,
    RunsAnswer,
    RunsRecorded,
    find_next_due,
    handle_recorded,
    handle_runs,
    is_recorded,
    is_refused,
    send_due,
)
from bendwind_core.timeline import EventKind, Recorder

Send = Callable[[str, Record], object]

# Senders give up an announcement that is not acknowledged within a second, and send it again.
RECORD_TIMEOUT: Seconds = 0.8
# Of a name, in an event.
MAX_NAME_CHARACTERS = 64
# The shortest interval between two sends, while no voter is known or a link is full.
_MIN_INTERVAL: Seconds = 0.02


class NodeRunTask:
    """Own a node's keeper of runs; `handle_loaded` is called once the log's records are known."""

    __slots__ = (
        "_has_news",
        "_refused",
        "_settled",
        "handle_loaded",
        "keeper",
        "list_voters",
        "recorder",
        "send",
    )

    def __init__(
        self,
        keeper: RunKeeper,
        list_voters: Callable[[], tuple[str, ...]],
        send: Send,
        recorder: Recorder,
        handle_loaded: Callable[[], None],
    ):
        self.keeper = keeper
        self.list_voters = list_voters
        self.send = send
        self.recorder = recorder
        self.handle_loaded = handle_loaded
        self._has_news = trio.Event()
        self._refused: set[str] = set()
        self._settled = trio.Event()

    async def run(self) -> None:
        """Query and report until cancelled."""
        while True:
            self._has_news = trio.Event()
            now = trio.current_time()
            self._send_due(now)
            wake_at = max(find_next_due(self.keeper, now), now + _MIN_INTERVAL)
            with trio.move_on_at(wake_at):
                await self._has_news.wait()

    def _send_due(self, now: Seconds) -> None:
        voters = self.list_voters()
        if not voters:
            return
        for effect in send_due(self.keeper, now):
            self.send(voters[effect.position % len(voters)], effect.message)

    def wake(self) -> None:
        """Send what has been noted since the last send."""
        self._record_refusals()
        self._has_news.set()

    def _record_refusals(self) -> None:
        for name in self.keeper.refused:
            if name not in self._refused:
                detail = f"report of upstream {ascii(name[:MAX_NAME_CHARACTERS])}"
                self.recorder.record(EventKind.COMMAND_REFUSED, detail=detail)
        self._refused = set(self.keeper.refused)

    def receive(self, sender: str, message: Record) -> None:
        """Handle a message of a voter."""
        match message:
            case RunsRecorded():
                handle_recorded(self.keeper, message)
                self._record_refusals()
            case RunsAnswer():
                self._load(message)
        self._settled.set()
        self._settled = trio.Event()

    def _load(self, answer: RunsAnswer) -> None:
        was_loaded = self.keeper.is_loaded
        handle_runs(self.keeper, answer)
        if was_loaded or not self.keeper.is_loaded:
            return
        listed = ", ".join(
            f"{run.name} {run.service} {run.state}" for run in self.keeper.known.values()
        )
        self.recorder.record(EventKind.RUNS_LOADED, detail=listed)
        self.handle_loaded()
        self.wake()

    async def wait_recorded(self, name: str) -> bool:
        """Wait until the log holds what is known of an upstream; return whether it does in time."""
        self.wake()
        with trio.move_on_after(RECORD_TIMEOUT):
            while not is_recorded(self.keeper, name):
                await self._settled.wait()
            if not is_refused(self.keeper, name):
                return True
        self.recorder.record(EventKind.RUN_NOT_RECORDED, upstream=name)
        return False

    async def wait_loaded(self) -> None:
        """Wait until the log's records are known."""
        while not self.keeper.is_loaded:
            await self._settled.wait()
