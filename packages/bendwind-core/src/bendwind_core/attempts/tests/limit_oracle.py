"""Check what an upstream that names a rate limit is sent against the promise to upstreams."""

import math

# Starting this long after an upstream first named its limit, no window holds more than one and a
# half times what the limit allows plus five requests. A request counts only if its node had passed
# on an answer with the limit at least half a second before and has not been restarted since.
BOUND_AFTER_S = 3.0
NODE_BOUND_AFTER_S = 0.5
WINDOW_S = 4.0
# Times are sums of steps of 0.05 s. Their rounding errors must not put a request that is exactly
# one window old into the window.
ROUNDING_S = 1e-6
OVERAGE = 1.5
SLACK = 5


class LimitOracle:
    """Hold which limits an upstream named, when and to which nodes, and what it was sent."""

    def __init__(self):
        self.named = [(-math.inf, None)]
        self.informed_at = {}
        self.counted_requests = []

    @property
    def per_second(self):
        """Return the limit that the upstream names now, None without one."""
        return self.named[-1][1]

    def name_limit(self, per_second, now):
        if per_second != self.per_second:
            self.named.append((now, per_second))

    def record_passed_on(self, node, now):
        """Record that a node passed on an answer that named a limit."""
        self.informed_at.setdefault(node, now)

    def record_restart(self, node):
        self.informed_at.pop(node, None)
        self.counted_requests = [
            (at, sender) for at, sender in self.counted_requests if sender != node
        ]

    def record_request(self, node, now):
        if self.per_second is None:
            # Requests that arrive while no limit is named count in no window, and no node is bound
            # by a limit any more.
            self.counted_requests.clear()
            self.informed_at.clear()
        elif now >= self.informed_at.get(node, math.inf) + NODE_BOUND_AFTER_S:
            self.counted_requests.append((now, node))
        return self.is_bound_kept(now)

    def is_bound_kept(self, now):
        """Return whether the window that ends now holds no more than is allowed."""
        first_at = self._find_first()
        if self.per_second is None or now < first_at + BOUND_AFTER_S:
            return True
        begin = now - WINDOW_S + ROUNDING_S
        most = max(limit for limit in self._list_since(begin) if limit is not None)
        count = sum(at > begin for at, _ in self.counted_requests)
        return count <= OVERAGE * most * WINDOW_S + SLACK

    def _find_first(self):
        first_at = math.inf
        for at, limit in reversed(self.named):
            if limit is None:
                break
            first_at = at
        return first_at

    def _list_since(self, begin):
        later = [limit for at, limit in self.named if at > begin]
        before = [limit for at, limit in self.named if at <= begin]
        return [before[-1], *later]
