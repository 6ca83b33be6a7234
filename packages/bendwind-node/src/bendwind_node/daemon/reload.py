"""Read the settings file anew on SIGHUP and when it changes, and take over what may change."""

import os
from pathlib import Path

import msgspec
import trio

from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind
from bendwind_node.daemon.build import learn_places, list_voters
from bendwind_node.daemon.extension import LoadSettings
from bendwind_node.daemon.state import Daemon
from bendwind_node.early_signals import RELOAD_SIGNALS, is_reload_requested
from bendwind_node.settings import Settings

# A look at the file costs one system call; voters that changed are needed within seconds.
LOOK_EVERY: Seconds = 1.0


async def watch_settings(daemon: Daemon, file: Path, load: LoadSettings) -> None:
    """Take over changed settings until cancelled."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signal, daemon, file, load)
        nursery.start_soon(_watch_file, daemon, file, load)


async def _watch_signal(daemon: Daemon, file: Path, load: LoadSettings) -> None:
    with trio.open_signal_receiver(*RELOAD_SIGNALS) as signals:
        if is_reload_requested():
            # The file may have been read before it changed.
            reload_settings(daemon, file, load)
        async for _ in signals:
            reload_settings(daemon, file, load)


async def _watch_file(daemon: Daemon, file: Path, load: LoadSettings) -> None:
    known = _read_mark(file)
    while True:
        await trio.sleep(LOOK_EVERY)
        mark = _read_mark(file)
        if mark != known:
            known = mark
            reload_settings(daemon, file, load)


def _read_mark(file: Path) -> tuple[int, int, int] | None:
    try:
        status = os.stat(file)
    except OSError:
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino


def reload_settings(daemon: Daemon, file: Path, load: LoadSettings) -> None:
    """Read the file; a faulty one changes nothing and is recorded."""
    loaded = load(file)
    if loaded.is_error():
        daemon.recorder.record(EventKind.SETTINGS_REFUSED, detail=str(loaded.error))
        return
    _take_over(daemon, loaded.ok)


def _take_over(daemon: Daemon, changed: Settings) -> None:
    if changed.voters != daemon.settings.voters:
        _take_voters(daemon, changed)
    daemon.settings = msgspec.structs.replace(daemon.settings, voters=changed.voters)
    names = ",".join(voter.name for voter in changed.voters)
    daemon.recorder.record(EventKind.SETTINGS_RELOADED, detail=f"voters {names}")


def _take_voters(daemon: Daemon, changed: Settings) -> None:
    dispatcher = daemon.dispatcher
    places = list_voters(changed)
    learn_places(dispatcher.hub, places)
    dispatcher.membership.set_seeds(places)
    if dispatcher.control is not None:
        dispatcher.control.voter.replica.names = tuple(place.name for place in places)
