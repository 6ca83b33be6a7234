"""Measure waits at owners while another upstream of the service is free."""

import collections

from bendwind_bench.emulator.interfaces import Instance, Site
from bendwind_core.attempts.owner_state import is_accepting
from bendwind_core.core import Seconds

# Resolution of the waits: a fourth of the shortest wait that counts as long. Sampling this often is
# cheap compared with the calls.
LOOK_EVERY: Seconds = 0.005
# Shorter waits are similar to the few round trips that asking another upstream would take.
SHORT: Seconds = 0.020


class WaitWatch:
    """Sample all owners periodically and add up how long each call waited while one was free."""

    __slots__ = ("_looks", "_services", "_site")

    def __init__(self, site: Site):
        self._site = site
        self._looks: collections.Counter = collections.Counter()
        self._services: dict[str, list[Instance]] = {}
        for node in site.nodes.values():
            self._services.setdefault(node.upstream.table.name, []).append(node)

    def start(self) -> None:
        """Start to sample."""
        self._site.agenda.after(LOOK_EVERY, self._look)

    def _look(self) -> None:
        for nodes in self._services.values():
            waited_at = [node for node in nodes if node.is_up and node.owner.owner_state.waiting]
            # An upstream with waiting attempts is not free, so a free one is always another one.
            if waited_at and any(is_free(node) for node in nodes):
                for node in waited_at:
                    self._looks.update(
                        self._find_call(attempt) for attempt in node.owner.owner_state.waiting
                    )
        self._site.agenda.after(LOOK_EVERY, self._look)

    def _find_call(self, attempt):
        """Return the call of an attempt; the attempt itself if its entry node has ended."""
        return self._site.nodes[attempt.entry].entry.runs.get(attempt.sequence, attempt)

    def count_long(self) -> int:
        """Return the number of calls that waited longer than `MAX_SHORT_WAIT` in total."""
        return sum(looks * LOOK_EVERY > SHORT for looks in self._looks.values())

    def sum_up(self) -> Seconds:
        """Return the total waiting time of all calls."""
        return self._looks.total() * LOOK_EVERY


def is_free(node: Instance) -> bool:
    """Return whether a node's upstream could start a request at once, at its usual pace."""
    if not node.is_up or node.agenda.is_paused or node.upstream.is_down:
        return False
    owner_state = node.owner.owner_state
    has_slot = len(owner_state.running) < owner_state.run_limit and not owner_state.waiting
    return has_slot and is_accepting(owner_state) and node.upstream.find_factor() <= 1.0


__all__ = ["LOOK_EVERY", "SHORT", "WaitWatch", "is_free"]
