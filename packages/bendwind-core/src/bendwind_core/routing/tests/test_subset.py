import unittest

from hypothesis import given
from hypothesis import strategies as st

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.routing import choose_subset
from bendwind_core.routing.subset import SUBSET_SIZE
from bendwind_core.world import Instance, Upstream, UpstreamState


def make_upstream(number, state=UpstreamState.READY):
    owner = Instance(f"n{number}", f"dc{number % 3}", "127.0.0.1", 1, 1)
    return Upstream(f"u{number}", "svc", owner, 4, 8, state)


NUMBERS = st.sets(st.integers(0, 60), min_size=1, max_size=40)
STATES = st.sampled_from(UpstreamState)


class TestChooseSubset(unittest.TestCase):
    @given(st.dictionaries(st.integers(0, 60), STATES, max_size=40), st.sampled_from("abc"))
    def test_contains_usable_upstreams_up_to_the_subset_size(self, states, node):
        upstreams = [make_upstream(number, state) for number, state in states.items()]
        chosen = choose_subset(node, "dc0", upstreams)
        self.assertEqual(len(set(chosen)), len(chosen))
        self.assertLessEqual(set(chosen), set(upstreams))
        self.assertNotIn(UpstreamState.GONE, [upstream.state for upstream in chosen])
        ready = sum(upstream.state is UpstreamState.READY for upstream in upstreams)
        self.assertGreaterEqual(len(chosen), min(ready, SUBSET_SIZE))
        self.assertLessEqual(len(chosen), SUBSET_SIZE)

    @given(NUMBERS, st.integers(0, 60))
    def test_removing_one_upstream_changes_at_most_one_member(self, numbers, gone):
        before = set(choose_subset("a", "dc0", [make_upstream(n) for n in numbers]))
        after = set(choose_subset("a", "dc0", [make_upstream(n) for n in numbers - {gone}]))
        self.assertLessEqual(len(after - before), 1)
        self.assertLessEqual(len(before - after), 1)

    def test_nodes_spread_over_all_upstreams(self):
        upstreams = [make_upstream(number) for number in range(23)]
        used = [u.name for node in range(400) for u in choose_subset(f"n{node}", "dc0", upstreams)]
        counts = [used.count(upstream.name) for upstream in upstreams]
        self.assertGreater(min(counts), 0.5 * len(used) / 23)

    def test_at_least_half_is_from_the_own_data_centre(self):
        chosen = choose_subset("a", "dc1", [make_upstream(number) for number in range(40)])
        near = [upstream for upstream in chosen if upstream.owner.data_centre == "dc1"]
        self.assertGreaterEqual(len(near), SUBSET_SIZE // 2)
