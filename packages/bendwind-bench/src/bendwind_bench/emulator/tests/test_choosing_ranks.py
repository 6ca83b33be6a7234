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


def run_with_changes(*changes):
    """Return the shares in time of lookups, of the office and of all in the worst windows."""
    scenario = load_scenario("choosing-ranks", changes).ok
    runs = [run_scenario(scenario, seed) for seed in SEEDS]
    lookup = sum(run.routes["lookup"]["in-time"] for run in runs) / len(runs)
    office = sum(run.customers["office-0"]["in-time"] for run in runs) / len(runs)
    return lookup, office, sum(run.worst for run in runs) / len(runs)


class ChoosingRanksTest(unittest.TestCase):
    def test_each_setting_improves_urgent_requests_and_quota_limits_the_office(self):
        baseline = run_with_changes(ALL_SLOTS, NO_RANKS, NO_QUOTA)
        slots = run_with_changes(NO_RANKS, NO_QUOTA)
        ranks = run_with_changes(NO_QUOTA)
        quota = run_with_changes()
        lookups = [step[0] for step in (baseline, slots, ranks, quota)]
        self.assertEqual(lookups, sorted(lookups))
        # The effect that the page states, minus a margin for the scatter of two seeds.
        self.assertGreater(slots[0] - baseline[0], 0.03)
        self.assertGreater(ranks[0] - slots[0], 0.03)
        self.assertGreater(quota[0], 0.97)
        self.assertLess(quota[1], ranks[1] - 0.05)
        self.assertGreater(quota[2], baseline[2])

    def test_commands_of_the_page_remove_settings_of_the_scenario(self):
        commands = re.findall(r"--against=\"([^\"]+)\"'", PAGE.read_text())
        self.assertEqual(len(commands), 3)
        for changes in commands:
            self.assertTrue(load_scenario("choosing-ranks", tuple(changes.split())).is_ok())
        self.assertEqual(commands[-1].split(), [ALL_SLOTS, NO_RANKS, NO_QUOTA])

    def test_page_states_the_number_of_usable_slots(self):
        slots = load_scenario("choosing-ranks").ok.find_service("archive").slots
        used = int(slots * PolicyTable().slot_share)
        self.assertRegex(PAGE.read_text(), f"slots: {used} of {slots} in use")


if __name__ == "__main__":
    unittest.main()
