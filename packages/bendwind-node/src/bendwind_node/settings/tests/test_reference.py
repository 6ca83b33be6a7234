import unittest
from pathlib import Path

from bendwind_node.settings import load_settings
from bendwind_node.settings.reference import render_reference

ROOT = Path(__file__).parents[6]


class TestReference(unittest.TestCase):
    def test_page_lists_every_key_of_the_types(self):
        self.assertEqual((ROOT / "docs/SETTINGS.md").read_text(), render_reference())

    def test_every_key_has_a_range_and_a_meaning(self):
        rows = [line for line in render_reference().splitlines() if line.startswith("| `")]
        self.assertGreater(len(rows), 30)
        for row in rows:
            key, _, default, limits, meaning = (cell.strip() for cell in row.split("|")[1:-1])
            self.assertTrue(key and default and limits and meaning, row)

    def test_example_settings_are_valid(self):
        files = sorted(ROOT.glob("examples/*/settings/*-[0-9].toml"))
        self.assertGreaterEqual(len(files), 8)
        for file in files:
            with self.subTest(file.name):
                found = load_settings(file)
                self.assertTrue(found.is_ok(), str(found.error) if found.is_error() else "")
                self.assertEqual(found.ok.instance.name, file.stem)


if __name__ == "__main__":
    unittest.main()
