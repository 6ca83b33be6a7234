"""Watch what waits at owners while another upstream of its service is free."""

import collections

from bendwind_bench.emulator.interfaces import Instance, Site
from bendwind_core.attempts.owner_state import is_accepting
from bendwind_core.core import Seconds

# Waits are measured to this; a fourth of the shortest that counts, and cheap beside the calls.
LOOK_EVERY: Seconds = 0.005
# Shorter waits are of the order of a few round trips, which asking another upstream would take.
SHORT: Seconds = 0.020


class WaitWatch:
    """Look at all owners again and again, and add up for each call how long it waited so."""

    __slots__ = ("_looks", "_services", "_site")

    def __init__(self, site: Site):
        self._site = site
        self._looks: collections.Counter = collections.Counter()
        self._services: dict[str, list[Instance]] = {}
        for node in site.nodes.values():
            self._services.setdefault(node.upstream.table.name, []).append(node)

    def start(self) -> None:
        """Begin to look."""
        self._site.agenda.after(LOOK_EVERY, self._look)

    def _look(self) -> None:
        for nodes in self._services.values():
            waited_at = [node for node in nodes if node.is_up and node.owner.owner_state.waiting]
            # One with something waiting is not free, so that a free one is always another.
            if waited_at and any(is_free(node) for node in nodes):
                for node in waited_at:
                    self._looks.update(
                        self._find_call(attempt) for attempt in node.owner.owner_state.waiting
                    )
        self._site.agenda.after(LOOK_EVERY, self._look)

    def _find_call(self, attempt):
        """Return what stands for the call of an attempt; its entry node may have ended."""
        return self._site.nodes[attempt.entry].entry.runs.get(attempt.sequence, attempt)

    def count_long(self) -> int:
        """Return how many calls waited so for over `SHORT`."""
        return sum(looks * LOOK_EVERY > SHORT for looks in self._looks.values())

    def sum_up(self) -> Seconds:
        """Return how long all calls together waited so."""
        return self._looks.total() * LOOK_EVERY


def is_free(node: Instance) -> bool:
    """Tell whether a node's upstream could start a request at once, at its usual pace."""
    if not node.is_up or node.agenda.is_paused or node.upstream.is_down:
        return False
    owner_state = node.owner.owner_state
    has_slot = len(owner_state.running) < owner_state.run_limit and not owner_state.waiting
    return has_slot and is_accepting(owner_state) and node.upstream.find_factor() <= 1.0


__all__ = ["LOOK_EVERY", "SHORT", "WaitWatch", "is_free"]
