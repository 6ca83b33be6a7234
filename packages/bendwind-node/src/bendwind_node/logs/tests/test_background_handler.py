import io
import logging
import threading
import unittest
from unittest import mock

from bendwind_node.logs.background_handler import RESERVED_ERROR_LINES, BackgroundHandler


class BlockedStream:
    """Block every write until it is released."""

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


def log(handler, text, level=logging.INFO):
    handler.emit(logging.LogRecord("x", level, "", 0, text, (), None))


class BackgroundHandlerTest(unittest.TestCase):
    def make_handler(self, stream, max_pending=3):
        handler = BackgroundHandler(stream, lambda count: f"left out {count}", max_pending)
        self.addCleanup(handler.close)
        return handler

    def test_lines_are_written_in_order(self):
        stream = io.StringIO()
        handler = self.make_handler(stream, 100)
        for number in range(50):
            log(handler, str(number))
        handler.close()
        self.assertEqual(stream.getvalue().split(), [str(number) for number in range(50)])

    def test_blocked_reader_does_not_block_logging_and_dropped_lines_are_reported(self):
        stream = BlockedStream()
        self.addCleanup(stream.released.set)
        handler = self.make_handler(stream)
        log(handler, "first")
        self.assertTrue(stream.entered.wait(10))
        for number in range(10):
            log(handler, str(number))
        self.assertEqual((len(handler.pending_lines), handler.total_dropped), (3, 7))
        stream.released.set()
        handler.close()
        self.assertEqual(stream.text.split("\n"), ["first", "0", "1", "2", "left out 7", ""])

    def test_error_finds_room_behind_other_lines_and_errors_are_bounded_too(self):
        stream = BlockedStream()
        self.addCleanup(stream.released.set)
        handler = self.make_handler(stream)
        log(handler, "first")
        self.assertTrue(stream.entered.wait(10))
        for number in range(10):
            log(handler, str(number))
        for number in range(2 * RESERVED_ERROR_LINES):
            log(handler, f"error {number}", logging.ERROR)
        self.assertEqual(len(handler.pending_lines), 3 + RESERVED_ERROR_LINES)
        stream.released.set()
        handler.close()
        self.assertIn("error 0", stream.text.split("\n"))

    def test_lines_that_a_dead_thread_left_are_written_at_the_end(self):
        class FailingOnceStream(io.StringIO):
            has_failed = False

            def write(self, text):
                if not self.has_failed:
                    self.has_failed = True
                    raise MemoryError
                return super().write(text)

        stream = FailingOnceStream()
        with mock.patch.object(threading, "excepthook"):
            handler = self.make_handler(stream)
            log(handler, "first")
            handler.thread.join(10)
        log(handler, "second")
        handler.close()
        self.assertEqual(stream.getvalue(), "second\n")

    def test_lines_are_counted_as_dropped_after_the_stream_is_closed(self):
        stream = io.StringIO()
        handler = self.make_handler(stream)
        stream.close()
        log(handler, "lost")
        handler.close()
        self.assertEqual(handler.total_dropped, 1)


if __name__ == "__main__":
    unittest.main()
