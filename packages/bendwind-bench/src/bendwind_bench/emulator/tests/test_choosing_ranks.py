"""Test that each setting in the worked example of docs/OPERATIONS.md has the stated effect."""

import re
import unittest
from pathlib import Path

from bendwind_bench.emulator import load_scenario, run_scenario
from bendwind_bench.emulator.tables import PolicyTable

PAGE = Path(__file__).parents[6] / "docs/OPERATIONS.md"
NO_QUOTA = "customers.office.rate_per_s=null"
NO_RANKS = "routes.report.priority=0"
ALL_SLOTS = "policy.slot_share=1.0"
SEEDS = (1, 2)


def play(*changes):
    """Return the shares in time of lookups, of the office and of all in the worst windows."""
    scenario = load_scenario("choosing-ranks", changes).ok
    runs = [run_scenario(scenario, seed) for seed in SEEDS]
    lookup = sum(run.routes["lookup"]["in-time"] for run in runs) / len(runs)
    office = sum(run.customers["office-0"]["in-time"] for run in runs) / len(runs)
    return lookup, office, sum(run.worst for run in runs) / len(runs)


class ChoosingRanksTest(unittest.TestCase):
    def test_each_setting_helps_the_urgent_and_the_quota_takes_from_the_office(self):
        nothing = play(ALL_SLOTS, NO_RANKS, NO_QUOTA)
        slots = play(NO_RANKS, NO_QUOTA)
        ranks = play(NO_QUOTA)
        quota = play()
        lookups = [step[0] for step in (nothing, slots, ranks, quota)]
        self.assertEqual(lookups, sorted(lookups))
        # The effect that the page states, minus a margin for the scatter of two seeds.
        self.assertGreater(slots[0] - nothing[0], 0.03)
        self.assertGreater(ranks[0] - slots[0], 0.03)
        self.assertGreater(quota[0], 0.97)
        self.assertLess(quota[1], ranks[1] - 0.05)
        self.assertGreater(quota[2], nothing[2])

    def test_page_takes_away_what_the_scenario_has(self):
        commands = re.findall(r"--against=\"([^\"]+)\"'", PAGE.read_text())
        self.assertEqual(len(commands), 3)
        for changes in commands:
            self.assertTrue(load_scenario("choosing-ranks", tuple(changes.split())).is_ok())
        self.assertEqual(commands[-1].split(), [ALL_SLOTS, NO_RANKS, NO_QUOTA])

    def test_page_names_the_slots_that_are_in_use(self):
        slots = load_scenario("choosing-ranks").ok.find_service("archive").slots
        used = int(slots * PolicyTable().slot_share)
        self.assertRegex(PAGE.read_text(), f"slots: {used} of {slots} in use")


if __name__ == "__main__":
    unittest.main()
