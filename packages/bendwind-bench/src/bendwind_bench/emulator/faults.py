"""Inject the faults of a scenario at their times."""

from bendwind_bench.emulator.interfaces import EmulatedNode, FaultTarget
from bendwind_bench.emulator.tables import Fault, FaultKind
from bendwind_bench.emulator.upstream import CrashHistory


def schedule_faults(world: FaultTarget) -> None:
    """Schedule every fault of the scenario; its times count from now."""
    for fault in world.scenario.faults:
        world.scheduler.call_later(fault.at, lambda fault=fault: _start_fault(world, fault))


def _start_fault(world: FaultTarget, fault: Fault) -> None:
    nodes = _choose_nodes(world, fault)
    match fault.kind:
        case FaultKind.BURST:
            world.callers.demand.set_rate_factor(fault.route, fault.x)
            world.scheduler.call_later(
                fault.for_s, lambda: world.callers.demand.set_rate_factor(fault.route, 1.0)
            )
        case FaultKind.SLOW:
            for node in nodes:
                node.upstream.slow_down(fault.x, fault.for_s)
        case FaultKind.SHED:
            _fail_share(world, nodes, fault, "shed_share")
        case FaultKind.RESET:
            _fail_share(world, nodes, fault, "reset_share")
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
                world.scheduler.call_later(delay, lambda node=node: node.upstream.crash(1.0))
        case FaultKind.KILL_NODES:
            for node in nodes:
                world.kill(node)
        case FaultKind.SILENT_REPORTS:
            for node in nodes:
                node.owner.is_reporting = False
        case FaultKind.SUSPEND:
            for node in nodes:
                node.scheduler.pause(fault.for_s)
        case FaultKind.EVACUATE:
            _evacuate(world, fault)
        case FaultKind.HOT_CUSTOMER:
            world.callers.demand.set_customer_factor(fault.customer, fault.x)
            world.scheduler.call_later(
                fault.for_s, lambda: world.callers.demand.set_customer_factor(fault.customer, 1.0)
            )
        case FaultKind.LIMIT:
            for node in nodes:
                _set_limit(world, node, fault)
        case FaultKind.LEAVE:
            for node in nodes:
                node.upstream.leaves_at = world.scheduler.now
        case FaultKind.CRASHING_REQUEST:
            _send_crashing_requests(world, fault)


def _choose_nodes(world: FaultTarget, fault: Fault) -> list[EmulatedNode]:
    candidates = [
        node
        for node in world.nodes.values()
        if fault.service in ("", node.upstream.table.name)
        and fault.data_centre in ("", node.upstream.data_centre)
    ]
    count = max(1, round(fault.share * len(candidates)))
    if count >= len(candidates):
        return candidates
    return world.rng.sample(candidates, count)


def _set_limit(world: FaultTarget, node: EmulatedNode, fault: Fault) -> None:
    limit = node.upstream.limit
    limit.set_limit(fault.x, world.scheduler.now)
    world.scheduler.call_later(fault.for_s, lambda: limit.set_limit(None, world.scheduler.now))


def _fail_share(
    world: FaultTarget, nodes: list[EmulatedNode], fault: Fault, share_name: str
) -> None:
    _set_share(nodes, share_name, min(1.0, fault.x))
    world.scheduler.call_later(fault.for_s, lambda: _set_share(nodes, share_name, 0.0))


def _set_share(nodes: list[EmulatedNode], share_name: str, share: float) -> None:
    for node in nodes:
        setattr(node.upstream, share_name, share)


def _send_crashing_requests(world: FaultTarget, fault: Fault) -> None:
    called_routes = [route for route in world.scenario.routes if route.per_second > 0.0]
    route = next(route for route in called_routes if fault.service in ("", route.service))
    target = f"/{route.name}/{fault.target}".encode()
    world.crashes.setdefault(target, CrashHistory())
    for _ in range(fault.count):
        world.callers.send_crashing_request(route, target)
    for number in range(1, int(fault.for_s * fault.x) + 1):
        world.scheduler.call_later(
            number / fault.x, lambda: world.callers.send_crashing_request(route, target)
        )


def _evacuate(world: FaultTarget, fault: Fault) -> None:
    name = fault.data_centre or world.scenario.places.data_centres[0]
    world.set_evacuated(name, evacuated=True)
    world.scheduler.call_later(fault.for_s, lambda: world.set_evacuated(name, evacuated=False))
