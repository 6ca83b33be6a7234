"""Describe what a deployment adds to a process: its headers, its servers, its settings file."""

from collections.abc import Awaitable, Callable
from pathlib import Path

import msgspec
import trio
from expression import Result

from bendwind_core.core import TomlError
from bendwind_node.calls.dialect import BENDWIND_DIALECT, Dialect
from bendwind_node.daemon.state import Daemon
from bendwind_node.settings import Settings

LoadSettings = Callable[[Path], Result[Settings, TomlError]]
Serve = Callable[[Daemon, trio.Nursery], Awaitable[Result[None, str]]]


class Extension(msgspec.Struct, frozen=True):
    """Hold what `run_daemon` needs beside the settings.

    `serve` opens further servers before the process counts as started. With `settings_file` the
    file is read anew, by `load`, on SIGHUP and when it changes.
    """

    dialect: Dialect = BENDWIND_DIALECT
    origin_service: str = ""
    serve: Serve | None = None
    settings_file: Path | None = None
    load: LoadSettings | None = None


NO_EXTENSION = Extension()
