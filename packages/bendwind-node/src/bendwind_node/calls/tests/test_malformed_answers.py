"""Check what callers receive when an upstream's bytes are no answer, on every path."""

import unittest

from bendwind_node.calls.tests.answer_paths import (
    Ending,
    Path,
    answer_bytes,
    check_health,
    exchange,
)

OK = b"HTTP/1.1 200 OK\r\n"
BODY = b"content-length: 2\r\n\r\nok"
CHUNKS = b"2\r\nok\r\n0\r\n\r\n"
BAD_GATEWAY = 502

# Bytes that are no answer: the caller gets 502, since its request may have run.
NO_ANSWERS = (
    *(b"HTTP/1.1 " + status + b" X\r\n" + BODY for status in (b"000", b"00", b"099", b"2000")),
    *(b"HTTP/1.1 " + status + b" X\r\n" + BODY for status in (b"600", b"999", b"20x", b"-20")),
    *(b"HTTP/" + version + b" 200 OK\r\n" + BODY for version in (b"9.9", b"2.0", b"0.9", b"1.10")),
    b"HTTP/9.9 103 X\r\n\r\n" + OK + BODY,
    b"HTTP/1.1 101 X\r\nupgrade: x\r\nconnection: upgrade\r\n\r\n" + OK + BODY,
    b"HTTP/1.1 100 X\r\n\r\n",
    b"ICY 200 OK\r\n" + BODY,
    b"\r\n" + OK + BODY,
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"\x00" * 70_000,
    b"",
    OK + b"content-length: 2\r\ncontent-length: 3\r\n\r\nok",
    OK + b"content-length: 2, 3\r\n\r\nok",
    OK + b"content-length: +2\r\n\r\nok",
    OK + b"content-length: -2\r\n\r\nok",
    OK + b"content-length: 2.0\r\n\r\nok",
    OK + b"content-length: \r\n\r\nok",
    OK + b"content-length: " + b"9" * 5000 + b"\r\n\r\nok",
    OK + b"content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNKS,
    OK + b"content-length: 9\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNKS,
    OK + b"content-length: 1\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNKS,
    OK + b"transfer-encoding: gzip\r\n\r\n" + CHUNKS,
    OK + b"transfer-encoding: chunked, chunked\r\n\r\n" + CHUNKS,
    OK + b"x:" + b" " * 60_000 + b"\x00\r\n" + BODY,
    OK + b"x:" + b" " * 60_000 + b"a\r\n" + BODY,
    OK + b"x:\r\n" * 15_000 + BODY,
    OK + b"x: a\x00b\r\n" + BODY,
    OK + b"x: a\rb\r\n" + BODY,
    OK + b"x: a\nb\r\n" + BODY,
    OK + b"x : a\r\n" + BODY,
    OK + b" x: a\r\n" + BODY,
    OK + b": a\r\n" + BODY,
    OK + b"x\xff: a\r\n" + BODY,
)
# Bodies that end too early or are malformed; the head says what follows.
CUT_BODIES = (
    OK + b"content-length: 3\r\n\r\nok",
    OK + b"content-length: 99999999999999999999\r\n\r\nok",
    OK + b"transfer-encoding: chunked\r\n\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx: a",
    OK + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nx : a\r\n\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n2\r\nok..0\r\n\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n-2\r\nok\r\n0\r\n\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n0x2\r\nok\r\n0\r\n\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n" + b"0" * 5000 + b"2\r\nok\r\n0\r\n\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n" + b"f" * 20 + b"\r\nok\r\n0\r\n\r\n",
    OK + b"transfer-encoding: chunked\r\n\r\n" + b"f" * 21 + b"\r\nok\r\n0\r\n\r\n",
)
# Answers that are allowed, with the body that the caller gets.
ANSWERS = (
    (b"HTTP/1.0 200 OK\r\n" + BODY, b"ok"),
    (b"HTTP/1.7 200 OK\r\n" + BODY, b"ok"),
    (b"HTTP/1.1 200\r\n" + BODY, b"ok"),
    (b"HTTP/1.1 103 X\r\nlink: a\r\n\r\n" * 3 + OK + BODY, b"ok"),
    (OK + b"content-length: 2\r\ncontent-length: 2\r\n\r\nok", b"ok"),
    (OK + b"content-length: 2, 2\r\n\r\nok", b"ok"),
    (OK + b"content-length: 02\r\n\r\nok", b"ok"),
    (OK + b"x: a\r\n folded\r\n" + BODY, b"ok"),
    (OK + b"x: \xff\xfe\r\n" + BODY, b"ok"),
    (OK + b"transfer-encoding: chunked\r\n\r\n2;x=y\r\nok\r\n0\r\nx: y\r\n\r\n", b"ok"),
    (OK + BODY + b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother", b"ok"),
)


def make_statuses():
    return [b"HTTP/1.1 %d X\r\n" % status + BODY for status in (299, 300, 399, 400, 451, 500, 599)]


class TestMalformedAnswers(unittest.TestCase):
    """Send one request on each path; the upstream answers with the bytes and closes."""

    def check_each(self, answers, check, endings=(Ending.CLOSE,)):
        for path in Path:
            for ending in endings:
                for answer in answers:
                    with self.subTest(path=path, ending=ending, answer=answer[:90]):
                        check(exchange(path, answer_bytes(answer, ending)), answer)

    def check_no_answer(self, received, answer):
        self.assertEqual((received.status, received.is_complete), (BAD_GATEWAY, True))
        self.assertIn(b"bendwind-outcome: unknown", received.raw)

    def check_cut(self, received, answer):
        if received.status != BAD_GATEWAY:
            self.assertFalse(received.is_complete, received)

    def test_bytes_that_are_no_answer_are_an_unknown_outcome(self):
        self.check_each(NO_ANSWERS, self.check_no_answer, (Ending.CLOSE, Ending.RESET))

    def test_malformed_or_cut_body_never_appears_complete(self):
        self.check_each(CUT_BODIES, self.check_cut, (Ending.CLOSE, Ending.RESET))

    def test_unusual_but_valid_answers_are_delivered(self):
        bodies = dict(ANSWERS)

        def check(received, answer):
            self.assertEqual((received.status, received.is_complete), (200, True))
            self.assertEqual(received.body, bodies[answer])

        self.check_each(bodies, check)

    def test_every_valid_status_is_delivered(self):
        def check(received, answer):
            self.assertEqual((received.status, received.body), (int(answer[9:12]), b"ok"))

        self.check_each(make_statuses(), check)

    def test_bytes_that_are_no_answer_say_nothing_about_the_health_of_an_upstream(self):
        for answer in NO_ANSWERS:
            for ending in (Ending.CLOSE, Ending.RESET):
                with self.subTest(ending=ending, answer=answer[:90]):
                    self.assertIsNone(check_health(answer_bytes(answer, ending)))


if __name__ == "__main__":
    unittest.main()
