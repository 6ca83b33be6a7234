"""Measure waits at owners while another upstream of the service is free."""

import collections

from bendwind_bench.emulator.interfaces import Deployment, EmulatedNode
from bendwind_core.attempts.owner_state import is_accepting
from bendwind_core.core import Seconds

# Resolution of the waits: a fourth of the shortest wait that counts as long. Sampling this often is
# cheap compared with the calls.
SAMPLE_INTERVAL: Seconds = 0.005
# Shorter waits are similar to the few round trips that asking another upstream would take.
MAX_SHORT_WAIT: Seconds = 0.020


class WaitSampler:
    """Sample all owners periodically; add up each call's waits while another upstream is free."""

    __slots__ = ("_samples", "_services", "_deployment")

    def __init__(self, deployment: Deployment):
        self._deployment = deployment
        self._samples: collections.Counter = collections.Counter()
        self._services: dict[str, list[EmulatedNode]] = {}
        for node in deployment.nodes.values():
            self._services.setdefault(node.upstream.table.name, []).append(node)

    def start(self) -> None:
        """Start to sample."""
        self._deployment.scheduler.call_later(SAMPLE_INTERVAL, self._sample)

    def _sample(self) -> None:
        for nodes in self._services.values():
            waiting_nodes = [
                node for node in nodes if node.is_up and node.owner.owner_state.waiting
            ]
            # An upstream with waiting attempts is not free, so a free one is always another one.
            if waiting_nodes and any(is_free(node) for node in nodes):
                for node in waiting_nodes:
                    self._samples.update(
                        self._find_call(attempt) for attempt in node.owner.owner_state.waiting
                    )
        self._deployment.scheduler.call_later(SAMPLE_INTERVAL, self._sample)

    def _find_call(self, attempt):
        """Return the call of an attempt; the attempt itself if its entry node has ended."""
        return self._deployment.nodes[attempt.entry].entry.runs.get(attempt.sequence, attempt)

    def count_long_waits(self) -> int:
        """Return the number of calls that waited longer than `MAX_SHORT_WAIT` in total."""
        return sum(samples * SAMPLE_INTERVAL > MAX_SHORT_WAIT for samples in self._samples.values())

    def sum_waits(self) -> Seconds:
        """Return the total waiting time of all calls."""
        return self._samples.total() * SAMPLE_INTERVAL


def is_free(node: EmulatedNode) -> bool:
    """Return whether a node's upstream could start a request at once, at its usual pace."""
    if not node.is_up or node.scheduler.is_paused or node.upstream.is_down:
        return False
    owner_state = node.owner.owner_state
    has_slot = len(owner_state.running) < owner_state.run_limit and not owner_state.waiting
    return has_slot and is_accepting(owner_state) and node.upstream.find_factor() <= 1.0


__all__ = ["MAX_SHORT_WAIT", "SAMPLE_INTERVAL", "WaitSampler", "is_free"]
