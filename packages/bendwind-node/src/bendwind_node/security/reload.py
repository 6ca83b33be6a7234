"""Take renewed keys into use while the process runs."""

import trio

from bendwind_core.core import Seconds
from bendwind_node.security.keys import Keys

CHECK_PERIOD_S = 5.0


async def watch_keys(keys: Keys, period_s: Seconds = CHECK_PERIOD_S) -> None:
    """Look for renewed key files for as long as the process runs."""
    while True:
        await trio.sleep(period_s)
        keys.reload()
