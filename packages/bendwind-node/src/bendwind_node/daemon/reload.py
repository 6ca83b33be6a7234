"""Reload the settings file on SIGHUP and when it changes; apply the reloadable settings."""

import os
from pathlib import Path

import msgspec
import trio

from bendwind_core.core import Seconds
from bendwind_core.timeline import EventKind
from bendwind_node.daemon.build import list_voters, update_addresses
from bendwind_node.daemon.extension import LoadSettings
from bendwind_node.daemon.state import Daemon
from bendwind_node.early_signals import RELOAD_SIGNALS, is_reload_requested
from bendwind_node.settings import Settings

# A check of the file costs one system call, and changed voters are needed within seconds.
FILE_CHECK_INTERVAL: Seconds = 1.0


async def watch_settings(daemon: Daemon, file: Path, load: LoadSettings) -> None:
    """Apply changed settings until cancelled."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_watch_signal, daemon, file, load)
        nursery.start_soon(_watch_file, daemon, file, load)


async def _watch_signal(daemon: Daemon, file: Path, load: LoadSettings) -> None:
    with trio.open_signal_receiver(*RELOAD_SIGNALS) as signals:
        if is_reload_requested():
            # The file may have been read before the change that the early signal reported.
            reload_settings(daemon, file, load)
        async for _ in signals:
            reload_settings(daemon, file, load)


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
    daemon.settings = msgspec.structs.replace(daemon.settings, voters=changed.voters)
    names = ",".join(voter.name for voter in changed.voters)
    daemon.recorder.record(EventKind.SETTINGS_RELOADED, detail=f"voters {names}")


def _apply_voters(daemon: Daemon, changed: Settings) -> None:
    dispatcher = daemon.dispatcher
    places = list_voters(changed)
    update_addresses(dispatcher.hub, places)
    dispatcher.membership.set_seeds(places)
    if dispatcher.control is not None:
        dispatcher.control.voter.replica.names = tuple(place.name for place in places)
