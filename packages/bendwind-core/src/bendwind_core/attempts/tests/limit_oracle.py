"""Judge what an upstream that names a limit was sent, by what upstreams are promised."""

import math

# From so long after an upstream first named its limit, no window holds more than one and a half
# times what the limit allows and five requests; counted are those of nodes that had passed such an
# answer on half a second before or earlier, and have not been restarted since.
CONTACT_S = 3.0
TOLD_S = 0.5
WINDOW_S = 4.0
OVERAGE = 1.5
SLACK = 5


class LimitOracle:
    """Hold which limit an upstream named when, to whom, and what it was sent."""

    def __init__(self):
        self.named = [(-math.inf, None)]
        self.told_at = {}
        self.counted = []

    @property
    def per_second(self):
        """The limit that the upstream names now, None without one."""
        return self.named[-1][1]

    def name(self, per_second, now):
        if per_second != self.per_second:
            self.named.append((now, per_second))

    def tell(self, node, now):
        """Note that a node passed on an answer that named a limit."""
        self.told_at.setdefault(node, now)

    def restart(self, node):
        self.told_at.pop(node, None)
        self.counted = [(at, whose) for at, whose in self.counted if whose != node]

    def arrive(self, node, now):
        if self.per_second is None:
            # What comes while it names none counts in no window, and nobody is bound any more.
            self.counted.clear()
            self.told_at.clear()
        elif now >= self.told_at.get(node, math.inf) + TOLD_S:
            self.counted.append((now, node))
        return self.is_kept(now)

    def is_kept(self, now):
        """Tell whether the window that ends now holds no more than is allowed."""
        first_at = self._find_first()
        if self.per_second is None or now < first_at + CONTACT_S:
            return True
        begin = now - WINDOW_S
        most = max(limit for limit in self._list_since(begin) if limit is not None)
        count = sum(at > begin for at, _ in self.counted)
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
