"""Check that no message of a peer, however extreme its numbers, ends a voter or a node."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.membership import MessageReceived, messages
from bendwind_core.membership.tests.fakes import SERVICES, VOTERS, World
from bendwind_core.messages import decode_message, encode_message
from bendwind_core.plans.tests.extremes import draw_messages
from bendwind_core.quotas import (
    QuotaLoan,
    QuotaLoanRequest,
    QuotaReply,
    QuotaRequest,
    QuotaReturn,
    handle_quota_reply,
)
from bendwind_core.quotas.tests.quota_world import Model, deliver_to_voter
from bendwind_core.world import Customer

NODE, CUSTOMER = "n0", "c"
TO_VOTERS = (
    messages.Heartbeat,
    messages.Announce,
    messages.Watch,
    messages.ConfigurationQuery,
    messages.MemberGossip,
    messages.MemberDigest,
    messages.MemberPull,
    messages.SuspectReports,
)
TO_NODES = (
    messages.HeartbeatReply,
    messages.ConfigurationAnswer,
    messages.ConfigurationChanged,
    messages.WatchUpdate,
    messages.VoterList,
    messages.SuspectReports,
)
OF_QUOTAS = (QuotaRequest, QuotaReturn, QuotaLoan, QuotaLoanRequest, QuotaReply)
TEXTS = (NODE, VOTERS[1], SERVICES[0], f"{NODE}#1", CUSTOMER)


class ExtremeMessagesTest(unittest.TestCase):
    def check_each(self, kinds, receive):
        for kind in kinds:

            @given(st.lists(draw_messages(kind, TEXTS), min_size=1, max_size=2))
            def check(drawn):
                receive([decode_message(encode_message(message)).ok for message in drawn])

            with self.subTest(kind=kind.__name__):
                check()

    def start_world(self):
        world = World(1)
        world.start_node(NODE, "dc0")
        world.advance(0.5)
        return world

    def test_voters_go_on_after_every_message_of_nodes_and_voters(self):
        def receive(received):
            world = self.start_world()
            for message in received:
                for sender in (NODE, VOTERS[0]):
                    world.step(VOTERS[1], MessageReceived(sender, message))
            world.advance(0.3)

        self.check_each(TO_VOTERS, receive)

    def test_nodes_go_on_after_every_message_of_voters(self):
        def receive(received):
            world = self.start_world()
            for message in received:
                world.step(NODE, MessageReceived(world.nodes[NODE].view.voter, message))
            world.advance(0.3)

        self.check_each(TO_NODES, receive)

    def test_quotas_go_on_after_every_message(self):
        def receive(received):
            model = Model((Customer(CUSTOMER, (), None, 5.0, 3.0),), nodes=1, voters=2)
            model.run(0.1)
            for message in received:
                deliver_to_voter(model.voters["v0"], VOTERS[1], message, model.now)
                if isinstance(message, QuotaReply):
                    handle_quota_reply(model.nodes[NODE].quotas, "v0", message, model.now)
            model.request(CUSTOMER, NODE)
            model.run(0.3)

        self.check_each(OF_QUOTAS, receive)


if __name__ == "__main__":
    unittest.main()
