import unittest

import trio
import trio.testing

from bendwind_core.messages import Goodbye
from bendwind_node.links import Address, query_incarnation
from bendwind_node.links.tests.test_hub import make_hub, wait_until


class IncarnationTest(unittest.TestCase):
    def run_with(self, check):
        async def main():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            address = Address("127.0.0.1", listeners[0].socket.getsockname()[1])
            server = make_hub("b")
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(server.run, listeners)
                    await check(server, address, nursery)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_voter_reports_the_newest_incarnation_among_its_links(self):
        async def check(server, address, nursery):
            client = make_hub("a", 7)
            client.nursery = nursery
            client.set_address("b", address.host, address.port)
            client.send("b", Goodbye("a"))
            await wait_until(server.receiver, lambda: server.receiver.received)
            self.assertEqual(await query_incarnation("a", [address]), 7)

        self.run_with(check)

    def test_voter_reports_the_registered_incarnation(self):
        async def check(server, address, nursery):
            server.find_registered_incarnation = {"a": 9}.get
            self.assertEqual(await query_incarnation("a", [address]), 9)

        self.run_with(check)

    def test_query_returns_zero_if_no_voter_answers(self):
        async def main():
            return await query_incarnation("a", [Address("127.0.0.1", 1)])

        self.assertEqual(trio.run(main), 0)


class LivenessCheckTest(unittest.TestCase):
    def test_link_whose_peer_sends_no_pong_is_closed(self):
        async def main():
            listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = listeners[0].socket.getsockname()[1]
            server, client = make_hub("b"), make_hub("a")
            own = await trio.open_tcp_listeners(0, host="127.0.0.1")
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    scope = trio.CancelScope()
                    nursery.start_soon(self.serve, server, listeners, scope)
                    nursery.start_soon(client.run, own)
                    client.set_address("b", "127.0.0.1", port)
                    await trio.testing.wait_all_tasks_blocked()
                    client.send("b", Goodbye("a"))
                    await wait_until(client.receiver, lambda: client.receiver.opened)
                    link = client.receiver.opened[0]
                    # A peer that lost power answers no ping and does not close its connection.
                    link.ping = _ping_without_pong
                    link.send(Goodbye("a"))
                    await wait_until(client.receiver, lambda: client.receiver.closed)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def serve(self, server, listeners, scope):
        with scope:
            await server.run(listeners)


async def _ping_without_pong():
    return trio.Event()


if __name__ == "__main__":
    unittest.main()
