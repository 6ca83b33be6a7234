import types
import typing
import unittest

from bendwind_core.claims import ClaimMessage
from bendwind_core.membership import messages as member
from bendwind_core.messages import Goodbye, Hello
from bendwind_core.messages.codec import PeerMessage
from bendwind_core.quotas import QuotaLoan, QuotaLoanRequest, QuotaReply, QuotaRequest, QuotaReturn
from bendwind_node.daemon.dispatcher import Dispatcher

TO_NODE = (
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

    def find(self, kind):
        return self.dispatcher._choose_handler(kind)

    def test_all_that_a_voter_tells_a_node_reaches_its_membership(self):
        for kind in TO_NODE:
            self.assertEqual(self.find(kind), self.dispatcher._dispatch_to_membership, kind)

    def test_only_claim_messages_reach_the_claims(self):
        taken = {
            kind
            for kind in typing.get_args(PeerMessage)
            if self.find(kind) == self.dispatcher._dispatch_to_claims
        }
        self.assertLessEqual(taken, set(typing.get_args(ClaimMessage)))

    def test_questions_about_quotas_reach_the_voter_and_answers_the_node(self):
        self.assertEqual(self.find(QuotaReply), self.dispatcher._dispatch_to_quotas)
        for kind in (QuotaRequest, QuotaReturn, QuotaLoan, QuotaLoanRequest):
            self.assertIsNone(self.find(kind), kind)
        self.dispatcher.control = types.SimpleNamespace()
        for kind in (QuotaRequest, QuotaReturn, QuotaLoan, QuotaLoanRequest):
            self.assertEqual(self.find(kind), self.dispatcher._dispatch_to_voter_quotas, kind)

    def test_greetings_have_no_task(self):
        self.assertIsNone(self.find(Hello))
        self.assertIsNone(self.find(Goodbye))


if __name__ == "__main__":
    unittest.main()
