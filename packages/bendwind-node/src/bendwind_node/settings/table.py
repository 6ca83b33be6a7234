"""Define what all tables of a settings file have in common."""

from typing import Annotated

import msgspec
from msgspec import Meta

Name = Annotated[
    str,
    Meta(
        pattern="^[a-z0-9]([a-z0-9._-]{0,61}[a-z0-9])?$",
        extra={"range": "1 to 63 of a-z, 0-9, `.`, `_`, `-`"},
    ),
]
Host = Annotated[
    str, Meta(min_length=1, max_length=255, extra={"range": "an IP number or host name"})
]
Port = Annotated[int, Meta(ge=0, le=65535, extra={"range": "0 to 65535; 0 picks a free port"})]
FixedPort = Annotated[int, Meta(ge=1, le=65535)]
File = Annotated[
    str, Meta(min_length=1, extra={"range": "a path, relative to the settings file's folder"})
]


def describe(text: str, unit: str = "") -> Meta:
    """Return the description and the unit of a key, for the page of settings."""
    return Meta(description=text, extra={"unit": unit})


class Table(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Hold one table of a settings file; unknown keys are refused."""
