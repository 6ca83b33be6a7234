import unittest

from bendwind_core.plans import (
    ControlState,
    EvacuationStatus,
    MarkEvacuated,
    PutRevision,
    Superseded,
    TooManyEvacuated,
    encode_command,
    find_evacuation_warnings,
)
from bendwind_core.plans.state import MAX_EVACUATED_DATA_CENTRES
from bendwind_core.plans.tests.test_state import create, propose
from bendwind_core.world import (
    Configuration,
    Instance,
    Routing,
    Service,
    Upstream,
    UpstreamState,
)


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.state = ControlState()

    def mark(self, name, evacuated=True):
        return propose(self.state, MarkEvacuated(name, evacuated))

    def test_evacuation_changes_the_version_and_a_repeat_changes_nothing(self):
        self.assertEqual(self.mark("north"), EvacuationStatus("north", True, 1, True))
        self.assertEqual(self.mark("north"), EvacuationStatus("north", True, 1, False))
        self.assertEqual(self.state.configuration.evacuated, ("north",))
        self.assertEqual(self.mark("north", False), EvacuationStatus("north", False, 3, True))
        self.assertEqual(self.state.configuration.evacuated, ())

    def test_clearing_an_evacuation_that_is_not_set_changes_nothing(self):
        self.assertEqual(self.mark("north", False), EvacuationStatus("north", False, 0, False))

    def test_evacuations_persist_across_revisions_and_snapshots(self):
        for name in ("south", "north"):
            self.mark(name)
        routing = Routing(7)
        propose(self.state, PutRevision((Service("emisor", ("*",)),), routing, b"document"))
        restored = ControlState()
        restored.restore(self.state.snapshot())
        self.assertEqual(restored.configuration.evacuated, ("north", "south"))
        self.assertEqual(restored.configuration.routing, routing)

    def test_evacuation_closes_open_plans(self):
        plan = create(self.state, 0).plan
        self.mark("north")
        self.assertEqual(self.state.find_plan(plan.id).outcome, Superseded("", 2))
        # A plan that is based on the version with the evacuation keeps the evacuation.
        create(self.state, 1)
        self.assertEqual(self.state.configuration.evacuated, ("north",))

    def test_number_of_evacuated_data_centres_is_bounded(self):
        for number in range(MAX_EVACUATED_DATA_CENTRES):
            self.mark(f"dc-{number}")
        self.assertEqual(self.mark("one-more"), TooManyEvacuated(MAX_EVACUATED_DATA_CENTRES))

    def test_new_state_has_no_evacuation_and_accepts_one(self):
        self.assertEqual(ControlState().configuration.evacuated, ())
        encoded = encode_command(MarkEvacuated("north", True)).ok
        self.assertEqual(ControlState().apply(1, encoded).version, 1)


class WarningTest(unittest.TestCase):
    def upstream(self, name, service, data_centre, state=UpstreamState.READY):
        owner = Instance(f"n-{name}", data_centre, "h", 1, 1)
        return Upstream(name, service, owner, 6, 6, state)

    def test_services_that_lose_upstreams_give_warnings(self):
        upstreams = [
            self.upstream("a1", "agenda", "north"),
            self.upstream("a2", "agenda", "south"),
            self.upstream("e1", "emisor", "north"),
            self.upstream("e2", "emisor", "east"),
            self.upstream("r1", "repositorio", "south"),
            self.upstream("r2", "repositorio", "north", UpstreamState.DRAINING),
        ]
        configuration = Configuration(3, evacuated=("east",))
        found = find_evacuation_warnings(configuration, "north", upstreams)
        lines = [(warning.service, warning.kind, warning.detail) for warning in found]
        self.assertEqual(
            lines,
            [
                ("agenda", "fewer-upstreams", "1 of 2 upstreams are left, with 6 of 12 slots"),
                (
                    "emisor",
                    "no-upstreams",
                    "none of 2 upstreams is left; its requests are refused",
                ),
            ],
        )


if __name__ == "__main__":
    unittest.main()
