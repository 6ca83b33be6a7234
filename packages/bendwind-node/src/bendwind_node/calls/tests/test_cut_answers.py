"""Cut answers at every byte: no cut one appears complete, on any path."""

import unittest

import trio

from bendwind_node.calls.tests.answer_paths import (
    MAX_SECONDS,
    Ending,
    Path,
    answer_bytes,
    check_health,
    open_path,
)

HEAD = b"HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nx-end: 1\r\n"
# Each framing of a body, with the body and what follows its head on the wire.
LENGTH = (b"content-length: 12\r\n\r\n", b"twelve bytes")
CHUNKS = (b"transfer-encoding: chunked\r\n\r\n", b"6\r\ntwelve\r\n6\r\n bytes\r\n0\r\nt: 1\r\n\r\n")
UNTIL_CLOSE = (b"\r\n", b"twelve bytes")
NO_BODY = (b"content-length: 0\r\n\r\n", b"")
INTERIM = b"HTTP/1.1 103 X\r\nlink: a\r\n\r\n"
BAD_GATEWAY = 502
CUTS = (Ending.CLOSE, Ending.RESET)


def exchange_each(path, answers, ending, **settings):
    """Return what the callers receive, each from an upstream that answers in other bytes."""
    received = []

    async def main():
        with trio.fail_after(MAX_SECONDS):
            for answer in answers:
                async with open_path(path, answer_bytes(answer, ending)) as served:
                    received.append(await served.call(**settings))

    trio.run(main)
    return received


def cut_at_each_byte(before, part):
    """Return what is left of `before + part` if it is cut before each byte of `part`."""
    return [before + part[:at] for at in range(len(part))]


class TestCutAnswers(unittest.TestCase):
    def check_each(self, answers, check):
        for path in Path:
            for ending in CUTS:
                received = exchange_each(path, answers, ending)
                for answer, got in zip(answers, received, strict=True):
                    with self.subTest(path=path, ending=ending, answer=answer):
                        check(got)

    def check_bad_gateway(self, received):
        self.assertEqual((received.status, received.is_complete), (BAD_GATEWAY, True))
        self.assertIn(b"bendwind-outcome: unknown", received.raw)

    def check_incomplete(self, received):
        if received.status != BAD_GATEWAY:
            self.assertEqual((received.status, received.is_complete), (200, False))

    def test_answer_cut_in_its_head_is_an_unknown_outcome(self):
        answers = cut_at_each_byte(b"", HEAD)
        for framing, _ in (NO_BODY, LENGTH, CHUNKS, UNTIL_CLOSE):
            answers += cut_at_each_byte(HEAD, framing)
        self.check_each(answers, self.check_bad_gateway)

    def test_answer_cut_around_an_interim_answer_is_an_unknown_outcome(self):
        answers = cut_at_each_byte(b"", INTERIM) + cut_at_each_byte(INTERIM, HEAD[:20])
        self.check_each(answers, self.check_bad_gateway)

    def test_answer_cut_in_its_body_is_incomplete(self):
        answers = []
        for framing, body in (LENGTH, CHUNKS):
            answers += cut_at_each_byte(HEAD + framing, body)
        self.check_each(answers, self.check_incomplete)

    def test_answer_that_ends_with_its_connection_is_complete_only_if_it_was_closed(self):
        whole = HEAD + UNTIL_CLOSE[0] + UNTIL_CLOSE[1]
        for path in Path:
            (closed,) = exchange_each(path, [whole], Ending.CLOSE)
            self.assertEqual((closed.is_complete, closed.body), (True, UNTIL_CLOSE[1]))
            (cut,) = exchange_each(path, [whole], Ending.RESET)
            self.check_incomplete(cut)

    def test_cut_answer_without_a_length_is_reset_for_a_caller_of_http_1_0(self):
        # HTTP/1.0 has no chunks: the end of the connection is the end of the answer.
        whole = HEAD + CHUNKS[0] + CHUNKS[1]
        for path in Path:
            (complete,) = exchange_each(path, [whole], Ending.CLOSE, version=b"1.0")
            self.assertEqual((complete.is_complete, complete.body), (True, b"twelve bytes"))
            (cut,) = exchange_each(path, [whole[:-20]], Ending.CLOSE, version=b"1.0")
            self.check_incomplete(cut)
            (cut,) = exchange_each(path, [HEAD + b"\r\ntwelve"], Ending.RESET, version=b"1.0")
            self.check_incomplete(cut)

    def test_health_answer_cut_in_its_head_is_no_answer(self):
        head = HEAD + b"me: u1\r\nload: 3,0,8,400\r\n" + NO_BODY[0]
        for ending in CUTS:
            for at in range(len(head)):
                with self.subTest(ending=ending, answer=head[:at]):
                    self.assertIsNone(check_health(answer_bytes(head[:at], ending)))
            self.assertEqual(check_health(answer_bytes(head, ending)).slots, 8)


if __name__ == "__main__":
    unittest.main()
