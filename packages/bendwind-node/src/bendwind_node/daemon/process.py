"""Run a process from its start to its end, and report how it ended."""

import contextlib
import os
import sys

import trio

from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.clock import SteadyClock
from bendwind_node.daemon.build import create_recorder
from bendwind_node.daemon.extension import Extension
from bendwind_node.daemon.run import run_daemon
from bendwind_node.daemon.run_marker import RunMarker, create_run_marker
from bendwind_node.failure import bound, describe_end
from bendwind_node.logs import close_logging, configure_logging
from bendwind_node.settings import Settings

EXIT_DONE = 0
EXIT_CANNOT_START = 1
# Source: sysexits.h, EX_SOFTWARE.
EXIT_FAILED = 70
# Made while there is memory for it, for an end without any.
_LAST_RESORT = b"bendwindd: a fault ended the process and could not be logged\n"
_STANDARD_ERROR = 2


def run_process(settings: Settings, extension: Extension) -> int:
    """Run a process until its end and return its exit status."""
    configure_logging(settings)
    recorder = create_recorder(settings)
    marker = create_run_marker(None if settings.control is None else settings.control.data_folder)
    try:
        ended = trio.run(run_daemon, settings, extension, recorder, marker, clock=SteadyClock())
    except BaseException as error:
        # Whatever ended the event loop was no planned stop, an interrupt or SystemExit included.
        _report_fault(error, recorder, marker)
        return EXIT_FAILED
    if ended.is_error():
        print(f"bendwindd: {ended.error}", file=sys.stderr)
        _report(recorder, marker, EventKind.START_FAILED, bound(str(ended.error)))
        return EXIT_CANNOT_START
    return EXIT_DONE


def _report_fault(error: BaseException, recorder: Recorder, marker: RunMarker) -> None:
    try:
        detail = describe_end(error, run_daemon.__name__)
    except BaseException as failed:
        detail = f"fault={type(error).__name__}, not described for {type(failed).__name__}"
    try:
        _report(recorder, marker, EventKind.PROCESS_FAILED, detail)
    except BaseException:
        with contextlib.suppress(OSError):
            os.write(_STANDARD_ERROR, _LAST_RESORT)


def _report(recorder: Recorder, marker: RunMarker, kind: EventKind, detail: str) -> None:
    recorder.record(kind, detail=detail)
    # The line comes first: the disk may be the fault.
    close_logging()
    fault = marker.end_failed(detail)
    if fault is not None:
        print(f"bendwindd: the end of this run could not be marked: {fault}", file=sys.stderr)
