"""Measure the resident memory of a process that only imports modules."""

import re
import sys
import tempfile
from pathlib import Path

import trio

from bendwind_bench.capacity.real.fleet import describe_fleet
from bendwind_bench.capacity.real.processes import manage_processes, read_line
from bendwind_bench.deployment import Process, make_layout
from bendwind_bench.deployment.layout import write_settings

_SETTLE_S = 3.0
_LOADED_MODULE_LINE = re.compile(r"^import time:\s+\d+ \|\s+\d+ \|\s+(\S+)$", re.MULTILINE)
# Each measurement also imports the libraries of the previous ones.
_LIBRARIES = (
    ("bare_python_kb", "sys"),
    ("bare_trio_kb", "trio"),
    ("bare_codec_kb", "msgspec, cbor2, expression"),
    ("bare_links_kb", "websockets.trio.client, websockets.trio.server, h11"),
)
# The code ignores ImportError since importtime also prints names of modules that were not found.
_IMPORT_ARGUMENTS = """
import importlib, sys
for name in sys.argv[1:]:
    try:
        importlib.import_module(name)
    except ImportError:
        pass
"""


async def measure_imports() -> dict[str, float]:
    """Return the resident kB after importing some libraries, and all modules of a node."""
    result = {}
    modules = ""
    for name, added in _LIBRARIES:
        modules += f"import {added}\n"
        result[name] = await _measure_resident(modules)
    names = await _list_loaded_modules()
    result["bare_daemon_kb"] = await _measure_resident(_IMPORT_ARGUMENTS, *names)
    result["bare_daemon_modules"] = float(len(names))
    return result


async def _measure_resident(code: str, *arguments: str) -> float:
    wait = "import gc, time; gc.collect(); gc.freeze(); print(1, flush=True); time.sleep(60)"
    with manage_processes() as start:
        process = start(["-c", code + wait, *arguments])
        await read_line(process)
        return float(process.resident_kb())


async def _list_loaded_modules() -> list[str]:
    """Run a node that cannot reach a voter and return the modules that it loads."""
    with tempfile.TemporaryDirectory() as folder:
        layout = make_layout(describe_fleet(4), Path(folder))
        member = layout.members[-1]
        write_settings(layout, member)
        config = f"--config={Path(folder) / member.name}.toml"
        command = [sys.executable, "-X", "importtime", "-m", "bendwind_node.main", config]
        node = Process("node", command, Path(folder) / "node.log")
        node.start()
        try:
            await trio.sleep(_SETTLE_S)
        finally:
            node.kill()
        return _LOADED_MODULE_LINE.findall(node.log.read_text())
