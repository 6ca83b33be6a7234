"""Start, signal and end one child process."""

import os
import signal
import subprocess
from pathlib import Path

import trio

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
POLL_INTERVAL_S = 0.02
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1024
# Indexes of fields in /proc/PID/stat after the command: user time, system time, resident pages.
_USER, _SYSTEM, _RESIDENT = 11, 12, 21


class Process:
    """Manage one process, its command and its log file."""

    def __init__(self, name: str, command: list[str], log: Path):
        self.name = name
        self.command = command
        self.log = log
        self.popen: subprocess.Popen | None = None
        self.is_expected_down = False

    def start(self) -> None:
        """Start the process; its output is appended to its log."""
        self.is_expected_down = False
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(
                self.command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    @property
    def is_running(self) -> bool:
        """Return whether the process was started and has not ended."""
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.is_running:
            self.popen.send_signal(number)

    def kill(self) -> None:
        """Kill the process, even if it is stopped by a signal."""
        self.is_expected_down = True
        if self.is_running:
            self.popen.kill()
            self.popen.wait()

    async def stop(self, timeout_s: float = 30.0) -> int | None:
        """Send SIGTERM and return the exit code, or None if the process had to be killed."""
        self.is_expected_down = True
        self.signal(signal.SIGTERM)
        popen = self.popen
        with trio.move_on_after(timeout_s):
            while popen.poll() is None:
                await trio.sleep(POLL_INTERVAL_S)
            return popen.returncode
        popen.kill()
        popen.wait()
        return None

    async def start_again(self) -> None:
        """Start the process once it has ended, unless it is running and not told to end."""
        while self.is_running and self.is_expected_down:
            await trio.sleep(POLL_INTERVAL_S)
        if not self.is_running:
            self.start()

    def cpu_seconds(self) -> float:
        """Return the processor time used so far, in seconds."""
        fields = self._read_stat()
        return (int(fields[_USER]) + int(fields[_SYSTEM])) / CLOCK_TICKS

    def resident_kb(self) -> int:
        """Return the resident memory in kB."""
        return int(self._read_stat()[_RESIDENT]) * PAGE_KB

    def _read_stat(self) -> list[str]:
        text = Path(f"/proc/{self.popen.pid}/stat").read_text()
        return text.rpartition(")")[2].split()
