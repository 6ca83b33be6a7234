"""Determine which servers to contact and with which credentials."""

import os
import re
import ssl
from pathlib import Path
from typing import Annotated

import msgspec
from expression import Error, Ok, Result

from bendwind_cli.commands import Target
from bendwind_cli.outcome import ExitCode, Failure
from bendwind_core.core import decode_toml

CONTROL_VARIABLE = "BENDWIND_CONTROL"
SETTINGS_VARIABLE = "BENDWIND_SETTINGS"
_ADDRESS = re.compile(r"^(?P<host>\[[0-9a-fA-F:]+\]|[^:\s/]+):(?P<port>\d{1,5})$")
_Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS.pattern)]


class ClientTls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Hold the files of the servers' authority and, optionally, of the operator's certificate."""

    authority: str
    certificate: str | None = None
    key: str | None = None


class ClientSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Hold the client's settings; `instances` maps instance names to operators' addresses."""

    control: tuple[_Address, ...] = ()
    instances: dict[str, _Address] = {}
    token_file: str | None = None
    tls: ClientTls | None = None
    timeout_s: Annotated[float, msgspec.Meta(gt=0, le=600)] = 10.0


def find_settings(target: Target) -> Result[ClientSettings, Failure]:
    """Combine the settings file, the environment and the command line.

    The addresses of the command line override those of the settings file; those of the environment
    are used only if neither names any.

    Errors: an invalid file, an invalid address, or no server address at all.
    """
    file = target.settings or os.environ.get(SETTINGS_VARIABLE, "")
    base = _read_file(file) if file else Ok(ClientSettings())
    return base.bind(lambda settings: _override(settings, target))


def make_ssl_context(settings: ClientSettings) -> ssl.SSLContext | None:
    """Create the TLS context of the settings, or return None for plain HTTP.

    Errors: OSError for an unreadable file, ssl.SSLError for one that holds no key.
    """
    if settings.tls is None:
        return None
    context = ssl.create_default_context(cafile=settings.tls.authority)
    if settings.tls.certificate is not None:
        context.load_cert_chain(settings.tls.certificate, settings.tls.key)
    return context


def _override(settings: ClientSettings, target: Target) -> Result[ClientSettings, Failure]:
    listed = target.control
    if not listed and not settings.control:
        listed = os.environ.get(CONTROL_VARIABLE, "")
    if not listed:
        return _require_control(settings)
    addresses = tuple(part.strip() for part in listed.split(","))
    bad = next((address for address in addresses if not _is_address(address)), None)
    if bad is not None:
        return Error(Failure(ExitCode.USAGE, f"expected HOST:PORT, got {bad!r}"))
    return Ok(msgspec.structs.replace(settings, control=addresses))


def _require_control(settings: ClientSettings) -> Result[ClientSettings, Failure]:
    if settings.control:
        return Ok(settings)
    line = f"no server named: give --control, --settings, or set {CONTROL_VARIABLE}"
    return Error(Failure(ExitCode.USAGE, line))


def _is_address(text: str) -> bool:
    found = _ADDRESS.match(text)
    return found is not None and 0 < int(found["port"]) <= 65535


def _read_file(file: str) -> Result[ClientSettings, Failure]:
    try:
        data = Path(file).read_bytes()
    except OSError as error:
        return Error(Failure(ExitCode.USAGE, f"{file}: {error.strerror or error}"))
    decoded = decode_toml(data, file, ClientSettings)
    resolved = decoded.map(lambda settings: _resolve(settings, Path(file).parent))
    return resolved.map_error(lambda error: Failure(ExitCode.BAD_TOML, str(error)))


def _resolve(settings: ClientSettings, folder: Path) -> ClientSettings:
    token_file = _join(folder, settings.token_file)
    tls = settings.tls
    if tls is not None:
        tls = ClientTls(
            str(folder / tls.authority), _join(folder, tls.certificate), _join(folder, tls.key)
        )
    return msgspec.structs.replace(settings, token_file=token_file, tls=tls)


def _join(folder: Path, file: str | None) -> str | None:
    return None if file is None else str(folder / file)
