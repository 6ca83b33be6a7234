import unittest
from dataclasses import replace

import trio

from bendwind_core.timeline import EventKind
from bendwind_core.world import Service, UpstreamState
from bendwind_node.calls.dialect import BENDWIND_DIALECT
from bendwind_node.calls.owned_upstream import Announcement
from bendwind_node.calls.tests import test_dialect
from bendwind_node.calls.tests.fakes import CallTestCluster, make_exchange
from bendwind_node.calls.tests.scripted_server import read_request, run_server
from bendwind_node.calls.upstream_notice import UpstreamNotice, read_notice

DIALECT = replace(test_dialect.DIALECT, rate_limit=b"limit", leaving=b"leaving")
LONG = b"9" * 10_000


def read(*values, name=b"bendwind-rate-limit"):
    return read_notice(tuple((name, value) for value in values), BENDWIND_DIALECT)


class ReadNoticeTest(unittest.TestCase):
    def test_decimal_numbers_are_limits(self):
        for text, figure in ((b"6.2", 6.2), (b" 60 ", 60.0), (b"0", 0.0), (b"0.01", 0.01)):
            self.assertEqual(read(text), UpstreamNotice(figure))

    def test_malformed_limits_are_ignored_and_reported(self):
        for text in (b"", b"-1", b"nan", b"inf", b"1e400", b"5, 6", b"5;6", b"+5", LONG):
            notice = read(text)
            self.assertIsNone(notice.limit_per_s, text[:10])
            self.assertTrue(notice.malformed)
            self.assertLessEqual(len(notice.malformed), 32)
        self.assertTrue(read(b"5", b"5").malformed)

    def test_only_the_value_1_marks_an_upstream_as_leaving(self):
        self.assertTrue(read(b"1", name=b"bendwind-leaving").is_leaving)
        self.assertEqual(read(b"0", name=b"bendwind-leaving"), UpstreamNotice())
        for text in (b"", b"true", b"11"):
            notice = read(text, name=b"bendwind-leaving")
            self.assertFalse(notice.is_leaving)
            self.assertTrue(notice.malformed)


class NoticesPathTest(unittest.TestCase):
    """Answer a call by a scripted upstream, and check which notices its owner node applied."""

    def run_with(self, answer, check):
        async def handler(stream, number):
            while data := await read_request(stream):
                if data.startswith(b"GET /well"):
                    await stream.send_all(make_answer(b"me: u1"))
                    continue
                await stream.send_all(answer)
                if answer.endswith(b"broken"):
                    await stream.aclose()
                    return

        async def main():
            with trio.fail_after(20):
                async with run_server(handler) as port, trio.open_nursery() as nursery:
                    cluster = CallTestCluster(nursery, Service("svc", ("*",), health_path="/well"))
                    cluster.entry.dialect = cluster.owner.dialect = DIALECT
                    cluster.owner.register.dialect = DIALECT
                    cluster.owner.register.find_health_path = lambda name: "/well"
                    for sequence in (1, 2):
                        announce(cluster, port, sequence)
                    await check(cluster, port)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    async def call(self, cluster):
        return await cluster.call(make_exchange(b"POST", service="svc", id="q1"))

    def check_limit(self, answer, limit):
        async def check(cluster, port):
            await self.call(cluster)
            owned = cluster.owner.register.owned["u1"]
            self.assertEqual(owned.owner_state.rate_limit.per_second, limit)

        self.run_with(answer, check)

    def test_limit_is_read_from_every_answer_of_the_upstream_itself(self):
        named = b"limit: 7.5\r\n"
        answers = {
            "well": make_answer(named + b"id: q1"),
            "failed": make_answer(named + b"id: q1", b"500 Failed"),
            "refused": make_answer(named + b"id: q1\r\nunrun: 1", b"503 Full"),
            "refused without an id": make_answer(named + b"unrun: 1", b"400 No Id"),
            "broken off": make_answer(named + b"id: q1", length=100) + b"broken",
        }
        for name, answer in answers.items():
            with self.subTest(name):
                self.check_limit(answer, 7.5)

    def test_limit_is_not_read_from_other_answers(self):
        answers = {
            "of another upstream": make_answer(b"id: q1\r\nlimit: 7.5", b"421 Misdirected"),
            "to another request": make_answer(b"id: q9\r\nlimit: 7.5"),
            "bytes behind it": make_answer(b"id: q1") + make_answer(b"id: q1\r\nlimit: 7.5"),
            "malformed": make_answer(b"id: q1\r\nlimit: inf"),
        }
        for name, answer in answers.items():
            with self.subTest(name):
                self.check_limit(answer, None)

    def test_many_different_notices_are_logged_in_few_lines(self):
        async def check(cluster, port):
            owned = cluster.owner.register.owned["u1"]
            for number in range(1000):
                notice = UpstreamNotice(float(number), malformed=b"x")
                cluster.owner.handle_notice(owned, notice, trio.current_time())
            counts = cluster.owner.recorder.counts
            self.assertLessEqual(counts[EventKind.UPSTREAM_LIMIT], 2)
            self.assertLessEqual(counts[EventKind.NOTICE_MALFORMED], 2)

        self.run_with(make_answer(b"id: q1"), check)

    def test_leaving_upstream_is_published_as_draining_and_stays_so_after_announcements(self):
        async def check(cluster, port):
            await self.call(cluster)
            owned = cluster.owner.register.owned["u1"]
            self.assertIs(owned.upstream.state, UpstreamState.DRAINING)
            announce(cluster, port, 9)
            self.assertIs(owned.upstream.state, UpstreamState.DRAINING)
            self.assertEqual((await self.call(cluster)).status, 503)

        self.run_with(make_answer(b"id: q1\r\nleaving: 1"), check)

    def test_refusal_of_another_request_does_not_prove_that_this_one_did_not_run(self):
        async def check(cluster, port):
            self.assertEqual((await self.call(cluster)).status, 502)

        self.run_with(make_answer(b"id: q9\r\nunrun: 1", b"503 Full"), check)


def make_answer(headers, status=b"200 OK", length=2):
    head = b"HTTP/1.1 " + status + b"\r\n" + headers + b"\r\ncontent-length: %d" % length
    return head + b"\r\n\r\nok"


def announce(cluster, port, sequence):
    cluster.owner.register.handle_announcement(
        Announcement("u1", "svc", "127.0.0.1", port, 4, 4, UpstreamState.READY, sequence)
    )


if __name__ == "__main__":
    unittest.main()
