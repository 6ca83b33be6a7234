"""Write keys and certificates into a deployment's folder of keys."""

import os
import re
import tempfile
from pathlib import Path

from expression import Error, Ok, Result

from bendwind_cli.commands import KeyCommand, MakeAuthority, MakeInstanceKey, MakeOperatorKey
from bendwind_cli.keys.certificate import (
    KeyPair,
    make_authority,
    make_instance,
    make_operator,
    read_pair,
)
from bendwind_cli.outcome import ExitCode, Failure
from bendwind_core.core import read_whole_number

AUTHORITY = "authority"
_NAME = re.compile(r"^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$")
_MAX_DAYS = 36_500
_PRIVATE_MODE = 0o600
_PUBLIC_MODE = 0o644


def make_keys(command: KeyCommand) -> Result[str, Failure]:
    """Create the keys that a command requests.

    Errors: an invalid name or number, no authority, or a folder that cannot be written.
    """
    fault = _find_fault(command)
    if fault is not None:
        return Error(Failure(ExitCode.USAGE, fault))
    try:
        return _make(command, Path(command.folder))
    except OSError as error:
        line = f"{error.filename or command.folder}: {error.strerror or error}"
        return Error(Failure(ExitCode.REFUSED, line))


def _make(command: KeyCommand, folder: Path) -> Result[str, Failure]:
    days = read_whole_number(command.days, _MAX_DAYS) or 0
    match command:
        case MakeAuthority():
            return _write_authority(folder, days)
        case MakeInstanceKey(name=name, hosts=hosts):
            listed = tuple(host.strip() for host in hosts.split(",") if host.strip())
            pair = _read_authority(folder).map(
                lambda authority: make_instance(authority, name, listed, days)
            )
            return pair.map(lambda made: _write(folder, name, made))
        case MakeOperatorKey(name=name):
            pair = _read_authority(folder).map(
                lambda authority: make_operator(authority, name, days)
            )
            return pair.map(lambda made: _write(folder, f"operator-{name}", made))


def _find_fault(command: KeyCommand) -> str | None:
    if not read_whole_number(command.days, _MAX_DAYS):
        return f"days: expected 1 to {_MAX_DAYS}, got {command.days!r}"
    if isinstance(command, MakeAuthority):
        return None
    if not _NAME.match(command.name) or command.name == AUTHORITY:
        return f"name: expected 1 to 63 of a-z, 0-9, '.', '_', '-', got {command.name!r}"
    return None


def _write_authority(folder: Path, days: int) -> Result[str, Failure]:
    if (folder / f"{AUTHORITY}.key").exists():
        # A new authority would invalidate every key of the deployment.
        line = f"{folder / AUTHORITY}.key: exists; move it away first to start anew"
        return Error(Failure(ExitCode.REFUSED, line))
    folder.mkdir(mode=0o700, parents=True, exist_ok=True)
    return Ok(_write(folder, AUTHORITY, make_authority(days)))


def _read_authority(folder: Path) -> Result[KeyPair, Failure]:
    certificate, key = folder / f"{AUTHORITY}.pem", folder / f"{AUTHORITY}.key"
    if not certificate.exists() or not key.exists():
        line = f"{folder}: no authority there; run: bendwind keys authority --folder={folder}"
        return Error(Failure(ExitCode.REFUSED, line))
    try:
        return Ok(read_pair(certificate.read_bytes(), key.read_bytes()))
    except (ValueError, TypeError) as error:
        return Error(Failure(ExitCode.REFUSED, f"{certificate}: not usable: {error}"))


def _write(folder: Path, name: str, pair: KeyPair) -> str:
    # A process that reloads between the two writes detects that the files do not match and keeps
    # its current keys.
    _replace(folder / f"{name}.key", pair.key_pem(), _PRIVATE_MODE)
    _replace(folder / f"{name}.pem", pair.certificate_pem(), _PUBLIC_MODE)
    expiry = pair.certificate.not_valid_after_utc
    return f"wrote {folder / name}.pem and .key, valid until {expiry:%Y-%m-%d}"


def _replace(file: Path, data: bytes, mode: int) -> None:
    handle, temporary = tempfile.mkstemp(dir=file.parent)
    with os.fdopen(handle, "wb") as stream:
        stream.write(data)
    os.chmod(temporary, mode)
    os.replace(temporary, file)
