"""See from a caller's side by which content of the configuration a node goes."""

import contextlib
from dataclasses import dataclass

import trio

from bendwind_bench.http import HttpBrokenError, create_pool
from bendwind_bench.operators import read_version_in_force
from bendwind_bench.soak.system import SERVICES, name_mark
from bendwind_core.core import Milliseconds, Seconds

KEY_MISSING = "key-missing"
OK = 200
TIMEOUT_S = 1.0


@dataclass(frozen=True, slots=True)
class SeenContent:
    """Hold whether a node went by the content of the version that it reported."""

    at_s: Seconds
    node: str
    version: int
    is_own: bool


async def has_content(address: str, wait_ms: Milliseconds) -> bool | None:
    """Return whether a node goes by the intent with this wait, None if that is not to be seen.

    Only by that intent the path of its mark needs an idempotency key.
    """
    answer = None
    pool = create_pool(address)
    headers = [(b"Bendwind-Service", SERVICES[0].encode())]
    with trio.move_on_after(TIMEOUT_S), contextlib.suppress(OSError, HttpBrokenError):
        answer = await pool.request("POST", name_mark(wait_ms), headers)
    pool.close()
    if answer is None:
        return None
    if answer.find(b"bendwind-reason") == KEY_MISSING:
        return True
    return False if answer.status == OK else None


async def see_content(
    callers: str, operators: str, version: int, wait_ms: Milliseconds
) -> bool | None:
    """Return whether a node that reports a version goes by its content, None if it changes."""
    is_own = await has_content(callers, wait_ms)
    return is_own if await read_version_in_force(operators) == version else None
