import contextlib
import io
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import msgspec

from bendwind_cli.main import run_arguments
from bendwind_cli.outcome import ExitCode
from bendwind_core.timeline import (
    AttemptFacts,
    CallFacts,
    EndFacts,
    LogLine,
    RefusalFacts,
    UnansweredFacts,
)

REFUSAL = RefusalFacts("r", 190.0, 190.0, 60.0, 4, 3, 4, 4.0, 12.0)
ATTEMPT = AttemptFacts("u1", 0.2, "not-run: stalled", 1.5)
END = LogLine(
    "info",
    "entry",
    1000,
    "CALL_FINISHED",
    102,
    call="c1",
    detail="not-run: stalled",
    request="007",
    facts=CallFacts("s", "r", 503, 2.0, 800.0, 200.0, 7, 120.0, (ATTEMPT,)),
)
REFUSED = LogLine(
    "info", "owner", 999, "ATTEMPT_REFUSED", 207, 0, "e/1/1", "u1", "", "stalled", "007", REFUSAL
)


class ExplainTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        for name, line in (("entry", END), ("owner", REFUSED)):
            (self.folder / name).write_bytes(msgspec.json.encode(line) + b"\n")

    def run_command(self, *arguments):
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = run_arguments(["explain", *arguments])
        return code, out.getvalue(), err.getvalue()

    def test_refusal_from_the_queue_shows_its_wait_and_the_slots_in_use(self):
        refusal = msgspec.structs.replace(REFUSAL, waited_ms=33.0, limit=2, running=2)
        line = msgspec.structs.replace(REFUSED, facts=refusal)
        (self.folder / "owner").write_bytes(msgspec.json.encode(line) + b"\n")
        out = self.run_command("007", *(str(self.folder / name) for name in ("owner", "entry")))[1]
        self.assertIn("refused it (stalled) after 33.0 ms in its queue: 2 of 2 slots taken", out)

    def test_request_is_explained_from_files_with_its_cause_at_the_end(self):
        files = [str(self.folder / name) for name in ("owner", "entry")]
        code, out, _ = self.run_command("007", *files)
        self.assertEqual(code, ExitCode.DONE)
        self.assertIn("request 007: not-run: stalled, status 503, after 2.0 ms", out)
        self.assertIn("owner refused it (stalled): 4 of 4 slots taken, 3 waiting", out)
        self.assertIn("cause: no upstream ran it: of 1 attempts", out.splitlines()[-1])

    def test_upstreams_that_ended_during_the_request_or_its_resends_are_listed(self):
        refusal = msgspec.structs.replace(REFUSAL, signature="5f0c")
        refused = msgspec.structs.replace(REFUSED, detail="quarantined", facts=refusal)
        lines = [END, refused]
        for at, upstream, request in ((700, "u1", "001"), (800, "u2", "002"), (900, "u1", "003")):
            facts = EndFacts((UnansweredFacts("5f0c", request), UnansweredFacts("77", "x")))
            ended = LogLine(
                "warning", "owner", at, "UPSTREAM_ENDED", 210, upstream=upstream,
                detail="2 unanswered", facts=facts,
            )  # fmt: skip
            lines.append(ended)
        file = self.folder / "all"
        file.write_bytes(b"".join(msgspec.json.encode(line) + b"\n" for line in lines))
        _, out, _ = self.run_command("007", str(file))
        listed = [line.split(" ")[0] for line in out.split("ran there:\n     ")[1].split("     ")]
        self.assertEqual(listed[:3], ["u1", "u2", "u1"])
        self.assertIn("1 refused (quarantined) since upstreams had ended under it", out)
        # The same holds for an earlier send of the request, although no log contains its end at the
        # entry node.
        self.assertIn("u2 beside owner at 800 ms", self.run_command("001", str(file))[1])

    def test_standard_input_is_read_if_no_file_is_named(self):
        text = "".join((self.folder / name).read_text() for name in ("entry", "owner"))
        with mock.patch("sys.stdin", io.StringIO("half a li\n" + text)):
            code, out, _ = self.run_command("007")
        self.assertEqual(code, ExitCode.DONE)
        self.assertIn("1 lines could not be read", out)

    def test_missing_file_is_reported(self):
        code, out, err = self.run_command("007", "/no/such/file")
        self.assertEqual((code, out), (ExitCode.USAGE, ""))
        self.assertIn("/no/such/file: expected a readable file", err)


if __name__ == "__main__":
    unittest.main()
