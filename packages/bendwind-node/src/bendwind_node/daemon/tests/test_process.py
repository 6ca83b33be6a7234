import contextlib
import io
import json
import logging
import unittest
from unittest import mock

import trio

from bendwind_node.daemon import process
from bendwind_node.daemon.extension import NO_EXTENSION
from bendwind_node.settings import parse_settings
from bendwind_node.settings.tests.test_load import PLAIN


class ProcessTest(unittest.TestCase):
    def run_failing(self, error, **patches):
        """Run a process whose event loop raises; return its exit status and its log lines."""
        settings = parse_settings(PLAIN.encode(), "a.toml").ok
        root = logging.getLogger()
        self.addCleanup(setattr, root, "handlers", root.handlers[:])
        with contextlib.ExitStack() as stack:
            out = stack.enter_context(contextlib.redirect_stdout(io.StringIO()))
            stack.enter_context(mock.patch.object(trio, "run", side_effect=error))
            for name, failure in patches.items():
                stack.enter_context(mock.patch.object(process, name, side_effect=failure))
            status = process.run_process(settings, NO_EXTENSION)
        return status, [json.loads(line) for line in out.getvalue().splitlines()]

    def test_fault_is_reported_on_one_line(self):
        status, (line,) = self.run_failing(OverflowError("too large"))
        self.assertEqual(status, process.EXIT_FAILED)
        self.assertEqual((line["name"], line["level"]), ("PROCESS_FAILED", "error"))
        self.assertIn("task=run_daemon fault=OverflowError: too large", line["detail"])

    def test_fault_that_cannot_be_described_is_still_named(self):
        status, (line,) = self.run_failing(OverflowError("too large"), describe_end=MemoryError)
        self.assertEqual(status, process.EXIT_FAILED)
        self.assertIn("OverflowError", line["detail"])

    def test_fault_that_cannot_be_logged_keeps_its_exit_status(self):
        with mock.patch.object(process.os, "write") as write:
            status, lines = self.run_failing(MemoryError(), _report=MemoryError)
        self.assertEqual((status, lines), (process.EXIT_FAILED, []))
        write.assert_called_once()


if __name__ == "__main__":
    unittest.main()
