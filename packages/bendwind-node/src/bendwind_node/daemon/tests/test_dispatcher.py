import types
import typing
import unittest

from bendwind_core.claims import ClaimMessage
from bendwind_core.membership import messages as member
from bendwind_core.messages import Goodbye, Hello
from bendwind_core.messages.codec import PeerMessage
from bendwind_core.quotas import QuotaLoan, QuotaLoanRequest, QuotaReply, QuotaRequest, QuotaReturn
from bendwind_node.daemon.dispatcher import Dispatcher

MEMBERSHIP_MESSAGES = (
    member.HeartbeatReply,
    member.ConfigurationChanged,
    member.WatchUpdate,
    member.VoterList,
)


class HandlersTest(unittest.TestCase):
    def setUp(self):
        self.dispatcher = Dispatcher("n1")
        self.dispatcher.entry = types.SimpleNamespace(receive="entry")
        self.dispatcher.owner = types.SimpleNamespace(receive="owner")

    def choose_handler(self, kind):
        return self.dispatcher._choose_handler(kind)

    def test_messages_from_voters_to_nodes_reach_membership(self):
        for kind in MEMBERSHIP_MESSAGES:
            self.assertEqual(
                self.choose_handler(kind), self.dispatcher._dispatch_to_membership, kind
            )

    def test_only_claim_messages_reach_the_claim_task(self):
        dispatched = {
            kind
            for kind in typing.get_args(PeerMessage)
            if self.choose_handler(kind) == self.dispatcher._dispatch_to_claims
        }
        self.assertLessEqual(dispatched, set(typing.get_args(ClaimMessage)))

    def test_quota_requests_reach_the_voter_and_quota_replies_the_node(self):
        self.assertEqual(self.choose_handler(QuotaReply), self.dispatcher._dispatch_to_quotas)
        for kind in (QuotaRequest, QuotaReturn, QuotaLoan, QuotaLoanRequest):
            self.assertIsNone(self.choose_handler(kind), kind)
        self.dispatcher.control = types.SimpleNamespace()
        for kind in (QuotaRequest, QuotaReturn, QuotaLoan, QuotaLoanRequest):
            self.assertEqual(
                self.choose_handler(kind), self.dispatcher._dispatch_to_voter_quotas, kind
            )

    def test_hello_and_goodbye_have_no_handler(self):
        self.assertIsNone(self.choose_handler(Hello))
        self.assertIsNone(self.choose_handler(Goodbye))


if __name__ == "__main__":
    unittest.main()
