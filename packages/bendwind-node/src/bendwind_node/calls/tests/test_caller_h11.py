import contextlib
import socket
import unittest

import trio
import trio.testing

from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.calls.caller_exchange import CallerGoneError
from bendwind_node.calls.caller_h11 import H11Server
from bendwind_node.calls.request_account import Ending, RequestAccount


async def read_body(exchange):
    body = b""
    while (part := await exchange.receive_part()) is not None:
        body += part
    return body


async def echo(exchange):
    body = await read_body(exchange)
    await exchange.send_head(200, ((b"content-length", str(len(body)).encode()),))
    await exchange.send_part(b"" if exchange.request.method == "HEAD" else body, more=False)


class TestH11Server(unittest.TestCase):
    def run_with(
        self,
        handle,
        check,
        *,
        max_connections=8,
        header_bytes=2048,
        header_timeout=5.0,
        recorder=None,
        stopping=None,
        account=None,
    ):
        async def main():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = listeners[0].socket.getsockname()
            server = H11Server(
                handle,
                5.0,
                header_bytes,
                max_connections,
                header_timeout,
                recorder=recorder,
                account=account or RequestAccount(),
                stopping=trio.Event() if stopping is None else stopping,
            )
            shutdown = trio.Event()
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(server.run, listeners, shutdown)
                    await check(lambda: trio.open_tcp_stream(*address), shutdown)
                    shutdown.set()

        trio.run(main)

    def exchange_bytes(self, request, handle=echo, **settings):
        """Send bytes, end the sending side and return all that came back."""
        received = bytearray()

        async def check(connect, shutdown):
            async with await connect() as stream:
                await stream.send_all(request)
                await stream.send_eof()
                while data := await stream.receive_some(65536):
                    received.extend(data)

        self.run_with(handle, check, **settings)
        return bytes(received)

    def test_serves_pipelined_requests_in_order_on_one_connection(self):
        one = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\n"
        received = self.exchange_bytes(one + b"abc" + one + b"def")
        self.assertEqual(received.count(b"200"), 2)
        self.assertLess(received.index(b"abc"), received.index(b"def"))

    def test_target_that_is_no_address_is_refused_and_ends_nothing_else(self):
        # It ended the process, and with each try another one.
        received = self.exchange_bytes(b"GET http://[ HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "))

    def test_request_whose_task_fails_is_answered_and_ends_its_own_connection_only(self):
        # Its connection was closed without an answer, as if the caller had done wrong.
        recorder = Recorder("a", lambda: 1, 100)

        async def handle(exchange):
            if exchange.request.target == b"/fails":
                raise ValueError("some fault")
            await echo(exchange)

        async def check(connect, shutdown):
            for target, expected in ((b"/fails", b"HTTP/1.1 503 "), (b"/", b"HTTP/1.1 200 ")):
                async with await connect() as stream:
                    await stream.send_all(b"GET " + target + b" HTTP/1.1\r\nhost: a\r\n\r\n")
                    self.assertTrue((await stream.receive_some(65536)).startswith(expected))

        self.run_with(handle, check, recorder=recorder)
        (failed,) = recorder.events
        self.assertIs(failed.kind, EventKind.TASK_FAILED)
        self.assertIn("ValueError: some fault", failed.detail)

    def test_answers_say_close_from_the_moment_at_which_the_process_is_told_to_stop(self):
        # A caller that kept its connection until the end had a request on its way when it was
        # closed, and could not tell whether that had been read.
        stopping = trio.Event()

        async def check(connect, shutdown):
            request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
            async with await connect() as kept:
                await kept.send_all(request)
                self.assertNotIn(b"close", (await kept.receive_some(65536)).lower())
                stopping.set()
                await kept.send_all(request)
                self.assertIn(b"connection: close", (await kept.receive_some(65536)).lower())
            async with await connect() as fresh:
                await fresh.send_all(request)
                self.assertTrue((await fresh.receive_some(65536)).startswith(b"HTTP/1.1 200 "))

        self.run_with(echo, check, stopping=stopping)

    def test_connections_that_were_made_before_draining_are_accepted_and_answered(self):
        # They were complete for their callers, who had sent their requests, and were reset with the
        # listening socket.
        async def check(connect, shutdown):
            address = (await connect()).socket.getpeername()
            made = [socket.create_connection(address) for _ in range(5)]
            for connection in made:
                connection.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            shutdown.set()
            for connection in made:
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(connection))
                answer = await stream.receive_some(65536)
                self.assertTrue(answer.startswith(b"HTTP/1.1 200 "))
                await stream.aclose()

        self.run_with(echo, check)

    def test_caller_that_still_sends_its_body_can_read_its_refusal(self):
        # The connection was closed with bytes unread, which resets it: the caller's sending failed,
        # and the refusal could be lost on its way.
        part = b"x" * 50_000

        async def refuse(exchange):
            await exchange.send_head(413, ((b"content-length", b"0"),))
            await exchange.send_part(b"", more=False)

        async def check(connect, shutdown):
            async with await connect() as stream:
                await stream.send_all(
                    b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 400000\r\n\r\n" + part
                )
                answer = await stream.receive_some(65536)
                for _ in range(7):
                    await stream.send_all(part)
                    await trio.testing.wait_all_tasks_blocked()
                self.assertTrue(answer.startswith(b"HTTP/1.1 413 "))
                self.assertEqual(await stream.receive_some(65536), b"")

        self.run_with(refuse, check)

    def test_request_whose_tasks_are_cancelled_is_answered(self):
        # A call that lasted longer than a moment had a task beside it that watched its caller.
        # Where a stop ran out of its time, both were cancelled, which comes as a group; the
        # connection was closed without a byte, and the request was counted as unanswered.
        async def handle(exchange):
            exchange.may_have_run = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(exchange.wait_gone)
                await trio.sleep_forever()

        account, received = self.end_while_held(handle, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue(received.startswith(b"HTTP/1.1 502 "))
        self.assertEqual(dict(account.ended), {Ending.ANSWERED: 1})

    def test_request_whose_answer_is_at_odds_with_itself_is_answered(self):
        # The head was held back for the first part, which was longer than the head had said. The
        # protocol takes nothing more after such a fault, and the connection was closed without a
        # byte.
        recorder = Recorder("a", lambda: 1, 100)

        async def handle(exchange):
            exchange.may_have_run = True
            await exchange.send_head(200, ((b"content-length", b"1"),))
            await exchange.send_part(b"ok", more=False)

        request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
        received = self.exchange_bytes(request, handle, recorder=recorder)
        self.assertTrue(received.startswith(b"HTTP/1.1 502 "))

    def test_answer_that_the_end_of_a_stop_breaks_off_counts_as_unanswered(self):
        # Its upstream was still answering: that the answer is not whole is our doing.
        async def handle(exchange):
            await exchange.send_head(200, ((b"content-length", b"2"),))
            await exchange.send_part(b"o", more=True)
            await trio.sleep_forever()

        account, received = self.end_while_held(handle, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue(received.endswith(b"o"))
        self.assertEqual(dict(account.ended), {Ending.UNANSWERED: 1})

    def end_while_held(self, handle, request):
        """Cancel a server while it holds a request; return its account and what came back."""
        account = RequestAccount()
        received = bytearray()

        async def main():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            server = H11Server(handle, 5.0, 2048, 8, account=account)
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(server.run, listeners, trio.Event())
                    stream = await trio.open_tcp_stream(*listeners[0].socket.getsockname())
                    await stream.send_all(request)
                    while not account.taken:
                        await trio.sleep(0.001)
                    await trio.testing.wait_all_tasks_blocked()
                    nursery.cancel_scope.cancel()
                while data := await stream.receive_some(65536):
                    received.extend(data)

        trio.run(main)
        return account, bytes(received)

    def test_answer_is_whole_though_the_next_request_was_not_read(self):
        # While it drained, the server closed a connection as soon as its answer was written. What
        # its caller had sent by then stayed unread, so that the system reset the connection and
        # threw away the part of the answer that the caller had not got yet.
        may_answer = trio.Event()
        long_answer = b"z" * (4 << 20)

        async def handle(exchange):
            await may_answer.wait()
            length = str(len(long_answer)).encode()
            await exchange.send_head(200, ((b"content-length", length),))
            await exchange.send_part(long_answer, more=False)

        async def check(connect, shutdown):
            received = b""
            async with await connect() as stream:
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                await trio.testing.wait_all_tasks_blocked(0.01)
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                shutdown.set()
                await trio.testing.wait_all_tasks_blocked()
                may_answer.set()
                with contextlib.suppress(trio.BrokenResourceError):
                    while data := await stream.receive_some(65536):
                        received += data
                        await trio.sleep(0)
            self.assertIn(b"connection: close", received[:200].lower())
            self.assertTrue(received.endswith(long_answer))

        self.run_with(handle, check)

    def test_request_behind_an_answer_that_began_before_draining_is_answered(self):
        # The answer had not said that the connection closes. What its caller sent next was read for
        # a second, thrown away, and got no answer.
        may_end = trio.Event()

        async def handle(exchange):
            await exchange.send_head(200, ((b"content-length", b"2"),))
            await exchange.send_part(b"o", more=True)
            await may_end.wait()
            await exchange.send_part(b"k", more=False)

        async def check(connect, shutdown):
            request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
            received = b""
            async with await connect() as stream:
                await stream.send_all(request)
                while not received.endswith(b"o"):
                    received += await stream.receive_some(65536)
                await stream.send_all(request)
                shutdown.set()
                await trio.testing.wait_all_tasks_blocked()
                may_end.set()
                while data := await stream.receive_some(65536):
                    received += data
            self.assertEqual(received.count(b"HTTP/1.1 200 "), 2)
            self.assertEqual(received.lower().count(b"connection: close"), 1)

        self.run_with(handle, check)

    def test_request_that_was_answered_stays_so_where_its_task_fails_behind_it(self):
        account = RequestAccount("callers")
        recorder = Recorder("a", lambda: 1, 100)

        async def handle(exchange):
            await echo(exchange)
            raise ValueError("some fault")

        async def check(connect, shutdown):
            async with await connect() as stream:
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                received = await stream.receive_some(65536)
                self.assertEqual(received.count(b"HTTP/1.1"), 1)
                self.assertEqual(await stream.receive_some(65536), b"")

        self.run_with(handle, check, recorder=recorder, account=account)
        self.assertEqual(account.ended, {Ending.ANSWERED: 1})

    def test_requests_that_a_server_gives_up_are_answered(self):
        # At the end of the time for a stop their connections were closed without a byte. What was
        # not read whole, or not begun, cannot have run; of the rest nobody knows.
        async def handle(exchange):
            await read_body(exchange)
            exchange.may_have_run = exchange.request.target == b"/begun"
            # As a call does that lasts: what is given up comes out of a nursery as a group.
            async with trio.open_nursery() as nursery:
                nursery.start_soon(exchange.wait_gone)
                await trio.sleep_forever()

        async def main():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = listeners[0].socket.getsockname()
            account = RequestAccount("callers")
            server = H11Server(handle, 5.0, 2048, 8, account=account)
            found = {}
            requests = {
                b"/begun": b"content-length: 2\r\n\r\nok",
                b"/waits": b"content-length: 2\r\n\r\nok",
                b"/half": b"content-length: 2\r\n\r\no",
            }

            async def call(path, rest):
                async with await trio.open_tcp_stream(*address) as stream:
                    await stream.send_all(b"POST " + path + b" HTTP/1.1\r\nhost: a\r\n" + rest)
                    found[path] = (await stream.receive_some(65536)).split(b"\r\n")

            with trio.fail_after(20):
                async with trio.open_nursery() as calling, trio.open_nursery() as serving:
                    serving.start_soon(server.run, listeners, trio.Event())
                    for path, rest in requests.items():
                        calling.start_soon(call, path, rest)
                    while account.taken < len(requests):
                        await trio.sleep(0.001)
                    await trio.testing.wait_all_tasks_blocked()
                    serving.cancel_scope.cancel()
            self.assertEqual(account.ended, {Ending.ANSWERED: len(requests)})
            return found

        found = trio.run(main)
        self.assertIn(b"HTTP/1.1 502 ", found[b"/begun"])
        self.assertIn(b"bendwind-outcome: unknown", found[b"/begun"])
        for path in (b"/waits", b"/half"):
            self.assertIn(b"HTTP/1.1 503 ", found[path])
            self.assertIn(b"bendwind-outcome: not-run", found[path])

    def test_head_with_two_lengths_is_refused_and_nothing_after_it_is_served(self):
        # A front that goes by the other length would take the rest for a request of its own.
        received = self.exchange_bytes(
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n"
            b"0\r\n\r\nGET /hidden HTTP/1.1\r\nhost: a\r\n\r\n"
        )
        self.assertTrue(received.startswith(b"HTTP/1.1 400"))
        self.assertNotIn(b"200", received)

    def test_head_that_does_not_end_in_time_is_refused_and_its_connection_closed(self):
        received = bytearray()

        async def check(connect, shutdown):
            async with await connect() as stream:
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: ")
                while data := await stream.receive_some(65536):
                    received.extend(data)

        self.run_with(echo, check, header_timeout=0.05)
        self.assertTrue(bytes(received).startswith(b"HTTP/1.1 408"))

    def test_joins_a_chunked_request_body(self):
        received = self.exchange_bytes(
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"2\r\nab\r\n1\r\nc\r\n0\r\n\r\n"
        )
        self.assertTrue(received.endswith(b"abc"))

    def test_invites_a_body_that_waits_for_100_continue(self):
        async def check(connect, shutdown):
            async with await connect() as stream:
                head = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\nexpect: 100-continue"
                await stream.send_all(head + b"\r\n\r\n")
                self.assertIn(b"100", await stream.receive_some(65536))
                await stream.send_all(b"hi")
                self.assertTrue((await stream.receive_some(65536)).endswith(b"hi"))

        self.run_with(echo, check)

    def test_answers_head_without_a_body(self):
        received = self.exchange_bytes(b"HEAD / HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue(received.endswith(b"\r\n\r\n"))

    def test_refuses_what_is_not_http_and_heads_over_the_limit(self):
        self.assertIn(b"400", self.exchange_bytes(b"nonsense\r\n\r\n"))
        long_head = b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 4000 + b"\r\n\r\n"
        self.assertIn(b"431", self.exchange_bytes(long_head))

    def test_connection_over_the_limit_is_told_not_run(self):
        async def check(connect, shutdown):
            async with await connect() as first, await connect() as second:
                answered = b""
                while data := await second.receive_some(65536):
                    answered += data
                self.assertIn(b"bendwind-outcome: not-run", answered)
                del first

        async def refuse_only(exchange):
            raise AssertionError("no request was sent")

        self.run_with(refuse_only, check, max_connections=1)

    def test_aborted_answer_is_seen_as_cut(self):
        async def cut(exchange):
            await exchange.send_head(200, ((b"content-length", b"100"),))
            await exchange.send_part(b"some", more=True)
            exchange.abort()

        received = self.exchange_bytes(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n", cut)
        self.assertTrue(received.endswith(b"some"))

    def test_tells_when_the_caller_goes_away_while_it_waits(self):
        noticed = trio.Event()

        async def wait(exchange):
            await exchange.wait_gone()
            noticed.set()
            raise CallerGoneError

        async def swallow(exchange):
            try:
                await wait(exchange)
            except CallerGoneError:
                return

        async def check(connect, shutdown):
            async with await connect() as stream:
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            await noticed.wait()

        self.run_with(swallow, check)

    def test_shutdown_finishes_a_request_in_flight_and_closes_after_it(self):
        go_on = trio.Event()
        begun = trio.Event()

        async def slow(exchange):
            begun.set()
            await go_on.wait()
            await echo(exchange)

        async def check(connect, shutdown):
            async with await connect() as stream:
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                await begun.wait()
                shutdown.set()
                await trio.sleep(0.05)
                go_on.set()
                received = b""
                while data := await stream.receive_some(65536):
                    received += data
                self.assertIn(b"200", received)
                self.assertIn(b"connection: close", received.lower())

        self.run_with(slow, check)
