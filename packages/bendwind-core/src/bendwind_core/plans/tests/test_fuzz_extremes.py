"""Check that no entry of the log, whatever it holds, ends the voters that apply it."""

import typing
import unittest

import msgspec
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
    EntryError,
    PutRevision,
    RecordRuns,
    decode_command,
    encode_command,
)
from bendwind_core.plans.tests.extremes import LARGEST, SMALLEST, draw_commands, has_non_finite
from bendwind_core.runs import RunRecord
from bendwind_core.world import Customer, Routing, Service


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
            fitting = fit(command, state, is_fitting)
            encoded = encode_command(fitting)
            self.assertEqual(encoded.is_error(), has_non_finite(fitting), fitting)
            if encoded.is_error():
                continue
            entry = encoded.ok
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

    def test_entry_that_cannot_be_decoded_is_named_and_changes_nothing(self):
        state = ControlState()
        state.apply(1, encode_command(PutRevision((), Routing(1), b"text")).ok)
        held = state.snapshot()
        whole = encode_command(ConfirmPlan(1, 2)).ok
        unknown = msgspec.msgpack.encode(["another-command", 1])
        wrong = msgspec.msgpack.encode(["confirm-plan", "x" * 5_000, None])
        for entry in (whole[:-1], whole + b"\0", unknown, wrong, b"\xc1", b"\x91" * 100_000):
            with self.assertRaises(EntryError) as raised:
                state.apply(2, entry)
            text = str(raised.exception)
            self.assertTrue(text.startswith(f"entry 2 of {len(entry)} bytes: "), text)
            self.assertLess(len(text), 400)
            self.assertEqual(state.snapshot(), held)

    def test_commands_with_very_many_items_are_applied_saved_and_restored(self):
        services = tuple(Service(f"s{number}", ("*",)) for number in range(10_000))
        customers = tuple(Customer(f"c{number}") for number in range(20_000))
        records = tuple(RunRecord(f"i{number % 50}", f"u{number}") for number in range(20_000))
        members = tuple(f"n{number}#1" for number in range(20_000))
        changes = Changes(services, tuple(service.name for service in services[:5_000]))
        self.check(
            [
                (PutRevision(services, Routing(1), b"", customers), True),
                (CreatePlan("r", b"", 0, changes, 1, 1_000), True),
                (ConfirmPlan(2, 2), True),
                (RecordRuns(1, records), True),
                (RecordRuns(LARGEST, records[::-1]), True),
                (ChangeClaimGroup(ClaimGroup("s", 1, members), 0), True),
                (PutRevision((), Routing(1), b"", (*customers[:9], *customers[:9])), True),
            ]
        )

    def test_revision_that_nothing_can_follow_leaves_all_other_commands_working(self):
        last = PutRevision((), Routing(LARGEST), b"")
        self.check([(last, False), (last, False), (CreatePlan("r", b"", 0, Changes(), 0, 1), True)])


if __name__ == "__main__":
    unittest.main()
