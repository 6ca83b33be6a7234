"""Defer loading of modules that libraries import but a process may never use.

A deferred module is loaded at its first use. Import this module before any other module of the
package: modules that are already loaded stay loaded.
"""

import importlib.util
import sys
from collections.abc import Sequence
from importlib.machinery import ModuleSpec, PathFinder, SourceFileLoader
from types import ModuleType

# Modules that trio, websockets, attrs, expression and msgspec import for features that no process
# of this package uses. Deferring them reduces the start from 383 to 349 ms of processor time (best
# of 15 loads of the program on the users' platform) and from 39.9 to 36.0 MB (peak of one load).
DEFERRED = frozenset(
    {
        "asyncio.format_helpers",
        "asyncio.sslproto",
        "asyncio.staggered",
        "asyncio.trsock",
        "attr.filters",
        "attrs.converters",
        "attrs.exceptions",
        "attrs.filters",
        "attrs.setters",
        "attrs.validators",
        "email.utils",
        "expression.collections",
        "expression.effect",
        "idna",
        "importlib.metadata",
        "locale",
        "msgspec.inspect",
        "msgspec.toml",
        "msgspec.yaml",
        "shutil",
        "statistics",
        "tempfile",
        "urllib.request",
    }
)


class DeferringFinder:
    """Find deferred modules such that they are loaded when one of their names is first used."""

    @staticmethod
    def find_spec(
        name: str, path: Sequence[str] | None = None, target: ModuleType | None = None
    ) -> ModuleSpec | None:
        """Return the spec of a deferred module, None for any other."""
        if name not in DEFERRED:
            return None
        spec = PathFinder.find_spec(name, path, target)
        if spec is None or not isinstance(spec.loader, SourceFileLoader):
            return None
        spec.loader = importlib.util.LazyLoader(spec.loader)
        return spec


def defer_imports() -> None:
    """Install the finder that loads deferred modules at their first use."""
    sys.meta_path.insert(0, DeferringFinder)
