"""Define what a deployment adds to a process: headers, servers and a settings file."""

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
    """Hold the options of `run_daemon` besides the settings.

    `serve` opens additional servers before the process counts as started. If `settings_file` is
    set, `load` reads the file again on SIGHUP and when the file changes.
    """

    dialect: Dialect = BENDWIND_DIALECT
    serve: Serve | None = None
    settings_file: Path | None = None
    load: LoadSettings | None = None


NO_EXTENSION = Extension()
