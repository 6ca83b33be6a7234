import json
import subprocess
import sys
import unittest

from bendwind_node.deferred_imports import DEFERRED

LOAD = """
import json, sys
from bendwind_node.deferred_imports import defer_imports
defer_imports()
import bendwind_node.daemon
lazy = [name for name, module in sys.modules.items() if type(module).__name__ == "_LazyModule"]
import statistics
print(json.dumps({"lazy": lazy, "mean": statistics.mean([1, 2, 3])}))
"""


class DeferredImportsTest(unittest.TestCase):
    def load_daemon(self):
        command = [sys.executable, "-c", LOAD]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        return json.loads(done.stdout)

    def test_loading_the_daemon_does_not_load_deferred_modules(self):
        lazy = set(self.load_daemon()["lazy"])
        self.assertLessEqual(lazy, DEFERRED)
        self.assertGreaterEqual(lazy, {"expression.collections", "importlib.metadata"})

    def test_deferred_module_works_when_it_is_used(self):
        self.assertEqual(self.load_daemon()["mean"], 2)


if __name__ == "__main__":
    unittest.main()
