import unittest
from functools import partial

import h11
import trio
import trio.testing

from bendwind_node.calls.caller_exchange import CallerGoneError
from bendwind_node.calls.caller_h11 import H11Server

HEADER_BYTES = 2048
SMALL_REFUSED = "POST /refuse HTTP/1.1\nHost: x\nContent-Length: 3\n\nabc"


class Caller:
    """Speak raw bytes to the server and read answers with h11."""

    def __init__(self, stream):
        self.stream = stream

    async def say(self, text: str) -> None:
        await self.stream.send_all(text.replace("\n", "\r\n").encode())

    async def hear(self, method: str = "GET") -> tuple[int, dict[bytes, bytes], bytes]:
        """Read one whole answer; interim answers are counted in the header `interim`."""
        connection = h11.Connection(h11.CLIENT)
        connection.send(h11.Request(method=method, target="/", headers=[("host", "x")]))
        connection.send(h11.EndOfMessage())
        interim, head, body = 0, None, b""
        while True:
            match connection.next_event():
                case h11.NEED_DATA:
                    connection.receive_data(await self.stream.receive_some(4096))
                case h11.InformationalResponse():
                    interim += 1
                case h11.Response() as head:
                    pass
                case h11.Data(data=data):
                    body += data
                case h11.EndOfMessage():
                    return head.status_code, dict(head.headers) | {b"interim": interim}, body

    async def is_closed(self) -> bool:
        with trio.move_on_after(20):
            return await self.stream.receive_some(1) == b""
        return False


async def echo(exchange) -> None:
    """Answer with method, target and body; paths ask for special answers."""
    request = exchange.request
    if request.target == b"/refuse":
        return await answer(exchange, 413, b"too large")
    if request.target == b"/empty":
        await exchange.send_head(204, ())
        return await exchange.send_part(b"", more=False)
    if request.target == b"/cut":
        await exchange.send_head(200, ((b"content-length", b"100"),))
        await exchange.send_part(b"half", more=True)
        return exchange.abort()
    if request.target == b"/parts":
        await exchange.send_head(200, ())
        for number in range(3):
            await exchange.send_part(b"%d" % number, more=True)
        return await exchange.send_part(b"", more=False)
    body = b""
    while (part := await exchange.receive_part()) is not None:
        body += part
    text = b"%s %s %s" % (request.method.encode(), request.target, body)
    return await answer(exchange, 200, text)


async def answer(exchange, status, text):
    await exchange.send_head(status, ((b"content-length", b"%d" % len(text)),))
    await exchange.send_part(b"" if exchange.request.method == "HEAD" else text, more=False)


def serve(case, handle=echo, max_connections=10):
    """Run a test's coroutine with a function that connects to a server."""

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        shutdown = trio.Event()
        server = H11Server(handle, 30.0, HEADER_BYTES, max_connections)

        callers = []

        async def connect():
            callers.append(Caller(await trio.open_tcp_stream("127.0.0.1", port)))
            return callers[-1]

        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server.run, listeners, shutdown)
                await case(connect, shutdown)
                for caller in callers:
                    await caller.stream.aclose()
                nursery.cancel_scope.cancel()

    trio.run(main)


class TestCallerH11(unittest.TestCase):
    def talk(self, case, **options):
        async def run(connect, shutdown):
            await case(await connect())

        serve(run, **options)

    def test_one_connection_carries_many_requests_in_order(self):
        async def case(caller):
            await caller.say("GET /a HTTP/1.1\nHost: x\n\n")
            self.assertEqual((await caller.hear())[2], b"GET /a ")
            await caller.say("GET /b HTTP/1.1\nHost: x\nConnection: close\n\n")
            self.assertEqual((await caller.hear())[2], b"GET /b ")
            self.assertTrue(await caller.is_closed())

        self.talk(case)

    def test_bodies_come_with_a_length_or_in_chunks(self):
        async def case(caller):
            await caller.say("POST /a HTTP/1.1\nHost: x\nContent-Length: 3\n\nabc")
            self.assertEqual((await caller.hear())[2], b"POST /a abc")
            await caller.say("PUT /b HTTP/1.1\nHost: x\nTransfer-Encoding: chunked\n\n")
            await caller.say("2\nab\n1\nc\n0\n\n")
            self.assertEqual((await caller.hear())[2], b"PUT /b abc")
            await caller.say("GET /parts HTTP/1.1\nHost: x\n\n")
            self.assertEqual((await caller.hear())[2], b"012")

        self.talk(case)

    def test_the_body_is_asked_for_once_it_is_needed(self):
        async def case(caller):
            expect = "Host: x\nContent-Length: 3\nExpect: 100-continue\n\n"
            await caller.say(f"POST /a HTTP/1.1\n{expect}")
            self.assertEqual(await caller.stream.receive_some(12), b"HTTP/1.1 100")
            await caller.say("abc")
            with trio.fail_after(20):
                while (await caller.stream.receive_some(4096)).find(b"POST /a abc") < 0:
                    continue
            await caller.say(f"POST /refuse HTTP/1.1\n{expect}")
            status, headers, _ = await caller.hear()
            self.assertEqual((status, headers[b"interim"]), (413, 0))
            self.assertEqual(headers[b"connection"], b"close")
            self.assertTrue(await caller.is_closed())

        self.talk(case)

    def test_head_and_no_content_have_no_body(self):
        async def case(caller):
            await caller.say("HEAD /a HTTP/1.1\nHost: x\n\n")
            status, headers, body = await caller.hear("HEAD")
            self.assertEqual((status, headers[b"content-length"], body), (200, b"8", b""))
            await caller.say("GET /empty HTTP/1.1\nHost: x\n\n")
            status, headers, body = await caller.hear()
            self.assertEqual((status, body), (204, b""))
            await caller.say("GET http://x/a?b=1 HTTP/1.1\nHost: x\n\n")
            self.assertEqual((await caller.hear())[2], b"GET /a?b=1 ")

        self.talk(case)

    def test_a_refusal_keeps_the_connection_where_no_body_is_left_to_come(self):
        async def case(caller):
            for text in ("GET /refuse HTTP/1.1\nHost: x\n\n", SMALL_REFUSED, SMALL_REFUSED):
                await caller.say(text)
                status, headers, _ = await caller.hear()
                self.assertEqual((status, headers.get(b"connection")), (413, None))

        self.talk(case)

    def test_a_cut_answer_is_never_whole(self):
        async def case(caller):
            await caller.say("GET /cut HTTP/1.1\nHost: x\n\n")
            with self.assertRaises(h11.RemoteProtocolError):
                await caller.hear()

        self.talk(case)

    def test_bad_and_oversized_heads_are_refused_and_closed(self):
        for text, status in (
            ("GET / HTTP/1.1\nHost: x\nA: " + "b" * HEADER_BYTES * 2 + "\n\n", 431),
            ("nonsense\n\n", 400),
            ("GET / HTTP/1.1\n\n", 400),
        ):

            async def case(caller, text=text, status=status):
                await caller.say(text)
                found, headers, _ = await caller.hear()
                self.assertEqual((found, headers[b"bendwind-outcome"]), (status, b"refused"))
                self.assertTrue(await caller.is_closed())

            with self.subTest(status):
                self.talk(case)

    def test_connections_beyond_the_limit_get_not_run(self):
        async def case(connect, shutdown):
            first, second = await connect(), await connect()
            await first.say("GET /a HTTP/1.1\nHost: x\n\n")
            await first.hear()
            await second.say("GET /a HTTP/1.1\nHost: x\n\n")
            status, headers, _ = await second.hear()
            self.assertEqual((status, headers[b"bendwind-outcome"]), (503, b"not-run"))
            await first.say("GET /a HTTP/1.1\nHost: x\n\n")
            self.assertEqual((await first.hear())[0], 200)

        serve(case, max_connections=1)

    def test_a_stop_answers_what_is_in_flight_and_closes(self):
        gate = trio.Event()
        has_come = trio.Event()

        async def slow(exchange):
            has_come.set()
            await gate.wait()
            await echo(exchange)

        async def case(connect, shutdown):
            caller = await connect()
            await caller.say("GET /a HTTP/1.1\nHost: x\n\n")
            await has_come.wait()
            shutdown.set()
            await trio.testing.wait_all_tasks_blocked()
            gate.set()
            status, headers, body = await caller.hear()
            self.assertEqual((status, body), (200, b"GET /a "))
            self.assertEqual(headers[b"connection"], b"close")
            self.assertTrue(await caller.is_closed())

        serve(case, slow)

    def test_a_caller_that_goes_is_noticed(self):
        noticed = trio.Event()

        async def wait(exchange):
            await exchange.wait_gone()
            noticed.set()

        async def read(exchange):
            try:
                while await exchange.receive_part():
                    continue
            except CallerGoneError:
                noticed.set()

        async def case(connect, shutdown, text):
            caller = await connect()
            await caller.say(text)
            await trio.testing.wait_all_tasks_blocked()
            await caller.stream.aclose()
            with trio.fail_after(20):
                await noticed.wait()

        serve(partial(case, text="GET /a HTTP/1.1\nHost: x\n\n"), wait)
        noticed = trio.Event()
        serve(partial(case, text="POST /a HTTP/1.1\nHost: x\nContent-Length: 9\n\nab"), read)


if __name__ == "__main__":
    unittest.main()
