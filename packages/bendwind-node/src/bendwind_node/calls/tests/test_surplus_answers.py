"""Check that bytes behind an answer are never taken for the answer to the next request."""

import unittest

import trio

from bendwind_node.calls.tests.answer_paths import (
    BODY_BYTES,
    MAX_SECONDS,
    Path,
    open_path,
    read_whole_request,
)
from bendwind_node.calls.tests.scripted_server import read_request

OTHER = b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nother"
OWN = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nown"
OK = b"HTTP/1.1 200 OK\r\n"
# A request's method, the answer that it gets and the bytes behind it.
SURPLUS = (
    (b"GET", OK + b"content-length: 2\r\n\r\nok", OTHER),
    (b"GET", OK + b"content-length: 2\r\n\r\nok", b"\r\n"),
    (b"GET", OK + b"content-length: 0\r\n\r\n", OTHER),
    (b"GET", OK + b"transfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", OTHER),
    (b"GET", b"HTTP/1.1 204 No Content\r\n\r\n", OTHER),
    (b"GET", b"HTTP/1.1 204 No Content\r\ncontent-length: 44\r\n\r\n", OTHER),
    (b"GET", b"HTTP/1.1 304 Not Modified\r\ncontent-length: 44\r\n\r\n", OTHER),
    (b"GET", b"HTTP/1.1 103 X\r\n\r\n" + OK + b"content-length: 2\r\n\r\nok", OTHER),
    (b"GET", OK + b"content-length: 2\r\n\r\nok", b"HTTP/1.1 100 X\r\n\r\n" + OTHER),
    (b"HEAD", OK + b"content-length: 44\r\n\r\n", OTHER),
    (b"HEAD", OK + b"transfer-encoding: chunked\r\n\r\n", b"2\r\nok\r\n0\r\n\r\n" + OTHER),
)


class TestSurplusAnswers(unittest.TestCase):
    def run_with(self, path, handler, check):
        async def main():
            with trio.fail_after(MAX_SECONDS):
                async with open_path(path, handler) as served:
                    await check(served)

        trio.run(main)

    def check_surplus(self, delay):
        for path in (Path.OWN, Path.OTHER):
            for method, answer, surplus in SURPLUS:
                served_first = []

                async def handler(
                    stream, number, answer=answer, surplus=surplus, served_first=served_first
                ):
                    while await read_whole_request(stream):
                        if served_first:
                            await stream.send_all(OWN)
                            continue
                        served_first.append(number)
                        if delay is None:
                            await stream.send_all(answer + surplus)
                        else:
                            await stream.send_all(answer)
                            await trio.sleep(delay)
                            await stream.send_all(surplus)

                async def check(served, method=method):
                    first = await served.call(method=method)
                    self.assertTrue(first.is_complete)
                    await trio.sleep(0.05)
                    second = await served.call()
                    self.assertEqual((second.status, second.body), (200, b"own"))

                with self.subTest(path=path, method=method, answer=answer, surplus=surplus):
                    self.run_with(path, handler, check)

    def test_surplus_that_comes_with_an_answer_is_dropped_with_its_connection(self):
        self.check_surplus(None)

    def test_surplus_that_comes_after_an_answer_is_dropped_with_its_connection(self):
        self.check_surplus(0.01)

    def test_answer_without_a_body_states_no_length_of_one(self):
        # A caller that heeds the length would take the next answer for the body.
        async def handler(stream, number):
            while await read_request(stream):
                await stream.send_all(b"HTTP/1.1 204 No Content\r\ncontent-length: 5\r\n\r\n")

        async def check(served):
            received = await served.call()
            self.assertEqual((received.status, received.is_complete), (204, True))
            self.assertNotIn(b"content-length", received.raw.lower())

        for path in (Path.OWN, Path.OTHER):
            self.run_with(path, handler, check)

    def test_answer_that_precedes_the_rest_of_a_long_body_is_its_own(self):
        # The upstream reads on later; where the rest of the body is due, it gets just that.
        for is_kept in (True, False):
            received = []

            async def handler(stream, number, is_kept=is_kept, received=received):
                while data := await read_request(stream):
                    if not data.startswith(b"POST"):
                        await stream.send_all(OWN)
                        continue
                    await stream.send_all(OK + b"content-length: 5\r\n\r\nearly")
                    if not is_kept:
                        await stream.aclose()
                        return
                    await trio.sleep(0.02)
                    body = data.partition(b"\r\n\r\n")[2]
                    while len(body) < BODY_BYTES:
                        body += await stream.receive_some(BODY_BYTES - len(body))
                    received.append(body)

            async def check(served, is_kept=is_kept, received=received):
                uploaded = await served.call()
                served.path = Path.OWN if served.path.is_own else Path.OTHER
                following = await served.call()
                self.assertEqual((following.status, following.body), (200, b"own"))
                if is_kept:
                    self.assertEqual((uploaded.status, uploaded.body), (200, b"early"))
                    self.assertEqual(received, [b"q" * BODY_BYTES])
                else:
                    self.assertIn(
                        (uploaded.status, uploaded.is_complete), ((200, True), (502, True))
                    )

            for path in (Path.OWN_UPLOAD, Path.OTHER_UPLOAD):
                with self.subTest(path=path, is_kept=is_kept):
                    received.clear()
                    self.run_with(path, handler, check)


if __name__ == "__main__":
    unittest.main()
