"""Draw answers of an upstream from valid and invalid pieces and compare what callers receive."""

import unittest

import trio
from hypothesis import given
from hypothesis import strategies as st

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.timeline import EventKind
from bendwind_node.calls.tests.answer_paths import (
    MAX_SECONDS,
    Ending,
    Path,
    make_request,
    open_path,
    parse_answer,
    read_whole_request,
)
from bendwind_node.calls.tests.scripted_server import reset

# An upstream that neither sends nor closes is given up at the deadline.
KEEP_TIMEOUT_MS = 60
OWN = b"bendwind-outcome:"

STATUS_LINES = st.sampled_from(
    (
        *([b"HTTP/1.1 200 OK\r\n"] * 4),
        b"HTTP/1.0 200 OK\r\n",
        b"HTTP/1.1 204 X\r\n",
        b"HTTP/1.1 304 X\r\n",
        b"HTTP/1.1 500 X\r\n",
        b"HTTP/1.1 600 X\r\n",
        b"HTTP/1.1 000 X\r\n",
        b"HTTP/1.1 101 X\r\n",
        b"HTTP/1.1 103 X\r\n\r\nHTTP/1.1 200 OK\r\n",
        b"HTTP/9.9 200 OK\r\n",
        b"\r\n",
        b"",
    )
)
HEADERS = st.sampled_from(
    (
        b"content-length: 5\r\n",
        b"content-length: 5\r\n",
        b"content-length: 0\r\n",
        b"content-length: +5\r\n",
        b"content-length: 99999999999999999999\r\n",
        b"content-length: " + b"9" * 5000 + b"\r\n",
        b"transfer-encoding: chunked\r\n",
        b"transfer-encoding: chunked\r\n",
        b"transfer-encoding: gzip\r\n",
        b"connection: close\r\n",
        b"connection: keep-alive, content-length\r\n",
        b"x: a\r\n folded\r\n",
        b"x: \x00\r\n",
        b"x: a\rb\r\n",
        b"x: \xff\xfe\r\n",
        b"x:" + b" " * 400 + b"a\r\n",
        b"bendwind-shed: not-run\r\n",
        b"bendwind-outcome: not-run\r\n",
        b"bendwind-rate-limit: " + b"9" * 5000 + b"\r\n",
        b"y: z\r\n" * 3000,
        b"\n",
    )
)
BODIES = st.sampled_from(
    (
        b"hello",
        b"5\r\nhello\r\n",
        b"1\r\nh\r\n" * 50,
        b"0\r\n\r\n",
        b"0\r\nx: a\r\n\r\n",
        b"5;x=y\r\nhello\r\n",
        b"-5\r\nhello\r\n",
        b"fffffffffffffffffffff\r\n",
        b"5\r\nhello",
        b"\r\n",
        b" " * 5000,
        b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother",
        b"\x00" * 70_000,
    )
)


@st.composite
def draw_answers(draw):
    """Draw the bytes of an answer, most of them with a complete head, some of them cut."""
    head = draw(STATUS_LINES) + b"".join(draw(st.lists(HEADERS, max_size=4)))
    raw = head + b"\r\n" + b"".join(draw(st.lists(BODIES, max_size=4)))
    cut = draw(st.one_of(st.none(), st.integers(0, len(raw))))
    return raw[:cut]


def refer(method, raw, ending):
    """Return what h11 makes of bytes, None if they are no complete and valid answer."""
    request = method + b" /x HTTP/1.1\r\n"
    answer = parse_answer(request, raw, is_reset=ending is not Ending.CLOSE)
    return answer if answer.is_complete and answer.status < 600 else None


class TestFuzzAnswers(unittest.TestCase):
    @given(
        draw_answers(),
        st.sampled_from(tuple(Path)),
        st.sampled_from(tuple(Ending)),
        st.integers(1, 70_000),
        st.sampled_from((b"1.1", b"1.1", b"1.0")),
    )
    def test_complete_answers_are_whole_answers_of_the_upstream(
        self, raw, path, ending, size, version
    ):
        async def handler(stream, number):
            while await read_whole_request(stream):
                for at in range(0, len(raw), max(size, len(raw) // 8)):
                    await stream.send_all(raw[at : at + max(size, len(raw) // 8)])
                if ending is Ending.CLOSE:
                    await stream.aclose()
                    return
                if ending is Ending.RESET:
                    reset(stream)
                    return

        async def main():
            with trio.fail_after(MAX_SECONDS):
                async with open_path(path, handler) as served:
                    timeout_ms = KEEP_TIMEOUT_MS if ending is Ending.KEEP else 5000
                    received.append(await served.call(timeout_ms=timeout_ms, version=version))
                    kinds = {event.kind for event in served.cluster.owner.recorder.events}
                    self.assertNotIn(EventKind.TASK_FAILED, kinds)

        received = []
        trio.run(main)
        self.check(received[0], refer(make_request(path).split(b" ")[0], raw, ending))

    def check(self, received, expected):
        head = received.raw.partition(b"\r\n\r\n")[0]
        if OWN in head:
            self.assertTrue(received.is_complete)
            self.assertIn(received.status, (502, 503, 504))
        elif received.is_complete:
            self.assertIsNotNone(expected, received)
            self.assertEqual((received.status, received.body), (expected.status, expected.body))

    def test_reference_knows_a_cut_answer(self):
        raw = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nhell"
        self.assertIsNone(refer(b"GET", raw, Ending.CLOSE))
        self.assertEqual(refer(b"GET", raw + b"o", Ending.CLOSE).body, b"hello")


if __name__ == "__main__":
    unittest.main()
