import itertools
import math
import unittest

from bendwind_core.admission.warm_up import SPACING_WINDOW, WarmUpLimits, find_spacing
from bendwind_core.world import WarmUpRule

NUMBERS = (-math.inf, -1e308, -1.0, 0.0, 5e-324, 1.0, 1e308, 1.7e308, math.inf, math.nan)


class ExtremeWarmUpTest(unittest.TestCase):
    def test_every_rate_has_a_spacing_between_requests(self):
        for rate, seconds in itertools.product(NUMBERS, NUMBERS):
            for limits in (WarmUpLimits(), WarmUpLimits(1.5, 2.0)):
                spacing = find_spacing(WarmUpRule(seconds, rate), limits)
                self.assertTrue(0 < spacing <= SPACING_WINDOW, (rate, spacing))


if __name__ == "__main__":
    unittest.main()
