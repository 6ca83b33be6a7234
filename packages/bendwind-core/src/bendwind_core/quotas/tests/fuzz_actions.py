"""Do to a world of quotas what processes, links and operators do, by chance."""

import random

from bendwind_core.quotas.tests.fuzz_world import NAME, FuzzWorld, Process
from bendwind_core.world import Customer

PAUSES = (0.005, 0.02, 0.06, 0.11, 0.24, 0.3, 0.5, 1.0, 4.0)
STANDSTILLS = (0.3, 1.0, 4.0)
LIMITS = (
    Customer(NAME, rate_per_s=24.0, burst=40.0),
    Customer(NAME, rate_per_s=2.0, burst=0.0),
    Customer(NAME, rate_per_s=48.0, burst=80.0),
)
# What was made a voter in place of one that is merely cut off begins only after a while.
SHORTEST_LIFE = 1.1


def restart_voter(world: FuzzWorld, voter: Process) -> None:
    """Restart a voter that is one for long enough."""
    if world.now - voter.promoted_at > SHORTEST_LIFE:
        world.restart_voter(voter)


def replace_voter(world: FuzzWorld, voter: Process) -> None:
    """Replace a voter that the log has as one."""
    if voter.is_voting:
        world.replace_voter(voter)


def let_flow(world: FuzzWorld) -> None:
    """Deliver all messages that are held, and hold no more."""
    world.is_holding = False
    held, world.held = world.held, []
    for message in held:
        world.deliver(message)


def deliver_one(world: FuzzWorld, pick: int, is_kept: bool) -> None:
    """Deliver any message, and perhaps keep it to come again."""
    if world.held:
        index = pick % len(world.held)
        message = world.held[index] if is_kept else world.held.pop(index)
        world.deliver(message)


def deliver_in_reverse(world: FuzzWorld, pick: int) -> None:
    """Deliver some of the newest messages, which will come again."""
    if world.held:
        for message in reversed(world.held[pick % len(world.held) :]):
            world.deliver(message)


def stand_still(world: FuzzWorld, node: Process, pause: float) -> None:
    """Have all but the voters stand still, and a node serve at once on waking."""
    world.now += pause
    world.confirm_all()
    for voter in world.list_voters():
        world.tick(voter)
    for _ in range(60):
        world.request(node)


def undo_some(world: FuzzWorld, number: int, newer: int) -> None:
    """Have some requests turn out not to have run, all but a number of newer ones."""
    for run in world.runs[-number - newer : len(world.runs) - newer]:
        if not run.is_undone:
            world.undo(run)


def come_back(
    world: FuzzWorld, pause: float, is_gone: bool, *, are_restarted: bool = False
) -> None:
    """Take the customer or its limit away and bring it back, perhaps with all voters restarted."""
    _, limit = world.limits[-1]
    world.set_limit(None if is_gone else Customer(NAME))
    if are_restarted:
        world.confirm_all()
        for voter in world.list_voters():
            restart_voter(world, voter)
    world.pass_time(pause)
    world.set_limit(limit)


def request_often(world: FuzzWorld, node: Process, number: int) -> None:
    """Have requests come at once."""
    for _ in range(number):
        world.request(node)


def act(world: FuzzWorld, rng: random.Random, kind: str) -> None:
    """Do one thing of a kind."""
    node = world.processes[rng.choice(world.nodes)]
    voter = rng.choice(world.list_voters())
    pause = rng.choice(PAUSES)
    match kind:
        case "time":
            world.pass_time(pause)
        case "requests":
            request_often(world, node, rng.randint(1, 40))
        case "demand":
            world.demand = rng.choice((0, 1, 3))
        case "suspension":
            stand_still(world, node, rng.choice(STANDSTILLS))
        case "cut":
            world.pass_time(pause, are_confirmed=False)
        case "undoing":
            world.undoes = not world.undoes
        case "undo some":
            undo_some(world, rng.randint(1, 60), rng.randint(0, 60))
        case "delay":
            world.is_holding = True
            world.pass_time(pause)
            if rng.random() < 0.5:
                deliver_in_reverse(world, rng.randrange(1000))
            let_flow(world)
        case "doubles":
            world.is_holding = True
            request_often(world, node, rng.randint(1, 10))
            for _ in range(rng.randint(1, 20)):
                deliver_one(world, rng.randrange(1000), is_kept=rng.random() < 0.6)
            let_flow(world)
        case "loss":
            world.is_holding = True
            world.pass_time(pause)
            world.held.clear()
            world.is_holding = False
        case "restart":
            restart_voter(world, voter)
        case "replacement":
            replace_voter(world, voter)
        case "node restart":
            world.start_node(node.name)
        case "limit":
            world.set_limit(rng.choice(LIMITS))
        case "comeback":
            come_back(world, pause, is_gone=rng.random() < 0.7)


USUAL = ("time", "time", "requests", "demand")
FAULTS = (
    "suspension",
    "cut",
    "undoing",
    "undo some",
    "delay",
    "doubles",
    "loss",
    "restart",
    "replacement",
    "node restart",
)
CHANGES = ("limit", "comeback")


def walk(world: FuzzWorld, seed: int, steps: int, has_changes: bool) -> None:
    """Do many things of a few kinds: all kinds at once leave too little running to go wrong."""
    rng = random.Random(seed)
    kinds = USUAL + tuple(rng.sample(FAULTS, 3)) + (CHANGES if has_changes else ())
    for _ in range(steps):
        act(world, rng, rng.choice(kinds))
