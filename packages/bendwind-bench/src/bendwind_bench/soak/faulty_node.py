"""Run bendwindd with the surroundings that a soak injects: links, wall clock and disk.

The file beside the settings, with the ending `.faults.json`, says which ports of peers are reached
through which proxies and by how much the wall clock is off. The disk is full or slow as long as the
file with the ending `.full-disk` or `.slow-disk` exists. What was not
synced is lost with the process, as with a machine. The program itself is the real one.
"""

import errno
import sys
import time
from pathlib import Path

from bendwind_node.early_signals import capture_signals

SYNC_DELAY_S = 0.2
NANOSECONDS_PER_SECOND = 1_000_000_000


def main() -> None:
    """Inject the faults and run bendwindd."""
    capture_signals()
    import msgspec

    settings = Path(sys.argv[1].removeprefix("--config="))
    faults = msgspec.json.decode(settings.with_suffix(".faults.json").read_bytes())
    _step_clock(faults["clock_step_s"])
    _redirect_links({int(port): proxy for port, proxy in faults["proxies"].items()})
    _replace_disk(settings)
    from bendwind_node.main import main as run_node

    run_node()


def _step_clock(step_s: float) -> None:
    read_ns = time.time_ns
    step_ns = int(step_s * NANOSECONDS_PER_SECOND)
    time.time_ns = lambda: read_ns() + step_ns
    time.time = lambda: (read_ns() + step_ns) / NANOSECONDS_PER_SECOND


def _redirect_links(proxies: dict[int, int]) -> None:
    import trio

    connect = trio.open_tcp_stream

    async def connect_by_proxy(host, port, **options):
        return await connect(host, proxies.get(port, port), **options)

    trio.open_tcp_stream = connect_by_proxy


def _replace_disk(settings: Path) -> None:
    from bendwind_node.storage import files
    from bendwind_node.storage.files import DiskFiles

    full, slow = settings.with_suffix(".full-disk"), settings.with_suffix(".slow-disk")

    class FaultyFiles(DiskFiles):
        """Keep data in memory until it is synced."""

        __slots__ = ("unsynced",)

        def __init__(self, folder: Path, lock: int):
            super().__init__(folder, lock)
            self.unsynced: dict[str, bytes] = {}

        def append(self, name: str, data: bytes) -> None:
            if full.exists():
                raise OSError(errno.ENOSPC, "no space left by the schedule")
            self._find_or_open(name)
            self.unsynced[name] = self.unsynced.get(name, b"") + data

        def read(self, name: str) -> bytes:
            return super().read(name) + self.unsynced.get(name, b"")

        def sync(self, name: str) -> None:
            if slow.exists():
                time.sleep(SYNC_DELAY_S)
            self._write_unsynced(name)
            super().sync(name)

        def replace(self, old: str, new: str) -> None:
            self._write_unsynced(old)
            self.unsynced.pop(new, None)
            super().replace(old, new)

        def remove(self, name: str) -> None:
            self.unsynced.pop(name, None)
            super().remove(name)

        def close(self) -> None:
            for name in list(self.unsynced):
                self._write_unsynced(name)
            super().close()

        def _write_unsynced(self, name: str) -> None:
            data = self.unsynced.pop(name, b"")
            if data:
                super().append(name, data)

    files.DiskFiles = FaultyFiles


if __name__ == "__main__":
    main()
