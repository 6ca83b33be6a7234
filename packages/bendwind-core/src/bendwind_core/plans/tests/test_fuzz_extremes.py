"""Check that no entry of the log, whatever it holds, ends the voters that apply it."""

import typing
import unittest

from hypothesis import example, given
from hypothesis import strategies as st
from msgspec.structs import replace

import bendwind_core.core.tests.profiles  # noqa: F401
from bendwind_core.claims import ChangeClaimGroup, ClaimGroup
from bendwind_core.plans import (
    Changes,
    Command,
    ConfirmPlan,
    ControlState,
    CreatePlan,
    PutRevision,
    RecordRuns,
    decode_command,
    encode_command,
)
from bendwind_core.plans.tests.extremes import LARGEST, SMALLEST, draw_commands
from bendwind_core.runs import RunRecord
from bendwind_core.world import Routing


def fit(command, state, is_fitting):
    """Return a command, based on what the state holds if it is to be a fitting one."""
    if not is_fitting:
        return command
    match command:
        case CreatePlan():
            return replace(command, base_version=state.configuration.version)
        case ConfirmPlan():
            return replace(command, index=next(iter(state.plans.open), 1))
        case ChangeClaimGroup(group=group):
            held = state.claim_groups.get(group.service, ClaimGroup("", 0, ()))
            return replace(
                command,
                expected_epoch=held.epoch,
                group=replace(group, epoch=held.epoch + 1, lost=held.epoch > 0 and group.lost),
            )
        case PutRevision(routing=routing):
            return replace(
                command, routing=replace(routing, revision=state.configuration.routing.revision + 1)
            )
    return command


def restore(state):
    restored = ControlState()
    restored.restore(state.snapshot())
    return restored


class ExtremeCommandsTest(unittest.TestCase):
    def check(self, commands):
        state, restored = ControlState(), ControlState()
        for index, (command, is_fitting) in enumerate(commands, start=1):
            entry = encode_command(fit(command, state, is_fitting)).ok
            decode_command(entry)
            result, other = state.apply(index, entry), restored.apply(index, entry)
            self.assertEqual(repr(result), repr(other))
            self.assertEqual(state.snapshot(), restored.snapshot())
            restored = restore(restored)
            self.assertEqual(state.snapshot(), restored.snapshot())

    @given(st.lists(st.tuples(draw_commands(), st.booleans()), max_size=8))
    @example([(CreatePlan("r", b"", 0, Changes(), LARGEST, LARGEST), True)])
    @example([(CreatePlan("r", b"", 0, Changes(), SMALLEST, SMALLEST), True)])
    @example(
        [(RecordRuns(LARGEST, (RunRecord("i", "u"),)), True), (RecordRuns(SMALLEST, ()), True)]
    )
    def test_any_sequence_of_commands_is_applied_saved_and_restored(self, commands):
        self.check(commands)

    def test_commands_of_each_kind_with_each_extreme_are_applied_saved_and_restored(self):
        for kind in typing.get_args(Command):

            @given(st.lists(st.tuples(draw_commands(kind), st.just(True)), min_size=1, max_size=3))
            def check(commands):
                self.check(commands)

            with self.subTest(kind=kind.__name__):
                check()

    def test_revision_that_nothing_can_follow_leaves_all_other_commands_working(self):
        last = PutRevision((), Routing(LARGEST), b"")
        self.check([(last, False), (last, False), (CreatePlan("r", b"", 0, Changes(), 0, 1), True)])


if __name__ == "__main__":
    unittest.main()
