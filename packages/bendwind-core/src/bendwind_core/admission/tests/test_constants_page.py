"""Compare docs/design/policy-constants.md with the modules that decide."""

import importlib
import pkgutil
import re
import unittest
from pathlib import Path

import bendwind_core.admission
import bendwind_core.attempts
import bendwind_core.routing
import bendwind_core.suspicion
from bendwind_core.limits import customer_work, retry_budget

PAGE = Path(__file__).parents[6] / "docs" / "design" / "policy-constants.md"
PACKAGES = (
    bendwind_core.admission,
    bendwind_core.attempts,
    bendwind_core.routing,
    bendwind_core.suspicion,
)
ROW = re.compile(r"^\| `(\w+)` \| ([\w/]+) \| ([0-9.]+)", re.MULTILINE)


def list_modules():
    for package in PACKAGES:
        for found in pkgutil.iter_modules(package.__path__):
            if not found.ispkg:
                yield importlib.import_module(f"{package.__name__}.{found.name}")
    yield retry_budget
    yield customer_work


def list_constants():
    for module in list_modules():
        source = Path(module.__file__).read_text()
        own = set(re.findall(r"^([A-Z][A-Z_]+)(?:: \w+)? = ", source, re.MULTILINE))
        place = module.__name__.removeprefix("bendwind_core.").replace(".", "/")
        for name in own:
            value = getattr(module, name)
            if isinstance(value, int | float) and not isinstance(value, bool):
                yield name, place, float(value)


class ConstantsPageTest(unittest.TestCase):
    def test_page_lists_each_constant_of_the_decisions_with_its_value(self):
        rows = {(name, place, float(value)) for name, place, value in ROW.findall(PAGE.read_text())}
        self.assertEqual(rows, set(list_constants()))


if __name__ == "__main__":
    unittest.main()
