"""Have the faults of a scenario happen at their times."""

from bendwind_bench.emulator.interfaces import Instance, Stage
from bendwind_bench.emulator.tables import Fault, FaultKind
from bendwind_bench.emulator.upstream import CrashCount


def plan_faults(world: Stage) -> None:
    """Plan every fault of the scenario, counted from now."""
    for fault in world.scenario.faults:
        world.agenda.after(fault.at, lambda fault=fault: _begin(world, fault))


def _begin(world: Stage, fault: Fault) -> None:
    nodes = _pick(world, fault)
    match fault.kind:
        case FaultKind.BURST:
            world.callers.demand.set_rate(fault.route, fault.x)
            world.agenda.after(fault.for_s, lambda: world.callers.demand.set_rate(fault.route, 1.0))
        case FaultKind.SLOW:
            for node in nodes:
                node.upstream.slow(fault.x, fault.for_s)
        case FaultKind.SHED:
            _shed(world, nodes, fault)
        case FaultKind.CRASH | FaultKind.RETURN_COLD:
            for node in nodes:
                node.upstream.crash(fault.for_s)
        case FaultKind.POWER_LOSS:
            for node in nodes:
                node.upstream.crash(fault.for_s)
                world.kill(node, fault.for_s + 0.5)
        case FaultKind.RESTART_EACH:
            for position, node in enumerate(nodes):
                delay = fault.for_s * position / len(nodes)
                world.agenda.after(delay, lambda node=node: node.upstream.crash(1.0))
        case FaultKind.KILL_NODES:
            for node in nodes:
                world.kill(node)
        case FaultKind.SILENT_REPORTS:
            for node in nodes:
                node.owner.is_reporting = False
        case FaultKind.SUSPEND:
            for node in nodes:
                node.agenda.pause(fault.for_s)
        case FaultKind.EVACUATE:
            _evacuate(world, fault)
        case FaultKind.HOT_CUSTOMER:
            world.callers.demand.heat(fault.customer, fault.x)
            world.agenda.after(fault.for_s, lambda: world.callers.demand.heat(fault.customer, 1.0))
        case FaultKind.LIMIT:
            for node in nodes:
                _limit(world, node, fault)
        case FaultKind.LEAVE:
            for node in nodes:
                node.upstream.leaves_at = world.agenda.now
        case FaultKind.CRASHING_REQUEST:
            _send_crashing(world, fault)


def _pick(world: Stage, fault: Fault) -> list[Instance]:
    fitting = [
        node
        for node in world.nodes.values()
        if fault.service in ("", node.upstream.table.name)
        and fault.data_centre in ("", node.upstream.data_centre)
    ]
    count = max(1, round(fault.share * len(fitting)))
    if count >= len(fitting):
        return fitting
    return world.rng.sample(fitting, count)


def _limit(world: Stage, node: Instance, fault: Fault) -> None:
    limit = node.upstream.limit
    limit.set_limit(fault.x, world.agenda.now)
    world.agenda.after(fault.for_s, lambda: limit.set_limit(None, world.agenda.now))


def _shed(world: Stage, nodes: list[Instance], fault: Fault) -> None:
    for node in nodes:
        node.upstream.shed_share = min(1.0, fault.x)
    world.agenda.after(fault.for_s, lambda: _stop_shedding(nodes))


def _stop_shedding(nodes: list[Instance]) -> None:
    for node in nodes:
        node.upstream.shed_share = 0.0


def _send_crashing(world: Stage, fault: Fault) -> None:
    called = [route for route in world.scenario.routes if route.per_second > 0.0]
    route = next(route for route in called if fault.service in ("", route.service))
    target = f"/{route.name}/{fault.target}".encode()
    world.crashes.setdefault(target, CrashCount())
    for _ in range(fault.count):
        world.callers.send_crashing(route, target)
    for number in range(1, int(fault.for_s * fault.x) + 1):
        world.agenda.after(number / fault.x, lambda: world.callers.send_crashing(route, target))


def _evacuate(world: Stage, fault: Fault) -> None:
    name = fault.data_centre or world.scenario.places.data_centres[0]
    world.set_evacuated(name, evacuated=True)
    world.agenda.after(fault.for_s, lambda: world.set_evacuated(name, evacuated=False))
