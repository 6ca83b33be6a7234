"""Check the rules that involve several keys of a settings file."""

import ipaddress
from collections.abc import Iterator

import msgspec

from bendwind_node.settings.tables import Settings

# A lease must not expire when one renewal is lost.
MIN_HEARTBEATS_PER_LEASE = 2


class Finding(msgspec.Struct, frozen=True):
    """Name an invalid key and describe its expected value."""

    key: str
    expected: str


def find_conflict(settings: Settings) -> Finding | None:
    """Return the first rule between keys that the settings break, or None."""
    return next(_find_conflicts(settings), None)


def is_loopback(host: str) -> bool:
    """Return whether an address is reachable from the same machine only.

    >>> is_loopback("127.0.0.1"), is_loopback("10.0.0.1")
    (True, False)
    """
    if host == "localhost":
        return True
    try:
        return ipaddress.ip_address(host).is_loopback
    except ValueError:
        return False


def _find_conflicts(settings: Settings) -> Iterator[Finding]:
    yield from _check_voters(settings)
    yield from _check_peers(settings)
    yield from _check_operators(settings)
    if settings.lease.lease_ms < MIN_HEARTBEATS_PER_LEASE * settings.lease.heartbeat_ms:
        yield Finding("lease.lease_ms", "at least two times lease.heartbeat_ms")


def _check_voters(settings: Settings) -> Iterator[Finding]:
    names = [voter.name for voter in settings.voters]
    if len(set(names)) != len(names):
        yield Finding("voters", "each name once")
    addresses = [(voter.host, voter.port) for voter in settings.voters]
    if len(set(addresses)) != len(addresses):
        yield Finding("voters", "each address once")
    if settings.control is None:
        return
    own = [voter for voter in settings.voters if voter.name == settings.instance.name]
    if not own and settings.control.open_to:
        return
    if not own:
        yield Finding("control", f"no such table, or {settings.instance.name!r} among [[voters]]")
    elif settings.peers.port not in (0, own[0].port):
        yield Finding("peers.port", f"{own[0].port}, as in this instance's [[voters]] entry")


def _check_peers(settings: Settings) -> Iterator[Finding]:
    is_open = not is_loopback(settings.peers.host) and not settings.peers.is_network_trusted
    if settings.peers.insecure and is_open:
        expected = "false, unless peers.host is a loopback address"
        yield Finding("peers.insecure", expected)
    if settings.peers.insecure and settings.tls is not None:
        yield Finding("peers.insecure", "false, since there is a [tls] table")
    if not settings.peers.insecure and settings.tls is None:
        yield Finding("tls", "a table with authority, certificate and key")


def _check_operators(settings: Settings) -> Iterator[Finding]:
    operators = settings.operators
    if operators is None:
        return
    has_credentials = operators.token_file is not None or operators.client_authority is not None
    if operators.insecure and not is_loopback(operators.host):
        yield Finding("operators.insecure", "false, unless operators.host is a loopback address")
    if operators.insecure and has_credentials:
        yield Finding("operators.insecure", "false, since credentials are configured")
    if not operators.insecure and not has_credentials:
        yield Finding("operators.token_file", "a file, or operators.client_authority")
    if operators.client_authority is not None and settings.tls is None:
        yield Finding("operators.client_authority", "absent, unless there is a [tls] table")
    if operators.token_file and settings.tls is None and not is_loopback(operators.host):
        yield Finding("operators.host", "a loopback address, since tokens need a [tls] table")
