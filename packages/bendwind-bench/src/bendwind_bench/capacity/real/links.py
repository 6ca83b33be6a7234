"""Measure the cost of links for both ends: resident memory, pings and time per message."""

from dataclasses import dataclass

import trio

from bendwind_bench.capacity.real.processes import manage_processes, measure_cpu, read_line
from bendwind_bench.capacity.slope import Slope, fit
from bendwind_bench.deployment import Process
from bendwind_node.links.hub import PING_INTERVAL_S

LINK_COUNTS = (100, 200, 400, 800)
RATES = (100, 200, 400, 800)
# Every link is pinged once in this interval.
IDLE_S = PING_INTERVAL_S
BYTES_PER_KB = 1024.0
US_PER_PERCENT = 10_000.0
US_PER_SECOND = 1e6


@dataclass(slots=True)
class _LinkPair:
    """Hold the two ends of a measurement and the time that each spent on opening the links.

    Units: microseconds of processor time; that of the dialer includes the start of its process.
    """

    server: Process
    dialer: Process
    server_open_us: float
    dialer_open_us: float


async def _open_pair(start, links: int, rate: float) -> _LinkPair:
    module = ["-m", "bendwind_bench.capacity.real.link_peer"]
    server = start([*module, "serve"])
    port = await read_line(server)
    before = server.cpu_seconds()
    dialer = start([*module, "dial", port, str(links), str(rate)])
    await read_line(dialer)
    server_us = (server.cpu_seconds() - before) * US_PER_SECOND
    return _LinkPair(server, dialer, server_us, dialer.cpu_seconds() * US_PER_SECOND)


async def measure_links() -> dict[str, Slope]:
    """Measure idle links by number and messages by rate; all pairs run concurrently."""
    with manage_processes() as start:
        idle = [await _open_pair(start, count, 0) for count in LINK_COUNTS]
        busy = [await _open_pair(start, 1, rate) for rate in RATES]
        await trio.sleep(1.0)
        pairs = [*idle, *busy]
        servers = [pair.server for pair in pairs]
        dialers = [pair.dialer for pair in pairs]
        shares = await measure_cpu([*servers, *dialers], IDLE_S)
        server_kb = [pair.server.resident_kb() for pair in idle]
        dialer_kb = [pair.dialer.resident_kb() for pair in idle]
    server_shares, dialer_shares = shares[: len(pairs)], shares[len(pairs) :]
    split = len(LINK_COUNTS)
    return {
        "link_accepted_bytes": _fit_memory("Resident memory of accepted links", server_kb),
        "link_dialed_bytes": _fit_memory("Resident memory of dialed links", dialer_kb),
        "link_accepted_us": _fit_time("Accepted links without messages", server_shares[:split]),
        "link_dialed_us": _fit_time("Dialed links without messages", dialer_shares[:split]),
        "link_accept_us": _fit_opening("Accept a link", [pair.server_open_us for pair in idle]),
        "link_dial_us": _fit_opening("Dial a link", [pair.dialer_open_us for pair in idle]),
        "exchange_server_us": _fit_rate("Receive a message and answer it", server_shares[split:]),
        "exchange_dialer_us": _fit_rate(
            "Send a message and take its answer", dialer_shares[split:]
        ),
    }


def _fit_memory(title: str, resident_kb: list[int]) -> Slope:
    values = [value * BYTES_PER_KB for value in resident_kb]
    return fit(title, "bytes", "link", zip(LINK_COUNTS, values, strict=True))


def _fit_time(title: str, shares: list[float]) -> Slope:
    values = [share * US_PER_PERCENT for share in shares]
    return fit(title, "us a second", "link", zip(LINK_COUNTS, values, strict=True))


def _fit_opening(title: str, spent_us: list[float]) -> Slope:
    return fit(title, "us", "link", zip(LINK_COUNTS, spent_us, strict=True))


def _fit_rate(title: str, shares: list[float]) -> Slope:
    values = [share * US_PER_PERCENT for share in shares]
    return fit(title, "us a second", "message a second", zip(RATES, values, strict=True))
