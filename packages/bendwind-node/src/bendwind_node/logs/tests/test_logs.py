import contextlib
import io
import json
import logging
import unittest

from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.logs import configure_logging
from bendwind_node.settings import parse_settings
from bendwind_node.settings.tests.test_load import PLAIN


class TestLogs(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logging.basicConfig, force=True, level=logging.WARNING)
        self.addCleanup(logging.getLogger("bendwind").setLevel, logging.NOTSET)
        self.recorder = Recorder("b", lambda: 1500, 10)

    def start_logging(self, extra: str = "") -> io.StringIO:
        stream = io.StringIO()
        configure_logging(parse_settings((PLAIN + extra).encode(), "f").ok, stream)
        return stream

    def read_log(self, stream: io.StringIO) -> str:
        """Return the log after all lines are written."""
        logging.getLogger().handlers[0].close()
        return stream.getvalue()

    def test_logs_go_to_standard_output(self):
        # Guards against logs on standard error, which the users' log collectors do not read.
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            configure_logging(parse_settings(PLAIN.encode(), "f").ok)
        self.recorder.record(EventKind.PROCESS_STARTED)
        self.assertIn("PROCESS_STARTED", self.read_log(out))

    def test_an_event_is_one_json_line_with_number_name_and_time(self):
        stream = self.start_logging()
        self.recorder.record(EventKind.PROCESS_STARTED, detail='a "b"\nc')
        line = {
            "level": "info",
            "instance": "b",
            "physical_ms": 1500,
            "name": "PROCESS_STARTED",
            "number": 801,
            "detail": 'a "b"\nc',
        }
        text = self.read_log(stream)
        self.assertEqual(json.loads(text), line)
        self.assertEqual(text.count("\n"), 1)

    def test_events_of_calls_need_the_debug_level(self):
        stream = self.start_logging()
        self.recorder.record(EventKind.CALL_ARRIVED)
        self.assertEqual(self.read_log(stream), "")
        stream = self.start_logging('[logging]\nlevel = "debug"\nformat = "text"\n')
        self.recorder.record(EventKind.CALL_ARRIVED, call="c1", detail="x\ny")
        line = "DEBUG 1970-01-01T00:00:01.500Z+1 b 101 CALL_ARRIVED call=c1 detail=x\\ny\n"
        self.assertEqual(self.read_log(stream), line)

    def test_warning_of_a_library_is_logged_with_its_name_and_traceback(self):
        stream = self.start_logging()
        try:
            raise ValueError("odd")
        except ValueError:
            logging.getLogger("some.library").warning("failed", exc_info=True)
        logging.getLogger("some.library").info("chatter")
        line = json.loads(self.read_log(stream))
        self.assertEqual((line["name"], line["instance"]), ("some.library", "sala-norte-1"))
        self.assertIn("ValueError: odd", line["detail"])


if __name__ == "__main__":
    unittest.main()
