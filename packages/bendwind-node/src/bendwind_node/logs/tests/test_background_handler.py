import io
import logging
import threading
import unittest

from bendwind_node.logs.background_handler import BackgroundHandler


class StuckStream:
    """Take nothing until it is released."""

    def __init__(self):
        self.released = threading.Event()
        self.entered = threading.Event()
        self.text = ""

    def write(self, text):
        self.entered.set()
        self.released.wait(10)
        self.text += text

    def flush(self):
        pass


def log(handler, text):
    handler.emit(logging.LogRecord("x", logging.INFO, "", 0, text, (), None))


class AsideHandlerTest(unittest.TestCase):
    def make(self, stream, max_pending=3):
        handler = BackgroundHandler(stream, lambda count: f"left out {count}", max_pending)
        self.addCleanup(handler.close)
        return handler

    def test_lines_are_written_in_order(self):
        stream = io.StringIO()
        handler = self.make(stream, 100)
        for number in range(50):
            log(handler, str(number))
        handler.close()
        self.assertEqual(stream.getvalue().split(), [str(number) for number in range(50)])

    def test_reader_that_stands_still_holds_nobody_up_and_what_is_left_out_is_told(self):
        stream = StuckStream()
        self.addCleanup(stream.released.set)
        handler = self.make(stream)
        log(handler, "first")
        self.assertTrue(stream.entered.wait(10))
        for number in range(10):
            log(handler, str(number))
        self.assertEqual((len(handler.pending_lines), handler.total_dropped), (3, 7))
        stream.released.set()
        handler.close()
        self.assertEqual(stream.text.split("\n"), ["first", "0", "1", "2", "left out 7", ""])

    def test_reader_that_is_gone_stops_nothing(self):
        stream = io.StringIO()
        handler = self.make(stream)
        stream.close()
        log(handler, "lost")
        handler.close()
        self.assertEqual(handler.total_dropped, 1)


if __name__ == "__main__":
    unittest.main()
