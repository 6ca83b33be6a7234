"""Check answers whose bytes never end: memory, time and other callers, on every path."""

import unittest

import trio

from bendwind_node.calls.body_flow import WINDOW_BYTES
from bendwind_node.calls.tests.answer_paths import (
    MAX_SECONDS,
    Path,
    open_path,
    read_whole_request,
)

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"transfer-encoding: chunked\r\n\r\n"
MIB = 1 << 20
TIMEOUT_MS = 300
# What a process may hold of one answer, and what the sockets of both sides hold.
MAX_TAKEN_BYTES = WINDOW_BYTES + 16 * MIB


class Endless:
    """Answer with a head and then a part again and again; count what was taken."""

    def __init__(self, head, part):
        self.head = head
        self.part = part
        self.taken = 0

    async def handle(self, stream, number):
        """Serve one connection."""
        while await read_whole_request(stream):
            await stream.send_all(self.head)
            while True:
                await stream.send_all(self.part)
                self.taken += len(self.part)


class TestEndlessAnswers(unittest.TestCase):
    def run_with(self, endless, check, paths=tuple(Path)):
        for path in paths:

            async def main(path=path):
                with trio.fail_after(MAX_SECONDS):
                    async with open_path(path, endless.handle) as served:
                        await check(served)

            with self.subTest(path=path):
                trio.run(main)

    def test_chunks_without_end_beside_a_length_take_no_memory(self):
        head = OK + b"content-length: 2\r\ntransfer-encoding: chunked\r\n\r\n"
        endless = Endless(head, b"10000\r\n" + b"z" * 0x10000 + b"\r\n")

        async def check(served):
            endless.taken = 0
            received = await served.call(timeout_ms=TIMEOUT_MS)
            self.assertEqual(received.status, 502)
            self.assertLess(endless.taken, MAX_TAKEN_BYTES)

        self.run_with(endless, check)


if __name__ == "__main__":
    unittest.main()
