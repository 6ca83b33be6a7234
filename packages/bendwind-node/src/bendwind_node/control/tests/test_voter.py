import random
import tempfile
import unittest
from pathlib import Path

import trio
import trio.testing

from bendwind_core.consensus import Offer, ReplicaSettings, Voter
from bendwind_core.membership import VoterPlace
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.control.voter import ControlVoter, VoterStopped, open_voter, run_voter
from bendwind_node.control.voter_outcomes import Applied
from bendwind_node.storage import open_folder

NAMES = ("a", "b", "c")
SETTINGS = ReplicaSettings(
    heartbeat_s=0.02, election_s=0.2, snapshot_entries=20, kept_entries=5, barrier_s=2.0
)


def second_of(lost):
    return next(name for name in NAMES if name != lost)


class Register:
    """Keep every command, as a state machine would."""

    def __init__(self):
        self.commands = []

    def apply(self, index: int, command: bytes) -> object:
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self) -> bytes:
        return b",".join(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = data.split(b",") if data else []


class Deployment:
    """Run voters on real folders with links in memory."""

    def __init__(self, nursery: trio.Nursery, folder: Path):
        self.nursery = nursery
        self.folder = folder
        self.voters: dict[str, ControlVoter] = {}
        self.scopes: dict[str, trio.CancelScope] = {}
        self.recorders = {name: Recorder(name, lambda: 0, 1000) for name in NAMES}
        self.cut: set[str] = set()
        self.runs = 0

    def start(self, name: str, folder: str | None = None) -> ControlVoter:
        self.runs += 1
        files = open_folder(self.folder / (folder or name))
        rng = random.Random(self.runs)

        def send(to, message):
            if to in self.voters and not {name, to} & self.cut:
                self.voters[to].deliver(name, message)

        opened = open_voter(
            VoterPlace(name), NAMES, files, Register(), send, self.recorders[name], rng, SETTINGS
        )
        self.voters[name] = opened.ok
        self.scopes[name] = trio.CancelScope()
        self.nursery.start_soon(self._run, name, opened.ok, self.scopes[name])
        return opened.ok

    async def _run(self, name: str, voter: ControlVoter, scope: trio.CancelScope) -> None:
        with scope:
            await run_voter(voter)

    async def stop(self, name: str) -> None:
        self.scopes[name].cancel()
        while self.voters[name].stopped is None:
            await trio.sleep(0.01)
        del self.voters[name]

    async def leader(self) -> ControlVoter:
        while True:
            for voter in self.voters.values():
                if voter.is_leader and (await voter.barrier()).is_ok():
                    return voter
            await trio.sleep(0.01)

    async def propose(self, command: bytes) -> Applied:
        """Propose until a confirmed leader holds the command, each of which is proposed once.

        Elections take 0.2 s here: on a busy machine a leader may lose its office before it answers,
        and has told so by an error.
        """
        result = await (await self.leader()).propose(command)
        while result.is_error():
            leader = await self.leader()
            held = leader.state_machine.commands
            if command in held:
                return Applied(leader.replica.commit, held.index(command) + 1)
            result = await leader.propose(command)
        return result.ok


class VoterTest(unittest.TestCase):
    def test_place_of_whoever_offers_itself_is_learned(self):
        # A voter that was replaced while it was away offers itself by another one's hand. A leader
        # that did not know where to reach it answered nobody, and it stayed outside for good.
        async def scenario(deployment):
            learned = []
            voter = deployment.start("a")
            voter.update_member_address = learned.append
            replaced = Voter("d", 7, "127.0.0.1", 4444)
            voter.deliver("b", Offer(replaced, is_passed_on=True))
            self.assertEqual(learned, [replaced])

        self.run_deployment(scenario)

    def run_deployment(self, scenario) -> None:
        async def run():
            with tempfile.TemporaryDirectory() as folder, trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    await scenario(Deployment(nursery, Path(folder)))
                    nursery.cancel_scope.cancel()

        trio.run(run)

    def test_three_empty_voters_form_commit_and_survive_a_restart_of_all(self):
        async def scenario(deployment):
            for name in NAMES:
                deployment.start(name)
            for number in range(50):
                applied = await deployment.propose(b"%d" % number)
                self.assertEqual(applied.value, number + 1)
            leader = await deployment.leader()
            await leader.transfer_leadership()
            self.assertFalse(leader.is_leader)
            for name in NAMES:
                await deployment.stop(name)
            for name in NAMES:
                deployment.start(name)
            await deployment.leader()
            for voter in deployment.voters.values():
                self.assertTrue((await voter.barrier()).is_ok())
                expected = [b"%d" % number for number in range(50)]
                self.assertEqual(voter.state_machine.commands, expected)

        self.run_deployment(scenario)

    def test_an_emptied_voter_learns_then_votes_and_its_old_disk_never_does_again(self):
        async def scenario(deployment):
            for name in NAMES:
                deployment.start(name)
            await deployment.propose(b"x")
            lost = next(name for name in NAMES if deployment.voters[name].is_leader)
            old_id = deployment.voters[lost].replica.voter.voter_id
            await deployment.stop(lost)
            for number in range(40):
                await deployment.propose(b"%d" % number)
            new = deployment.start(lost, lost + "-new")
            # As long as both count, a second voter that stops holds the change up until it is back.
            while new.replica.voter not in new.replica.voters.voters:
                await trio.sleep(0.02)
            kinds = {event.kind for event in deployment.recorders[second_of(lost)].events}
            self.assertIn(EventKind.VOTER_REPLACEMENT_BEGUN, kinds)
            second = second_of(lost)
            await deployment.stop(second)
            await deployment.propose(b"y")
            self.assertTrue((await new.barrier()).is_ok())
            self.assertEqual(len(new.state_machine.commands), 42)
            await deployment.stop(lost)
            deployment.start(second)
            await deployment.leader()
            old = deployment.start(lost)
            while old.replica.role != "removed":
                await trio.sleep(0.02)
            self.assertEqual(old.replica.voter.voter_id, old_id)
            kinds = {event.kind for event in deployment.recorders[lost].events}
            self.assertIn(EventKind.VOTER_REPLACED, kinds)

        self.run_deployment(scenario)

    def test_a_failing_disk_stops_the_voter_and_answers_its_callers(self):
        async def scenario(deployment):
            for name in NAMES:
                deployment.start(name)
            leader = await deployment.leader()

            leader.store.files = FailingFiles(leader.store.files)
            error = (await leader.propose(b"z")).error
            self.assertIsInstance(error, VoterStopped)
            self.assertIn("No space left", error.reason)
            name = leader.replica.voter.name
            kinds = {event.kind for event in deployment.recorders[name].events}
            self.assertIn(EventKind.DISK_FAILED, kinds)
            del deployment.voters[name]
            self.assertIsNotNone(await deployment.propose(b"z"))

        self.run_deployment(scenario)

    def test_a_voter_whose_disk_takes_writes_again_takes_part_again(self):
        # It stayed away until its process was restarted, which nobody did: one loss was used up
        # for good by a disk that had been full for some seconds.
        async def scenario(deployment):
            for name in NAMES:
                deployment.start(name)
            leader = await deployment.leader()
            name = leader.replica.voter.name
            for number in range(8):
                await deployment.propose(b"%d" % number)
            files = leader.store.files = FailingFiles(leader.store.files)
            await leader.propose(b"lost")
            self.assertIsNotNone(leader.stopped)
            others = [other for other in NAMES if other != name]
            for number in range(8, 8 + 3 * SETTINGS.snapshot_entries):
                await deployment.propose(b"%d" % number)
            files.is_full = False
            while leader.stopped is not None:
                await trio.sleep(0.05)
            kinds = {event.kind for event in deployment.recorders[name].events}
            self.assertIn(EventKind.DISK_RECOVERED, kinds)
            await deployment.stop(others[0])
            await deployment.propose(b"last")
            while b"last" not in leader.state_machine.commands:
                await trio.sleep(0.02)
            expected = deployment.voters[others[1]].state_machine.commands
            self.assertEqual(leader.state_machine.commands, expected)
            self.assertEqual(len(set(expected)), len(expected))

        self.run_deployment(scenario)

    def test_what_was_applied_before_a_disk_failed_is_not_applied_again(self):
        async def scenario(deployment):
            for name in NAMES:
                deployment.start(name)
            for number in range(8):
                await deployment.propose(b"%d" % number)
            for voter in list(deployment.voters.values()):
                await deployment.propose(b"before %d" % voter.replica.voter.voter_id)
                files = voter.store.files = FailingFiles(voter.store.files)
                while voter.stopped is None:
                    deployment.nursery.start_soon(self.propose_once, deployment)
                    await trio.sleep(0.02)
                files.is_full = False
                while voter.stopped is not None:
                    await trio.sleep(0.05)
            await deployment.propose(b"last")
            for voter in deployment.voters.values():
                self.assertTrue((await voter.barrier()).is_ok())
                commands = [c for c in voter.state_machine.commands if c != b"filler"]
                self.assertEqual(len(set(commands)), len(commands))

        self.run_deployment(scenario)

    async def propose_once(self, deployment):
        for voter in deployment.voters.values():
            if voter.is_leader and voter.stopped is None:
                await voter.propose(b"filler")


class FailingFiles:
    """Pass everything on to real files, but refuse writes while the disk is full."""

    def __init__(self, files):
        self.files = files
        self.is_full = True

    def __getattr__(self, name):
        return getattr(self.files, name)

    def append(self, name, data):
        if self.is_full:
            raise OSError(28, "No space left on device")
        self.files.append(name, data)


if __name__ == "__main__":
    unittest.main()
