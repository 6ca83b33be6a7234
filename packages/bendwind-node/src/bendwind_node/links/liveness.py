"""Check whether links are alive, and wait until peers have received what was sent."""

import contextlib
from collections.abc import Iterable

import trio
from websockets.exceptions import ConnectionClosed

from bendwind_core.core import Seconds
from bendwind_node.links.link import BYTES_PER_MEGABIT, Link

CHECK_TIMEOUT: Seconds = 1.0
# A pong takes one round trip, which is milliseconds within a region.
PONG_TIMEOUT: Seconds = 0.3
# A pong waits behind the data that is being sent on the instance's network link, such as a large
# body or a configuration. The time that this many bytes take at `link_mbps` is added to
# `PONG_TIMEOUT`, so that a slow link is not closed during a caller's upload.
BACKLOG_BYTES = 200_000
# A process that stops waits at most this long for its peers to receive what it sent them.
FLUSH_TIMEOUT: Seconds = 0.25
FLUSH_POLL_INTERVAL: Seconds = 0.002


def find_next_check(links: Iterable[Link]) -> Seconds | None:
    """Return when the next link is due to be pinged, None if none is."""
    due_times = [link.check_due_at for link in links if link.check_due_at is not None]
    return min(due_times, default=None)


def find_pong_timeout(link_mbps: float) -> Seconds:
    """Return how long to wait for a pong over a network link of this rate."""
    return PONG_TIMEOUT + BACKLOG_BYTES / (link_mbps * BYTES_PER_MEGABIT)


async def check_link(link: Link, timeout: Seconds) -> None:
    """Ping a link and close it if no pong comes."""
    is_answered = False
    with trio.move_on_after(timeout):
        with contextlib.suppress(ConnectionClosed, trio.BrokenResourceError):
            pong = await link.ping()
            await pong.wait()
            is_answered = True
    if is_answered:
        link.record_reply()
    else:
        link.close("no pong")


async def flush_links(links: Iterable[Link]) -> None:
    """Wait briefly until the peers of links have received what the links accepted."""
    with trio.move_on_after(FLUSH_TIMEOUT):
        async with trio.open_nursery() as nursery:
            for link in links:
                nursery.start_soon(_flush, link)


async def _flush(link: Link) -> None:
    """Wait until the peer has received all that the link accepted, or the link is closed."""
    while link.is_open and link.unwritten_count:
        await trio.sleep(FLUSH_POLL_INTERVAL)
    # A connection that is closed while it holds unread data is reset, which loses what the peer has
    # not yet received. The pong arrives only after the peer has received all data before the ping.
    with contextlib.suppress(ConnectionClosed, trio.BrokenResourceError):
        pong = await link.ping()
        while link.is_open and not pong.is_set():
            await trio.sleep(FLUSH_POLL_INTERVAL)
