import os
import signal
import subprocess
import sys
import unittest

# The process tells once it holds its signals, and then waits to be told to go on.
HOLDING = """
from bendwind_node.early_signals import capture_signals, is_reload_requested, is_stop_requested
capture_signals()
print("holds", flush=True)
input()
print(is_stop_requested(), is_reload_requested())
"""


class EarlySignalsTest(unittest.TestCase):
    def run_with(self, *numbers):
        process = subprocess.Popen(
            [sys.executable, "-c", HOLDING],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=dict(os.environ),
            text=True,
        )
        self.assertEqual(process.stdout.readline(), "holds\n")
        for number in numbers:
            process.send_signal(number)
        out, _ = process.communicate("\n", timeout=30)
        self.assertEqual(process.returncode, 0)
        return out.strip()

    def test_reload_that_is_asked_for_early_is_kept(self):
        # A reload asked for while a process started ended the process: nobody listened yet.
        self.assertEqual(self.run_with(signal.SIGHUP), "False True")

    def test_stop_that_is_asked_for_early_is_kept(self):
        self.assertEqual(self.run_with(signal.SIGTERM, signal.SIGINT), "True False")


if __name__ == "__main__":
    unittest.main()
