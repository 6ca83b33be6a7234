"""Compare routing policies on a pure model: entry nodes, owner desks, upstreams that slow down.

The load is open loop. One of the upstreams at a time takes ten times as long, for 20 to 500 ms.
Figures of this model are trials for tuning; they leave out processor time and real links.
"""

import heapq
import itertools
import random
import sys
from dataclasses import dataclass, field

from bendwind_core.attempts import entry, owner
from bendwind_core.attempts import events as ev
from bendwind_core.attempts import owner_events as ov
from bendwind_core.attempts.attempt_ids import AttemptIds
from bendwind_core.attempts.call import EntryCall, create_call
from bendwind_core.attempts.messages import (
    Cancel,
    CutReason,
    HandOver,
    NotRun,
    NotRunReason,
    Unknown,
)
from bendwind_core.limits import RetryBudget
from bendwind_core.routing import (
    UpstreamTable,
    choose_upstream,
    create_table,
    note_answered,
    note_cancelled,
    note_not_run,
    note_sent,
    note_unknown,
    set_upstreams,
)
from bendwind_core.world import (
    Instance,
    LoadSample,
    Policy,
    Repeat,
    Rule,
    Service,
    Upstream,
    UpstreamState,
)

ONE_WAY = 0.001
QUEUE = 16
SLOW_FACTOR = 10.0


@dataclass(slots=True)
class Model:
    """Hold the parameters of one run.

    Units: `mean_time` and `length` are in seconds.
    """

    policy: Policy = Policy.SCORE
    upstreams: int = 4
    slots: int = 6
    entries: int = 4
    load: float = 0.6
    mean_time: float = 0.040
    length: float = 60.0
    seed: int = 1
    has_slow_down: bool = True
    hedge_ms: float | None = None
    retry_ratio: float = 0.1


@dataclass(slots=True)
class EntryNode:
    """Hold one entry node's table, ids and budget."""

    table: UpstreamTable
    ids: AttemptIds
    budget: RetryBudget


@dataclass(slots=True)
class Simulation:
    """Hold a run's clock, nodes and results."""

    model: Model
    rng: random.Random
    now: float = 0.0
    agenda: list = field(default_factory=list)
    order: itertools.count = field(default_factory=itertools.count)
    entries: list[EntryNode] = field(default_factory=list)
    desks: list[owner.OwnerDesk] = field(default_factory=list)
    slow_until: dict[int, float] = field(default_factory=dict)
    works: dict = field(default_factory=dict)
    latencies_ms: list[float] = field(default_factory=list)
    failures: int = 0
    attempts: int = 0

    def at(self, when: float, action, *args) -> None:
        """Do an action at a time."""
        heapq.heappush(self.agenda, (when, next(self.order), action, args))

    def run(self) -> None:
        """Run until nothing is left to do."""
        while self.agenda:
            self.now, _, action, args = heapq.heappop(self.agenda)
            action(*args)


def simulate(model: Model) -> Simulation:
    """Run the model and return its results."""
    sim = Simulation(model, random.Random(model.seed))
    instance = Instance("o", "dc", "h", 1, 1)
    upstreams = [Upstream(f"{i}", "s", instance, model.slots, 200) for i in range(model.upstreams)]
    for index in range(model.entries):
        table = create_table("s")
        set_upstreams(table, upstreams, 0.0)
        ids = AttemptIds(f"e{index}", 1)
        sim.entries.append(EntryNode(table, ids, RetryBudget(model.retry_ratio)))
    for index in range(model.upstreams):
        desk = owner.create_desk(f"{index}", 1, QUEUE)
        owner.step(desk, ov.UpstreamAnnounced(model.slots, 200, UpstreamState.READY), 0.0)
        sim.desks.append(desk)
    rate = model.load * model.upstreams * model.slots / model.mean_time
    when = 0.0
    while when < model.length:
        when += sim.rng.expovariate(rate)
        sim.at(when, _arrive, sim, sim.rng.choice(sim.entries))
    if model.has_slow_down:
        _plan_slow_downs(sim)
    sim.run()
    return sim


def _plan_slow_downs(sim: Simulation) -> None:
    when = 0.5
    while when < sim.model.length:
        length = sim.rng.uniform(0.020, 0.500)
        sim.at(when, _slow_down, sim, sim.rng.randrange(sim.model.upstreams), when + length)
        when += length + sim.rng.uniform(0.5, 1.5)


def _slow_down(sim: Simulation, index: int, until: float) -> None:
    # Work under way slows down too: what is left of it takes ten times as long.
    sim.slow_until[index] = until
    for attempt, (work_index, end) in list(sim.works.items()):
        if work_index == index:
            _finish_at(sim, index, attempt, _stretch(sim, index, end - sim.now))


def _stretch(sim: Simulation, index: int, work: float) -> float:
    slow_left = max(0.0, sim.slow_until.get(index, 0.0) - sim.now)
    if work * SLOW_FACTOR <= slow_left:
        return sim.now + work * SLOW_FACTOR
    return sim.now + slow_left + (work - slow_left / SLOW_FACTOR)


def _finish_at(sim: Simulation, index: int, attempt, end: float) -> None:
    sim.works[attempt] = (index, end)
    sim.at(end, _finish_work, sim, index, attempt, end)


def _arrive(sim: Simulation, node: EntryNode) -> None:
    service = Service("s", ("*",), policy=sim.model.policy, hedge_after_ms=sim.model.hedge_ms)
    rule = Rule("*", repeat=Repeat.IDEMPOTENT)
    call = create_call("c", service, rule, sim.now + 10.0, node.ids, node.budget)
    _step_entry(sim, node, call, sim.now, ev.Begin())


def _step_entry(sim: Simulation, node: EntryNode, call: EntryCall, arrived: float, event) -> None:
    def choose(excluded):
        return choose_upstream(sim.model.policy, node.table, excluded, sim.now, sim.rng)

    for effect in entry.step(call, event, sim.now, choose):
        match effect:
            case ev.SendHandOver(attempt, upstream, remaining_ms, insist):
                sim.attempts += 1
                note_sent(node.table, upstream.name, attempt, sim.now)
                hand_over = HandOver(
                    attempt,
                    1,
                    "s",
                    upstream.name,
                    "GET",
                    b"/",
                    (),
                    remaining_ms,
                    "idempotent",
                    1,
                    insist=insist,
                )
                back = (node, call, arrived)
                sim.at(sim.now + ONE_WAY, _reach_owner, sim, int(upstream.name), hand_over, back)
            case ev.SendCancel(attempt, upstream):
                note_cancelled(node.table, upstream.name, attempt, sim.now)
                cancel = Cancel(attempt, upstream.name)
                sim.at(sim.now + ONE_WAY, _reach_owner, sim, int(upstream.name), cancel, None)
            case ev.StartTimer(ev.TimerKind.HEDGE, when):
                fired = ev.TimerFired(ev.TimerKind.HEDGE)
                sim.at(when, _step_entry, sim, node, call, arrived, fired)
            case ev.FinishDelivered():
                sim.latencies_ms.append((sim.now - arrived) * 1000)
            case ev.FinishNotRun() | ev.FinishUnknown():
                sim.failures += 1


_BACKS: dict = {}


def _reach_owner(sim: Simulation, index: int, message, back) -> None:
    if isinstance(message, Cancel):
        _step_owner(sim, index, ov.CancelArrived(message.attempt, 1))
        return
    _BACKS[message.attempt] = back
    _step_owner(sim, index, ov.HandOverArrived(message, 1))


def _step_owner(sim: Simulation, index: int, event) -> None:
    for effect in owner.step(sim.desks[index], event, sim.now):
        match effect:
            case ov.Dispatch(hand_over):
                work = sim.rng.lognormvariate(0.0, 0.5) * sim.model.mean_time / 1.133
                _finish_at(sim, index, hand_over.attempt, _stretch(sim, index, work))
            case ov.CancelDispatch(attempt):
                sim.works.pop(attempt, None)
                ended = ov.DispatchUnknown(attempt, CutReason.CANCELLED)
                sim.at(sim.now, _step_owner, sim, index, ended)
            case ov.ReplyNotRun(attempt, _, reason, load):
                _send_back(sim, attempt, NotRun(attempt, reason, load))
            case ov.ReplyUnknown(attempt, _, reason, load):
                _send_back(sim, attempt, Unknown(attempt, reason, load))


def _finish_work(sim: Simulation, index: int, attempt, end: float) -> None:
    if sim.works.get(attempt) != (index, end):
        return
    del sim.works[attempt]
    desk = sim.desks[index]
    took_ms = (sim.now - desk.running[attempt].started_at) * 1000
    _step_owner(sim, index, ov.DispatchHead(attempt, 200, took_ms))
    load = owner.load_sample(desk, sim.now)
    _step_owner(sim, index, ov.DispatchDone(attempt))
    _send_back(sim, attempt, load)


def _send_back(sim: Simulation, attempt, message) -> None:
    back = _BACKS.pop(attempt, None)
    if back is not None:
        sim.at(sim.now + ONE_WAY, _reach_entry, sim, attempt, message, *back)


def _reach_entry(sim, attempt, message, node: EntryNode, call: EntryCall, arrived: float) -> None:
    name = next(a.upstream.name for a in call.attempts if a.id == attempt)
    match message:
        case LoadSample():
            note_answered(node.table, name, attempt, sim.now, 200, message)
            event = ev.AttemptHead(attempt, 200, True)
        case NotRun(reason=reason, load=load):
            note_not_run(node.table, name, attempt, sim.now, NotRunReason(reason), load)
            event = ev.AttemptNotRun(attempt, reason, load)
        case Unknown(reason=reason):
            if reason != "cancelled":
                note_unknown(node.table, name, attempt, sim.now)
            event = ev.AttemptUnknown(attempt, reason)
    _step_entry(sim, node, call, arrived, event)


def measure(**settings) -> str:
    """Run the model over three seeds and return one line of figures."""
    runs = [simulate(Model(seed=seed, **settings)) for seed in (1, 2, 3)]
    p50s, p99s, p999s = zip(*(_percentiles(run.latencies_ms) for run in runs), strict=True)
    failures = sum(run.failures for run in runs)
    calls = failures + sum(len(run.latencies_ms) for run in runs)
    attempts = sum(run.attempts for run in runs)
    middle = len(runs) // 2
    return (
        f"p50 {sorted(p50s)[middle]:7.1f}  p99 {sorted(p99s)[middle]:7.1f}  "
        f"p99.9 {sorted(p999s)[middle]:7.1f} ms  failed {failures / calls:.4%}  "
        f"attempts/call {attempts / calls:.3f}"
    )


def _percentiles(values: list[float]) -> tuple[float, float, float]:
    values = sorted(values)
    return tuple(values[int(len(values) * share)] for share in (0.5, 0.99, 0.999))


def main() -> None:
    """Print the figures of every policy, with and without slow-downs."""
    for policy in Policy:
        print(f"{policy:16} {measure(policy=policy)}", flush=True)
    quiet = measure(policy=Policy.SCORE, has_slow_down=False)
    print(f"{'score, quiet':16} {quiet}", flush=True)
    hedged = measure(policy=Policy.SCORE, hedge_ms=100.0)
    print(f"{'score, hedged':16} {hedged}", flush=True)


if __name__ == "__main__":
    sys.exit(main())
