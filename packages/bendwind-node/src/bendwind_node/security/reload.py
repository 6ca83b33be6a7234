"""Reload renewed keys while the process runs."""

import trio

from bendwind_core.core import Seconds
from bendwind_node.security.keys import Keys

CHECK_INTERVAL_S = 5.0


async def watch_keys(keys: Keys, interval_s: Seconds = CHECK_INTERVAL_S) -> None:
    """Check the key files for changes periodically while the process runs."""
    while True:
        await trio.sleep(interval_s)
        keys.reload()
