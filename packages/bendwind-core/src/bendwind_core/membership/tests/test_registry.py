import unittest

from bendwind_core.membership import (
    ConfigurationAccepted,
    Heartbeat,
    HeartbeatReply,
    MessageReceived,
    SendTo,
    Tick,
    Watch,
    create_voter_registry,
    list_alive,
    step_registry,
)
from bendwind_core.membership.tests.fakes import SERVICES, TIMES, VOTERS, World
from bendwind_core.world import Configuration, Instance, Service, UpstreamState


def announce_everywhere(world: World, count: int) -> None:
    for index in range(count):
        world.start_node(f"n{index}", f"dc{index % 3}")
    world.advance(2)
    for name in world.nodes:
        world.announce(name, SERVICES[0], UpstreamState.READY)
    world.advance(1)


class VoterLossTest(unittest.TestCase):
    def test_loss_of_a_voter_takes_no_live_upstream_away(self):
        world = World(seed=1)
        announce_everywhere(world, 30)
        del world.voters["v0"]
        for _ in range(120):
            world.advance(0.1)
            for node in world.nodes.values():
                self.assertEqual(len(node.view.upstreams(SERVICES[0])), 30)
            for voter in world.voters.values():
                self.assertEqual(len(list_alive(voter.registry)), 30)

    def test_stopped_voter_that_goes_on_expires_no_node_at_once(self):
        world = World(seed=2)
        announce_everywhere(world, 6)
        voter = world.voters["v0"]
        later = voter.clock.read(world.now + 3 * TIMES.lease)
        step_registry(voter.registry, Tick(), later, world.rng)
        self.assertEqual(len(list_alive(voter.registry)), 6)


class StormTest(unittest.TestCase):
    def test_renewals_of_nodes_that_lose_their_voter_at_once_are_spread(self):
        world = World(seed=3)
        count = 600
        for index in range(count):
            world.start_node(f"n{index}", "dc0")
        world.advance(2)
        beats: dict[int, int] = {}
        send = world.send

        def count_beat(name, effect):
            if isinstance(effect.message, Heartbeat):
                interval = int(world.now * 10)
                beats[interval] = beats.get(interval, 0) + 1
            send(name, effect)

        world.send = count_beat
        del world.voters["v0"]
        for name in world.nodes:
            world.lose_link(name, "v0")
        world.advance(4)
        mean = count * 0.1 / TIMES.heartbeat
        self.assertLess(max(beats.values()), 2 * mean)


class FloorTest(unittest.TestCase):
    def test_node_that_may_hold_an_ended_service_gets_everything(self):
        """A restarted voter does not know which services ended before it started."""
        world = World(seed=4)
        registry = create_voter_registry("v0", VOTERS, TIMES, 0.0)
        services = (Service("emisor", ("*",)),)
        accepted = ConfigurationAccepted(Configuration(20, services))
        step_registry(registry, accepted, 0.0, world.rng)
        node = Instance("n0", "dc0", "127.0.0.1", 1, 1)
        replies = []
        for sequence in (1, 2):
            beat = Heartbeat(node, sequence, version=15, watch=1)
            effects = step_registry(registry, MessageReceived("n0", beat), 0.0, world.rng)
            replies += [effect.message for effect in effects if isinstance(effect, SendTo)]
            watch = Watch("n0", ("ended",), 1, 1)
            step_registry(registry, MessageReceived("n0", watch), 0.0, world.rng)
        last = next(reply for reply in reversed(replies) if isinstance(reply, HeartbeatReply))
        self.assertFalse(last.is_current)


if __name__ == "__main__":
    unittest.main()
