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
        """Send bytes, close the sending side and return everything received."""
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

    def test_target_in_absolute_form_keeps_its_path_and_query_as_they_stand(self):
        # Guards against a request whose empty query was lost on its way.
        targets = []

        async def handle(exchange):
            targets.append(exchange.request.target)
            await echo(exchange)

        cases = {
            b"http://a/x?": b"/x?",
            b"http://a/x?y=1": b"/x?y=1",
            b"http://a?y": b"/?y",
            b"http://a": b"/",
            b"/x?": b"/x?",
        }

        for target in cases:
            self.exchange_bytes(b"GET " + target + b" HTTP/1.1\r\nhost: a\r\n\r\n", handle)
        self.assertEqual(targets, list(cases.values()))

    def test_invalid_target_is_refused_without_ending_the_process(self):
        # Guards against an invalid target that ends the process, and with each retry another one.
        received = self.exchange_bytes(b"GET http://[ HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue(received.startswith(b"HTTP/1.1 400 "))

    def test_request_whose_handler_fails_is_answered_and_closes_only_its_connection(self):
        # Guards against closing the connection without an answer, as if the caller were at fault.
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

    def test_answers_announce_close_once_the_process_is_stopping(self):
        # Guards against closing a kept connection without notice: the caller may have a request in
        # transit and cannot know whether it was read.
        stopping = trio.Event()

        async def check(connect, shutdown):
            request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
            async with await connect() as kept_connection:
                await kept_connection.send_all(request)
                self.assertNotIn(b"close", (await kept_connection.receive_some(65536)).lower())
                stopping.set()
                await kept_connection.send_all(request)
                self.assertIn(
                    b"connection: close", (await kept_connection.receive_some(65536)).lower()
                )
            async with await connect() as new_connection:
                await new_connection.send_all(request)
                self.assertTrue(
                    (await new_connection.receive_some(65536)).startswith(b"HTTP/1.1 200 ")
                )

        self.run_with(echo, check, stopping=stopping)

    def test_connections_made_before_draining_are_accepted_and_answered(self):
        # Guards against resetting connections with the listening socket: for the callers they are
        # established, and the requests have been sent.
        async def check(connect, shutdown):
            address = (await connect()).socket.getpeername()
            connections = [socket.create_connection(address) for _ in range(5)]
            for connection in connections:
                connection.sendall(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            shutdown.set()
            for connection in connections:
                stream = trio.SocketStream(trio.socket.from_stdlib_socket(connection))
                answer = await stream.receive_some(65536)
                self.assertTrue(answer.startswith(b"HTTP/1.1 200 "))
                await stream.aclose()

        self.run_with(echo, check)

    def test_caller_that_is_still_sending_its_body_can_read_its_refusal(self):
        # Guards against closing the connection with unread bytes, which resets it: the caller's
        # send fails, and the refusal can be lost in transit.
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
        # Guards against closing the connection without a byte and counting the request as
        # unanswered. A longer call has a second task that watches its caller; when a stop exceeds
        # its time, both are cancelled, which arrives as an exception group.
        async def handle(exchange):
            exchange.may_have_run = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(exchange.wait_gone)
                await trio.sleep_forever()

        account, received = self.end_while_held(handle, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue(received.startswith(b"HTTP/1.1 502 "))
        self.assertEqual(dict(account.ended), {Ending.ANSWERED: 1})

    def test_request_whose_answer_exceeds_its_stated_length_gets_an_error_answer(self):
        # Guards against closing the connection without a byte. The head is sent with the first
        # part, which is longer than the head states here, and h11 accepts nothing more after this
        # error.
        recorder = Recorder("a", lambda: 1, 100)

        async def handle(exchange):
            exchange.may_have_run = True
            await exchange.send_head(200, ((b"content-length", b"1"),))
            await exchange.send_part(b"ok", more=False)

        request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
        received = self.exchange_bytes(request, handle, recorder=recorder)
        self.assertTrue(received.startswith(b"HTTP/1.1 502 "))

    def test_answer_cut_at_the_end_of_a_stop_counts_as_unanswered(self):
        # Its upstream was still answering: this node made the answer incomplete.
        async def handle(exchange):
            await exchange.send_head(200, ((b"content-length", b"2"),))
            await exchange.send_part(b"o", more=True)
            await trio.sleep_forever()

        account, received = self.end_while_held(handle, b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        self.assertTrue(received.endswith(b"o"))
        self.assertEqual(dict(account.ended), {Ending.UNANSWERED: 1})

    def end_while_held(self, handle, request):
        """Cancel a server while it serves a request; return its counts and the bytes received."""
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
                    while not account.received:
                        await trio.sleep(0.001)
                    await trio.testing.wait_all_tasks_blocked()
                    nursery.cancel_scope.cancel()
                while data := await stream.receive_some(65536):
                    received.extend(data)

        trio.run(main)
        return account, bytes(received)

    def test_answer_is_complete_though_the_next_request_is_not_read(self):
        # Guards against losing the end of an answer while the server drains. If it closes the
        # connection as soon as the answer is written, bytes that the caller has sent stay unread;
        # the system then resets the connection and discards the part not yet delivered.
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

    def test_request_after_an_answer_begun_before_draining_is_answered(self):
        # Guards against a request without an answer: the first answer did not announce that the
        # connection closes, but what the caller sent next was read for a second and discarded.
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

    def test_answered_request_stays_answered_if_its_handler_fails_afterwards(self):
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

    def test_requests_cancelled_with_the_server_are_answered(self):
        # Guards against closing their connections without a byte at the end of the time for a stop.
        # Requests that were not read completely or not started cannot have run; the outcome of the
        # others is unknown.
        async def handle(exchange):
            await read_body(exchange)
            exchange.may_have_run = exchange.request.target == b"/begun"
            # As in a longer call: the cancellation leaves the nursery as an exception group.
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
                    while account.received < len(requests):
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
        # A front-end server that uses the other length would read the rest as a second request.
        received = self.exchange_bytes(
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n"
            b"0\r\n\r\nGET /hidden HTTP/1.1\r\nhost: a\r\n\r\n"
        )
        self.assertTrue(received.startswith(b"HTTP/1.1 400"))
        self.assertNotIn(b"200", received)

    def test_head_that_is_not_complete_in_time_is_refused_and_its_connection_closed(self):
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

    def test_sends_100_continue_to_a_caller_that_expects_it(self):
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

    def test_refuses_bytes_that_are_not_http_and_heads_over_the_limit(self):
        self.assertIn(b"400", self.exchange_bytes(b"nonsense\r\n\r\n"))
        long_head = b"GET / HTTP/1.1\r\nhost: a\r\nx: " + b"y" * 4000 + b"\r\n\r\n"
        self.assertIn(b"431", self.exchange_bytes(long_head))

    def test_connection_over_the_limit_is_refused_as_not_run(self):
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

    def test_aborted_answer_is_incomplete_for_the_caller(self):
        async def cut(exchange):
            await exchange.send_head(200, ((b"content-length", b"100"),))
            await exchange.send_part(b"some", more=True)
            exchange.abort()

        received = self.exchange_bytes(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n", cut)
        self.assertTrue(received.endswith(b"some"))

    def test_close_by_a_waiting_caller_is_detected(self):
        noticed = trio.Event()

        async def wait(exchange):
            await exchange.wait_gone()
            noticed.set()
            raise CallerGoneError

        async def wait_until_gone(exchange):
            try:
                await wait(exchange)
            except CallerGoneError:
                return

        async def check(connect, shutdown):
            async with await connect() as stream:
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            await noticed.wait()

        self.run_with(wait_until_gone, check)

    def test_shutdown_finishes_a_request_in_flight_and_closes_after_it(self):
        may_finish = trio.Event()
        begun = trio.Event()

        async def slow(exchange):
            begun.set()
            await may_finish.wait()
            await echo(exchange)

        async def check(connect, shutdown):
            async with await connect() as stream:
                await stream.send_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
                await begun.wait()
                shutdown.set()
                await trio.sleep(0.05)
                may_finish.set()
                received = b""
                while data := await stream.receive_some(65536):
                    received += data
                self.assertIn(b"200", received)
                self.assertIn(b"connection: close", received.lower())

        self.run_with(slow, check)
