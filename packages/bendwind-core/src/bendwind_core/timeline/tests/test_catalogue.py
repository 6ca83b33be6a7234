import logging
import re
import unittest
from pathlib import Path

from bendwind_core.timeline import EventKind, find_level

ROOT = Path(__file__).parents[6]
ROW = re.compile(r"^\| (\d+) \| (\w+) \| (\w+) \| (.+?) \| (.*?) ?\|$", re.MULTILINE)
# These modules refer to events without recording them.
NAMING = {"catalogue.py", "levels.py", "explain.py"}


class TestCatalogue(unittest.TestCase):
    def test_page_and_code_list_the_same_events(self):
        rows = ROW.findall((ROOT / "docs/EVENTS.md").read_text())
        page = {(int(number), name, level) for number, name, level, _, _ in rows}
        code = {
            (int(kind), kind.name, logging.getLevelName(find_level(kind)).lower())
            for kind in EventKind
        }
        self.assertEqual(page, code)
        self.assertEqual(len(rows), len(page))

    def test_every_event_is_recorded_somewhere(self):
        files = [
            file
            for file in ROOT.glob("packages/*/src/**/*.py")
            if "tests" not in file.parts and file.name not in NAMING
        ]
        source = "\n".join(file.read_text() for file in files)
        named = set(re.findall(r"EventKind\.([A-Z][A-Z_]*)", source))
        self.assertEqual(named, set(EventKind.__members__))


if __name__ == "__main__":
    unittest.main()
