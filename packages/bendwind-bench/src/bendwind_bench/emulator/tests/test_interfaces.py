import ast
import graphlib
import unittest
from pathlib import Path

FOLDER = Path(__file__).parents[1]
PACKAGE = "bendwind_bench.emulator."


def list_imports(file):
    tree = ast.parse(file.read_text())
    names = [node.module or "" for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]
    return {name.removeprefix(PACKAGE) for name in names if name.startswith(PACKAGE)}


class ImportsTest(unittest.TestCase):
    def test_imports_have_no_cycles_including_type_imports(self):
        files = [file for file in FOLDER.glob("*.py") if file.stem != "__init__"]
        graph = {file.stem: list_imports(file) for file in files}
        self.assertIn("interfaces", graph["faults"])
        list(graphlib.TopologicalSorter(graph).static_order())


if __name__ == "__main__":
    unittest.main()
