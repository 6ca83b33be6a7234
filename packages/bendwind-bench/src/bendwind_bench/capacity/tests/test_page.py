"""Test that the page shows the measured values and marks those that exceed a limit."""

import dataclasses
import re
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from bendwind_bench.capacity import page
from bendwind_bench.capacity.model.roles import compute_control_cost, compute_voter_cost, list_costs
from bendwind_bench.capacity.model.sizes import SIZES, TARGET
from bendwind_bench.capacity.result import FILE, CapacityResult, read_result

ROOT = next(folder for folder in Path(__file__).parents if (folder / FILE).exists())


def read_committed() -> CapacityResult:
    """Return the committed result."""
    with mock.patch("bendwind_bench.capacity.result.FILE", ROOT / FILE):
        return read_result()


def render(result: CapacityResult) -> str:
    """Return the generated page for a result."""
    written = mock.Mock()
    with (
        mock.patch.object(page, "read_result", lambda: result),
        mock.patch.object(page, "PAGE", written),
    ):
        page.write_page()
    return written.write_text.call_args.args[0]


class TestPage(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.result = read_committed()

    def test_committed_page_matches_committed_result(self):
        self.assertEqual((ROOT / page.PAGE).read_text(), render(self.result))

    def test_every_slope_has_four_sizes_and_is_on_the_page(self):
        text = render(self.result)
        for slope in self.result.slopes.values():
            self.assertGreaterEqual(len({point.size for point in slope.points}), 4)
            self.assertIn(slope.title, text)

    def test_value_over_its_limit_is_marked(self):
        slopes = self.result.slopes
        expensive_slope = msgspec.structs.replace(slopes["link_dialed_us"], slope=1e6)
        expensive_result = msgspec.structs.replace(
            self.result, slopes={**slopes, "link_dialed_us": expensive_slope}
        )
        row = re.search(r"^\| node: links \| (.*)\(2\.8%\)", render(expensive_result), re.MULTILINE)
        self.assertIn("over", row.group(1))


class TestModel(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.result = read_committed()

    def test_control_cost_of_a_node_is_the_sum_of_its_parts(self):
        for size in SIZES:
            parts = {cost.role: cost for cost in list_costs(self.result, size)}
            together = parts["node: membership"].cpu_percent + parts["node: links"].cpu_percent
            self.assertAlmostEqual(compute_control_cost(self.result, size).cpu_percent, together)

    def test_remaining_voters_share_the_load_of_a_removed_voter(self):
        with_fewer_voters = dataclasses.replace(TARGET, voters=TARGET.voters - 1)
        before = compute_voter_cost(self.result, TARGET).messages_in
        after = compute_voter_cost(self.result, with_fewer_voters).messages_in
        self.assertAlmostEqual(after / before, TARGET.voters / with_fewer_voters.voters, places=2)


if __name__ == "__main__":
    unittest.main()
