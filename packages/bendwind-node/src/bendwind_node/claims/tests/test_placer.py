import random
import unittest

import trio
import trio.testing

from bendwind_core.claims import ClaimCopied, ClaimGroup, ClaimLeave, format_member
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance, Service
from bendwind_node.claims.placer import ClaimPlacer, PlacementView

LEASE = 4.0
NODES = tuple(Instance(f"n{i}", f"dc{i}", "127.0.0.1", 1, 1) for i in range(4))


class TestClaimPlacer(unittest.TestCase):
    def run_with(self, check):
        async def main():
            self.groups = {}
            self.services = (Service("emisor", ("*",)),)
            self.recorder = Recorder("v", lambda: 0, 100)
            self.alive = NODES
            self.leader_for = 0.0
            self.newest_incarnations = {}
            placer = ClaimPlacer(
                self.make_view, self.propose, random.Random(1), LEASE, self.recorder
            )
            await check(placer)

        trio.run(main, clock=trio.testing.MockClock(rate=0.0, autojump_threshold=0.0))

    def make_view(self):
        self.newest_incarnations |= {node.name: node.incarnation for node in self.alive}
        is_return_period_over = self.leader_for >= 3 * LEASE
        return PlacementView(
            self.leader_for,
            self.services,
            self.groups,
            self.alive,
            {},
            self.newest_incarnations,
            is_return_period_over,
        )

    async def propose(self, command):
        self.groups[command.group.service] = command.group

    async def place(self, placer, times=1, alive=None, leader_for=1000.0):
        self.leader_for = leader_for
        self.alive = NODES if alive is None else alive
        for _ in range(times):
            await placer.propose_changes()
            await trio.sleep(0.5)
        return self.groups.get("emisor")

    def test_first_group_is_created_one_lease_after_the_election(self):
        async def check(placer):
            self.assertIsNone(await self.place(placer, leader_for=LEASE - 0.1))
            self.assertEqual(len((await self.place(placer, leader_for=LEASE)).members), 3)

        self.run_with(check)

    def test_group_whose_members_name_no_run_is_replaced(self):
        async def check(placer):
            self.groups["emisor"] = ClaimGroup("emisor", 7, ("n0#x", f"n1#{'9' * 5000}"))
            await self.place(placer, times=80, leader_for=2 * LEASE)
            self.assertTrue(self.groups["emisor"].lost)
            self.assertEqual(self.recorder.events, [])

        self.run_with(check)

    def test_service_whose_change_fails_keeps_no_other_from_its_group(self):
        async def check(placer):
            self.services = tuple(Service(name, ("*",)) for name in ("broken", "emisor"))
            accept = placer.propose

            async def propose(command):
                if command.group.service == "broken":
                    raise RuntimeError("broken")
                await accept(command)

            placer.propose = propose
            self.assertEqual(len((await self.place(placer)).members), 3)
            kinds = [event.kind for event in self.recorder.events]
            self.assertEqual(kinds, [EventKind.TASK_FAILED])

        self.run_with(check)

    def test_replacement_is_a_member_only_after_its_copy(self):
        async def check(placer):
            group = await self.place(placer)
            alive = tuple(node for node in NODES if format_member(node) != group.members[0])
            copying = await self.place(placer, 5, alive=alive)
            self.assertEqual(copying.members, group.members[1:])
            placer.receive(ClaimCopied("emisor", copying.epoch - 1, copying.joining))
            self.assertEqual(await self.place(placer, alive=alive), copying)
            placer.receive(ClaimCopied("emisor", copying.epoch, copying.joining))
            whole = await self.place(placer, alive=alive)
            self.assertEqual(whole.members, (*copying.members, copying.joining))

        self.run_with(check)

    def test_leaving_member_is_removed_only_after_its_replacement_joined(self):
        async def check(placer):
            leaving = (await self.place(placer)).members[0]
            placer.receive(ClaimLeave(leaving))
            for _ in range(3):
                group = await self.place(placer)
                self.assertGreaterEqual(len(group.members), 3)
                if group.joining:
                    placer.receive(ClaimCopied("emisor", group.epoch, group.joining))
            self.assertNotIn(leaving, group.members)

        self.run_with(check)

    def test_new_leader_keeps_holders_until_nodes_had_time_to_reconnect(self):
        # A leader that drops them too early takes nodes that are not connected yet for dead nodes.
        async def check(placer):
            group = await self.place(placer)
            self.newest_incarnations.clear()
            alone = tuple(node for node in NODES if format_member(node) == group.members[0])
            self.assertEqual(await self.place(placer, 4, alive=alone, leader_for=2 * LEASE), group)
            changed = await self.place(placer, alive=alone, leader_for=4 * LEASE)
            self.assertEqual(changed.members, group.members[:1])

        self.run_with(check)

    def test_known_holder_that_stops_renewing_is_removed_immediately(self):
        # A leader that waits for every holder leaves a new cluster without keyed calls for three
        # leases.
        async def check(placer):
            group = await self.place(placer, leader_for=LEASE)
            rest = tuple(node for node in NODES if format_member(node) != group.members[0])
            changed = await self.place(placer, alive=rest, leader_for=LEASE + 1)
            self.assertEqual(changed.members, group.members[1:])

        self.run_with(check)

    def test_group_is_lost_only_after_all_holders_are_missing_for_the_delay(self):
        async def check(placer):
            group = await self.place(placer)
            rounds = 60
            self.assertEqual(await self.place(placer, rounds - 1, alive=()), group)
            self.assertEqual(await self.place(placer), group)
            self.assertEqual(await self.place(placer, rounds, alive=()), group)
            lost = await self.place(placer, 1, alive=())
            self.assertEqual((lost.lost, lost.epoch), (True, group.epoch + 1))
            self.assertIsInstance(lost, ClaimGroup)

        self.run_with(check)
