"""Check that differences are exact and that each loosened rule gives a warning."""

import itertools
import unittest

import msgspec
from hypothesis import given
from hypothesis import strategies as st

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.plans import (
    Changes,
    DifferenceKind,
    apply_changes,
    compute_differences,
    find_warnings,
    render_plan,
)
from bendwind_core.plans.warning import WarningKind
from bendwind_core.world import Configuration, Limits, Policy, Repeat, Rule, Service, find_rule

METHODS = ("GET", "POST")
PATTERNS = ("*", "/a", "/a*", "*b", "/a/*", "/*/b")
PATHS = ("/a", "/b", "/ab", "/axb", "/a/x", "/a/b", "/a/x/b", "/x/b", "/c")

rules = st.builds(
    Rule,
    st.sampled_from(PATTERNS),
    st.lists(st.sampled_from(METHODS), unique=True).map(tuple),
    st.sampled_from(Repeat),
    st.booleans(),
    st.sampled_from([None, 500.0]),
)
services = st.builds(
    Service,
    st.sampled_from(["agenda", "emisor"]),
    st.sampled_from([("*",), ("a-*", "b-*")]),
    st.sampled_from([(), ("a.example",)]),
    st.lists(rules, max_size=4, unique=True).map(tuple),
    st.sampled_from([1000.0, 2000.5]),
    st.builds(Limits, st.sampled_from([8, 16])),
    st.sampled_from([Policy.SCORE, Policy.RANDOM]),
)


def change(before: tuple[Service, ...], after: Service):
    configuration = Configuration(1, tuple(sorted(before, key=lambda service: service.name)))
    changes = Changes((after,))
    return configuration, changes, compute_differences(configuration, changes)


class DifferenceTest(unittest.TestCase):
    @given(services, services)
    def test_differences_exist_exactly_when_services_differ(self, before, after):
        after = msgspec.structs.replace(after, name=before.name)
        configuration, changes, differences = change((before,), after)
        self.assertEqual(bool(differences), before != after)
        self.assertEqual(apply_changes(configuration, changes, 2).services, (after,))
        shown = render_plan(differences, find_warnings(configuration, changes, differences, ()))
        self.assertTrue(shown)

    @given(services, services)
    def test_every_loosened_request_gives_a_warning(self, before, after):
        after = msgspec.structs.replace(after, name=before.name)
        configuration, changes, differences = change((before,), after)
        warnings = find_warnings(configuration, changes, differences, ())
        is_warned = any(w.kind is WarningKind.RULE_LOOSENED for w in warnings)
        for method, path in itertools.product(METHODS, PATHS):
            old, new = (find_rule(service, method, path) for service in (before, after))
            is_looser = old.repeat is Repeat.NEVER and new.repeat is Repeat.IDEMPOTENT
            if is_looser or (old.key_required and not new.key_required):
                self.assertTrue(is_warned, f"{method} {path}: {old} -> {new}")

    def test_rule_moved_before_a_stricter_one_is_reported_as_loosened(self):
        strict = Rule("/a*", ("POST",), Repeat.NEVER, key_required=True)
        wide = Rule("*b", ("POST",))
        before = Service("emisor", ("*",), rules=(strict, wide))
        _, _, differences = change((before,), msgspec.structs.replace(before, rules=(wide, strict)))
        kinds = [difference.kind for difference in differences]
        self.assertIn(DifferenceKind.RULES_REORDERED, kinds)
        self.assertIn(DifferenceKind.RULE_LOOSENED, kinds)


if __name__ == "__main__":
    unittest.main()
