"""Compare docs/design/policy-constants.md with the constants of the policy modules."""

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
        for module_info in pkgutil.iter_modules(package.__path__):
            if not module_info.ispkg:
                yield importlib.import_module(f"{package.__name__}.{module_info.name}")
    yield retry_budget
    yield customer_work


def list_constants():
    for module in list_modules():
        source = Path(module.__file__).read_text()
        constant_names = set(re.findall(r"^([A-Z][A-Z_]+)(?:: \w+)? = ", source, re.MULTILINE))
        module_path = module.__name__.removeprefix("bendwind_core.").replace(".", "/")
        for name in constant_names:
            value = getattr(module, name)
            if isinstance(value, int | float) and not isinstance(value, bool):
                yield name, module_path, float(value)


class ConstantsPageTest(unittest.TestCase):
    def test_page_lists_each_policy_constant_with_its_value(self):
        rows = {
            (name, module_path, float(value))
            for name, module_path, value in ROW.findall(PAGE.read_text())
        }
        self.assertEqual(rows, set(list_constants()))


if __name__ == "__main__":
    unittest.main()
