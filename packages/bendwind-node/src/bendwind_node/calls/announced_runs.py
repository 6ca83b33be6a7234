"""Keep what upstreams announced here, to this process or to an earlier one, for the register."""

from collections.abc import Awaitable, Callable

import msgspec

from bendwind_core.runs import (
    RunKeeper,
    RunRecord,
    forget_run,
    has_left,
    is_heard,
    is_late,
    list_ready,
    list_unnamed,
    report_run,
)
from bendwind_core.world import UpstreamState
from bendwind_node.calls.owned_upstream import Announcement, find_order

MAX_UNLOADED = 8


async def _confirm_at_once(name: str) -> bool:
    return True


class AnnouncedRuns(msgspec.Struct, eq=False):
    """Hold the keeper of runs, and the announcements that wait until it is loaded.

    Nothing else shows which service an upstream belongs to, since its address may have been given
    to one of another service, nor that it has not left. `unloaded` holds the newest of each
    upstream. `wake` is called after the keeper changed. `wait_recorded` returns whether what is
    known of an upstream will outlive this process: until then no draining and no departure of it
    may be acknowledged.
    """

    keeper: RunKeeper
    wake: Callable[[], None] = lambda: None
    wait_recorded: Callable[[str], Awaitable[bool]] = _confirm_at_once
    unloaded: dict[str, Announcement] = msgspec.field(default_factory=dict)

    @property
    def is_loaded(self) -> bool:
        """Return whether it is known what was announced to earlier processes."""
        return self.keeper.is_loaded

    def is_late(self, announcement: Announcement) -> bool:
        """Return whether an announcement is older than what is known of its upstream."""
        return is_late(self.keeper, announcement.name, announcement.born_ms, announcement.sequence)

    def keep_unloaded(self, announcement: Announcement) -> bool:
        """Keep an announcement until it can be told whether it is late; return False if full."""
        kept = self.unloaded.get(announcement.name)
        if kept is None and len(self.unloaded) >= MAX_UNLOADED:
            return False
        if kept is None or find_order(kept) < find_order(announcement):
            self.unloaded[announcement.name] = announcement
        if announcement.state is UpstreamState.DRAINING:
            self.note(announcement, announcement.born_ms)
        return True

    def take_unloaded(self) -> tuple[Announcement, ...]:
        """Return the kept announcements and keep none any more."""
        unloaded = tuple(self.unloaded.values())
        self.unloaded.clear()
        return unloaded

    def note(self, announcement: Announcement, born_ms: int) -> None:
        """Have the state that an upstream announced recorded."""
        report_run(
            self.keeper,
            announcement.name,
            announcement.state,
            announcement.service,
            born_ms,
            announcement.sequence,
        )
        self.wake()

    def note_left(self, name: str, born_ms: int, *, is_unnamed: bool = False) -> None:
        """Have it recorded that a run gets nothing new for good; 0 stands for the newest run.

        `is_unnamed` says that its departure named no run, so that a later one may have left.
        """
        self.unloaded.pop(name, None)
        report_run(self.keeper, name, UpstreamState.GONE, born_ms=born_ms, is_unnamed=is_unnamed)
        self.wake()

    def has_left(self, name: str) -> bool:
        """Return whether the newest known run of an upstream has left."""
        return has_left(self.keeper, name)

    def find(self, name: str) -> RunRecord | None:
        """Return what is known of an upstream, None if nothing is."""
        return self.keeper.known.get(name)

    def find_born_ms(self, name: str) -> int:
        """Return the start of the newest known run of an upstream, 0 if none is known."""
        record = self.find(name)
        return 0 if record is None else record.born_ms

    def is_heard(self, name: str) -> bool:
        """Return whether anything but a departure is known of an upstream."""
        return is_heard(self.keeper, name)

    def list_unnamed(self) -> tuple[str, ...]:
        """Return the names of the upstreams whose last departure named no run."""
        return list_unnamed(self.keeper)

    def forget(self, name: str) -> None:
        """Forget a run that fell silent; what it was told as draining or gone still holds."""
        forget_run(self.keeper, name)

    def list_ready(self) -> tuple[RunRecord, ...]:
        """Return the runs that are known to serve."""
        return list_ready(self.keeper)
