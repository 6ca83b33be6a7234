"""Check what a node holds that hears of changes from two voters, one of which skips a version."""

import unittest

from bendwind_core.membership.tests.fakes import TIMES
from bendwind_core.membership.tests.two_voters import BRIEF, KEPT, TwoVotersTest


class SkippedVersionsTest(TwoVotersTest):
    # Failure: a route that version 2 had added and 3 dropped stayed at the node until it changed
    # again, since a voter that skipped 2 does not name it in what changed since 1.
    def test_route_added_by_a_version_that_a_voter_skipped_is_dropped(self):
        self.define(2, (KEPT, BRIEF))
        self.define(3, (KEPT,))
        self.fetch(2)
        self.accept("v0", 3)
        self.release()
        self.advance(3 * TIMES.heartbeat)
        self.assertEqual(self.view.version, 3)

    # Guards against a node that takes "nothing changed since what you stated" for what it holds by
    # the time that it hears so.
    def test_unchanged_is_said_of_what_the_node_stated_not_of_what_it_holds(self):
        self.check_change_there_and_back()

    def test_unchanged_of_a_former_release_is_said_of_what_the_node_stated(self):
        self.former_voters = set(self.registries)
        self.check_change_there_and_back()

    def check_change_there_and_back(self):
        self.define(2, (KEPT,), "other-*")
        self.define(3, (KEPT,))
        self.fetch(2)
        self.accept("v0", 3)
        self.release()
        self.advance(3 * TIMES.heartbeat)
        self.assertEqual(self.view.version, 3)


if __name__ == "__main__":
    unittest.main()
