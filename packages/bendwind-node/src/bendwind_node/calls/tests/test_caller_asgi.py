import os
import unittest

import httpcore
import trio

from bendwind_node.calls.caller_asgi import serve_callers_asgi
from bendwind_node.calls.request_account import RequestAccount
from bendwind_node.calls.tests.caller_h11_harness import echo, read_body
from bendwind_node.http import AsgiServer

CUT = b"x" * 1000


async def cut(exchange):
    await read_body(exchange)
    await exchange.send_head(200, ((b"content-length", b"5000"),))
    await exchange.send_part(CUT, more=True)
    exchange.abort()


class TestCallersByHypercorn(unittest.TestCase):
    def run_with(self, handle, check, *, http2):
        async def main():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            server = AsgiServer(os.dup(listeners[0].socket.fileno()), 0.5, 4096)
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(serve_callers_asgi, handle, server, RequestAccount())
                    async with httpcore.AsyncConnectionPool(http1=not http2, http2=http2) as pool:
                        await check(pool, f"http://127.0.0.1:{port}/x?y=1")
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def check_echo(self, *, http2):
        async def check(pool, url):
            for size in (0, 10, 200_000):
                answer = await pool.request("POST", url, content=b"z" * size)
                self.assertEqual((answer.status, len(answer.content)), (200, size))
            answer = await pool.request("HEAD", url)
            self.assertEqual((answer.status, answer.content), (200, b""))

        self.run_with(echo, check, http2=http2)

    def check_cut(self, *, http2):
        async def check(pool, url):
            with self.assertRaises(httpcore.RemoteProtocolError):
                await pool.request("GET", url)

        self.run_with(cut, check, http2=http2)

    def test_complete_answers_over_http_1(self):
        self.check_echo(http2=False)

    def test_complete_answers_over_http_2(self):
        self.check_echo(http2=True)

    def test_aborted_answer_is_incomplete_over_http_1(self):
        self.check_cut(http2=False)

    def test_aborted_answer_is_incomplete_over_http_2(self):
        self.check_cut(http2=True)
