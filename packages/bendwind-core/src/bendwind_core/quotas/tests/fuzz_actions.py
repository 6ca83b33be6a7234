"""Perform random actions of processes, links and operators on a `FuzzWorld`."""

import random

from bendwind_core.quotas.tests.fuzz_world import CUSTOMER_NAME, FuzzWorld, Process
from bendwind_core.world import Customer

PAUSES = (0.005, 0.02, 0.06, 0.11, 0.24, 0.3, 0.5, 1.0, 4.0)
SUSPENSIONS = (0.3, 1.0, 4.0)
LIMITS = (
    Customer(CUSTOMER_NAME, rate_per_s=24.0, burst=40.0),
    Customer(CUSTOMER_NAME, rate_per_s=2.0, burst=0.0),
    Customer(CUSTOMER_NAME, rate_per_s=48.0, burst=80.0),
)
# A replacement for a voter that is only cut off starts to grant after a delay; it is not restarted
# before then.
MIN_VOTER_AGE = 1.1


def restart_voter(world: FuzzWorld, voter: Process) -> None:
    """Restart a voter if it has been a voter for long enough."""
    if world.now - voter.promoted_at > MIN_VOTER_AGE:
        world.restart_voter(voter)


def replace_voter(world: FuzzWorld, voter: Process) -> None:
    """Replace a voter if the log lists it as a voter."""
    if voter.is_voting:
        world.replace_voter(voter)


def deliver_all(world: FuzzWorld) -> None:
    """Deliver all held messages, and stop holding messages."""
    world.holds_messages = False
    held_messages, world.held_messages = world.held_messages, []
    for message in held_messages:
        world.deliver(message)


def deliver_one(world: FuzzWorld, pick: int, is_kept: bool) -> None:
    """Deliver a held message; if `is_kept`, it may be delivered again."""
    if world.held_messages:
        index = pick % len(world.held_messages)
        message = world.held_messages[index] if is_kept else world.held_messages.pop(index)
        world.deliver(message)


def deliver_in_reverse(world: FuzzWorld, pick: int) -> None:
    """Deliver some of the newest held messages, newest first; they will be delivered again."""
    if world.held_messages:
        for message in reversed(world.held_messages[pick % len(world.held_messages) :]):
            world.deliver(message)


def suspend_node(world: FuzzWorld, node: Process, pause: float) -> None:
    """Suspend all processes but the voters; the node serves requests immediately on resuming."""
    world.now += pause
    world.confirm_all()
    for voter in world.list_voters():
        world.tick(voter)
    for _ in range(60):
        world.request(node)


def return_some(world: FuzzWorld, number: int, newer: int) -> None:
    """Return the tokens of some requests that did not run; the `newer` newest are left out."""
    for run in world.runs[-number - newer : len(world.runs) - newer]:
        if not run.is_returned:
            world.return_run_token(run)


def remove_and_restore(
    world: FuzzWorld, pause: float, is_gone: bool, *, are_restarted: bool = False
) -> None:
    """Remove the customer or its limit and restore it, optionally restarting all voters between."""
    _, limit = world.limits[-1]
    world.set_limit(None if is_gone else Customer(CUSTOMER_NAME))
    if are_restarted:
        world.confirm_all()
        for voter in world.list_voters():
            restart_voter(world, voter)
    world.pass_time(pause)
    world.set_limit(limit)


def send_requests(world: FuzzWorld, node: Process, number: int) -> None:
    """Send several requests at the same time."""
    for _ in range(number):
        world.request(node)


def perform_action(world: FuzzWorld, rng: random.Random, kind: str) -> None:
    """Perform one action of a kind."""
    node = world.processes[rng.choice(world.nodes)]
    voter = rng.choice(world.list_voters())
    pause = rng.choice(PAUSES)
    match kind:
        case "time":
            world.pass_time(pause)
        case "requests":
            send_requests(world, node, rng.randint(1, 40))
        case "request rate":
            world.requests_per_step = rng.choice((0, 1, 3))
        case "node suspension":
            suspend_node(world, node, rng.choice(SUSPENSIONS))
        case "no quorum":
            world.pass_time(pause, are_confirmed=False)
        case "requests that do not run":
            world.returns_tokens = not world.returns_tokens
        case "late returns":
            return_some(world, rng.randint(1, 60), rng.randint(0, 60))
        case "delayed messages":
            world.holds_messages = True
            world.pass_time(pause)
            if rng.random() < 0.5:
                deliver_in_reverse(world, rng.randrange(1000))
            deliver_all(world)
        case "duplicate messages":
            world.holds_messages = True
            send_requests(world, node, rng.randint(1, 10))
            for _ in range(rng.randint(1, 20)):
                deliver_one(world, rng.randrange(1000), is_kept=rng.random() < 0.6)
            deliver_all(world)
        case "lost messages":
            world.holds_messages = True
            world.pass_time(pause)
            world.held_messages.clear()
            world.holds_messages = False
        case "voter restart":
            restart_voter(world, voter)
        case "voter replacement":
            replace_voter(world, voter)
        case "node restart":
            world.start_node(node.name)
        case "limit change":
            world.set_limit(rng.choice(LIMITS))
        case "removal and restoration":
            remove_and_restore(world, pause, is_gone=rng.random() < 0.7)


USUAL_ACTIONS = ("time", "time", "requests", "request rate")
FAULT_ACTIONS = (
    "node suspension",
    "no quorum",
    "requests that do not run",
    "late returns",
    "delayed messages",
    "duplicate messages",
    "lost messages",
    "voter restart",
    "voter replacement",
    "node restart",
)
CHANGE_ACTIONS = ("limit change", "removal and restoration")


def run_walk(world: FuzzWorld, seed: int, steps: int, has_changes: bool) -> None:
    """Perform many actions of a few kinds.

    With all kinds of faults in one walk, too few requests run to reveal an error.
    """
    rng = random.Random(seed)
    kinds = (
        USUAL_ACTIONS
        + tuple(rng.sample(FAULT_ACTIONS, 3))
        + (CHANGE_ACTIONS if has_changes else ())
    )
    for _ in range(steps):
        perform_action(world, rng, rng.choice(kinds))
