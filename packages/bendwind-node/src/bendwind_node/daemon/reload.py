"""Reload the settings file on SIGHUP and when it changes; apply the reloadable settings."""

import os
import signal
from collections.abc import Callable
from functools import partial
from pathlib import Path
from types import FrameType

import msgspec
import trio

from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind
from bendwind_node.daemon.build import list_voters
from bendwind_node.daemon.extension import LoadSettings
from bendwind_node.daemon.state import Daemon
from bendwind_node.daemon.view_effects import update_addresses
from bendwind_node.early_signals import RELOAD_SIGNALS, is_reload_requested
from bendwind_node.settings import Settings
from bendwind_node.settings.tables import CallersTable

# A check of the file costs one system call, and changed voters are needed within seconds.
FILE_CHECK_INTERVAL: Seconds = 1.0


async def watch_settings(daemon: Daemon, file: Path, load: LoadSettings) -> None:
    """Apply changed settings until cancelled."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signal, daemon, file, load)
        nursery.start_soon(_watch_file, daemon, file, load)


async def _watch_signal(daemon: Daemon, file: Path, load: LoadSettings) -> None:
    with trio.open_signal_receiver(*RELOAD_SIGNALS) as signals:
        request = _ReloadRequest(partial(reload_settings, daemon, file, load))
        # The file may have been read before the change that the early signal reported.
        request.is_due = is_reload_requested()
        request.catch_signals()
        daemon.dispatcher.entry.refresh_origin = request.fulfil
        request.fulfil()
        async for _ in signals:
            request.fulfil()


class _ReloadRequest:
    """Reload once for a signal: as soon as its task runs, or a request that begins needs it.

    A request may be read in the same turn of the event loop as a signal that came before it.
    """

    __slots__ = ("is_due", "reload")

    def __init__(self, reload: Callable[[], None]):
        self.reload = reload
        self.is_due = False

    def catch_signals(self) -> None:
        """Note the signals at once, and leave them to the open receiver then."""
        for number in RELOAD_SIGNALS:
            receive = signal.getsignal(number)
            signal.signal(number, partial(self._note, receive))

    def _note(
        self, receive: Callable[[int, FrameType | None], None], number: int, frame: FrameType | None
    ) -> None:
        self.is_due = True
        receive(number, frame)

    def fulfil(self) -> None:
        """Reload if a signal has come since the last time."""
        if self.is_due:
            self.is_due = False
            self.reload()


async def _watch_file(daemon: Daemon, file: Path, load: LoadSettings) -> None:
    known = _read_fingerprint(file)
    while True:
        await trio.sleep(FILE_CHECK_INTERVAL)
        fingerprint = _read_fingerprint(file)
        if fingerprint != known:
            known = fingerprint
            reload_settings(daemon, file, load)


def _read_fingerprint(file: Path) -> tuple[int, int, int] | None:
    try:
        status = os.stat(file)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def reload_settings(daemon: Daemon, file: Path, load: LoadSettings) -> None:
    """Read the file and apply it; an invalid file changes nothing, and the error is recorded."""
    loaded = load(file)
    if loaded.is_error():
        daemon.recorder.record(EventKind.SETTINGS_REFUSED, detail=str(loaded.error))
        return
    _apply_settings(daemon, loaded.ok)


def _apply_settings(daemon: Daemon, changed: Settings) -> None:
    if changed.voters != daemon.settings.voters:
        _apply_voters(daemon, changed)
    callers = _find_callers(daemon.settings, changed)
    if callers != daemon.settings.callers:
        # An upstream may have announced another service since; what the file names anew counts.
        daemon.dispatcher.entry.note_origin(callers.origin_service)
    daemon.settings = msgspec.structs.replace(
        daemon.settings, voters=changed.voters, callers=callers
    )
    names = ",".join(voter.name for voter in changed.voters)
    daemon.recorder.record(EventKind.SETTINGS_RELOADED, detail=f"voters {names}")


def _find_callers(current: Settings, changed: Settings) -> CallersTable | None:
    """Return the callers' table with the reloaded service; its other values need a restart."""
    if current.callers is None or changed.callers is None:
        return current.callers
    service = changed.callers.origin_service
    return msgspec.structs.replace(current.callers, origin_service=service)


def _apply_voters(daemon: Daemon, changed: Settings) -> None:
    dispatcher = daemon.dispatcher
    places = list_voters(changed)
    update_addresses(dispatcher.hub, places)
    dispatcher.membership.set_seeds(places)
    if dispatcher.control is not None:
        dispatcher.control.voter.replica.names = tuple(place.name for place in places)
