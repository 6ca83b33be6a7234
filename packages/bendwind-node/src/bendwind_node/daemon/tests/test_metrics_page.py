import types
import unittest

import trio

from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.calls.tests.fakes import make_exchange
from bendwind_node.daemon.metrics_page import MetricsPage, serve_metrics
from bendwind_node.metrics import Metric, Metrics, Sample
from bendwind_node.settings.tables import MetricsTable


class MetricsPageTest(unittest.TestCase):
    def test_only_the_configured_path_returns_metrics(self):
        async def main():
            for path, status in (("/x", 200), ("/other", 404)):
                page = MetricsPage(Metrics(lambda: [Sample(Metric.FRESH, 1)]), path)
                exchange = make_exchange()
                await page.handle(exchange)
                self.assertEqual(exchange.status, status)
                self.assertEqual(b"bendwind_fresh 1" in exchange.body, status == 200)

        trio.run(main)

    def test_process_continues_and_records_an_occupied_metrics_port(self):
        async def main():
            occupied = await trio.open_tcp_listeners(0, host="127.0.0.1")
            port = occupied[0].socket.getsockname()[1]
            recorder = Recorder("a", lambda: 1, 10)
            daemon = types.SimpleNamespace(recorder=recorder)
            async with trio.open_nursery() as nursery:
                await serve_metrics(daemon, MetricsTable(host="127.0.0.1", port=port), nursery)
            self.assertEqual(recorder.counts[EventKind.METRICS_NOT_SERVED], 1)

        trio.run(main)


if __name__ == "__main__":
    unittest.main()
