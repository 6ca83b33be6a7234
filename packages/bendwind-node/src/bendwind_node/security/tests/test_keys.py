import os
import ssl
import tempfile
import unittest
from pathlib import Path

import trio
import trio.testing

from bendwind_cli.commands import MakeAuthority, MakeInstanceKey, MakeOperatorKey
from bendwind_cli.keys import make_keys
from bendwind_core.timeline import EventKind, Recorder
from bendwind_node.security import Identity, Role, load_keys, read_identity
from bendwind_node.settings import TlsTable


def make_authority(folder: Path) -> Path:
    assert make_keys(MakeAuthority(str(folder), "1")).is_ok()
    return folder


def make_table(folder: Path, name: str, authority: Path | None = None) -> TlsTable:
    assert make_keys(MakeInstanceKey(name, "127.0.0.1", str(folder), "1")).is_ok()
    return read_table(folder, name, authority)


def read_table(folder: Path, name: str, authority: Path | None = None) -> TlsTable:
    return TlsTable(
        authority=str((authority or folder) / "authority.pem"),
        certificate=str(folder / f"{name}.pem"),
        key=str(folder / f"{name}.key"),
    )


def load(table: TlsTable):
    return load_keys(table, Recorder("b", lambda: 1, 100)).ok


async def complete_handshake(client_context, server_context, name):
    """Open a TLS link over memory; return both ends, or raise what the first end to fail did."""
    left, right = trio.testing.memory_stream_pair()
    client = trio.SSLStream(left, client_context, server_hostname=name)
    server = trio.SSLStream(right, server_context, server_side=True)
    faults = []

    async def work(stream, use, *arguments):
        try:
            await stream.do_handshake()
            # TLS 1.3: a refusal of the client's certificate shows at its first read.
            await use(*arguments)
        except trio.BrokenResourceError as fault:
            faults.append(fault)
            await trio.aclose_forcefully(stream)

    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(work, server, server.send_all, b"!")
            nursery.start_soon(work, client, client.receive_some, 1)
    if faults:
        raise faults[0]
    return client, server


class TestKeys(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = make_authority(Path(folder.name, "keys"))
        self.other = make_authority(Path(folder.name, "other"))
        self.server = load(make_table(self.folder, "b"))
        self.client = load(make_table(self.folder, "a"))

    def link(self, client, server, name="b"):
        return trio.run(complete_handshake, client, server, name)

    def assert_refused(self, client, server, name="b"):
        with self.assertRaises(trio.BrokenResourceError) as caught:
            self.link(client, server, name)
        return repr(caught.exception.__cause__)

    def test_each_end_learns_the_others_instance_name(self):
        client, server = self.link(self.client.client, self.server.server)
        self.assertEqual(read_identity(client), Identity(Role.INSTANCE, "b"))
        self.assertTrue(read_identity(server).is_instance("a"))
        self.assertFalse(read_identity(server).is_instance("b"))

    def test_refuses_a_server_of_another_name(self):
        cause = self.assert_refused(self.client.client, self.server.server, "c")
        self.assertIn("Hostname mismatch", cause)

    def test_refuses_either_end_of_another_authority(self):
        table = make_table(self.other, "b")
        self.assert_refused(self.client.client, load(table).server)
        stranger = load(make_table(self.other, "a", authority=self.folder))
        self.assert_refused(stranger.client, self.server.server)

    def test_refuses_a_client_without_a_certificate(self):
        bare = ssl.create_default_context(cafile=self.server.table.authority)
        self.assert_refused(bare, self.server.server)

    def make_operator(self, name: str) -> ssl.SSLContext:
        self.assertTrue(make_keys(MakeOperatorKey(name, str(self.folder), "1")).is_ok())
        pair = read_table(self.folder, f"operator-{name}")
        context = ssl.create_default_context(cafile=pair.authority)
        context.load_cert_chain(pair.certificate, pair.key)
        return context

    def test_an_operator_is_no_peer_and_an_instance_no_operator(self):
        operator = self.make_operator("a")
        server = load_keys(self.server.table, self.server.recorder, self.server.table.authority).ok
        _, seen = self.link(operator, server.operators)
        self.assertEqual(read_identity(seen), Identity(Role.OPERATOR, "a"))
        self.assertFalse(read_identity(seen).is_instance("a"))
        self.assertIn("of an instance", self.assert_refused(operator, server.server))
        self.assertIn("of an operator", self.assert_refused(self.client.client, server.operators))
        details = [event.detail for event in self.server.recorder.events]
        self.assertIn("expected the certificate of an instance", details[0])
        self.assertEqual(len(details), 2)

    def test_operators_with_tokens_need_no_certificate(self):
        bare = ssl.create_default_context(cafile=self.server.table.authority)
        self.link(bare, self.server.operators)

    def test_renewed_keys_serve_new_links_and_cut_no_running_one(self):
        running, server_stream = self.link(self.client.client, self.server.server)
        before = running.getpeercert()["serialNumber"]
        make_table(self.folder, "b")
        self.server.reload()
        bare = ssl.create_default_context(cafile=self.server.table.authority)
        for client, server in (
            (self.client.client, self.server.server),
            (bare, self.server.operators),
        ):
            renewed, _ = self.link(client, server)
            self.assertNotEqual(renewed.getpeercert()["serialNumber"], before)
        self.assertEqual(
            [event.kind for event in self.server.recorder.events], [EventKind.KEYS_RELOADED]
        )

        async def talk():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server_stream.send_all, b"still here")
                self.assertEqual(await running.receive_some(20), b"still here")

        trio.run(talk)

    def test_a_renewed_authority_is_asked_of_new_links(self):
        stranger = load(make_table(self.other, "a", authority=self.folder))
        self.assert_refused(stranger.client, self.server.server)
        both = (self.folder / "authority.pem").read_bytes()
        both += (self.other / "authority.pem").read_bytes()
        (self.folder / "authority.pem").write_bytes(both)
        self.server.reload()
        self.link(stranger.client, self.server.server)

    def test_half_written_keys_are_refused_and_the_old_ones_stay(self):
        Path(self.server.table.key).write_text("garbage")
        self.server.reload()
        self.server.reload()
        self.assertEqual(
            [event.kind for event in self.server.recorder.events], [EventKind.KEYS_REFUSED]
        )
        self.link(self.client.client, self.server.server)

    def test_a_key_of_another_certificate_is_named(self):
        make_table(self.folder, "c")
        os.replace(self.folder / "c.key", self.folder / "b.key")
        self.assertIn("b.pem: ", str(load_keys(self.server.table, self.server.recorder).error))
        os.remove(self.folder / "authority.pem")
        self.assertIn(
            "authority.pem: No such file",
            str(load_keys(self.server.table, self.server.recorder).error),
        )


if __name__ == "__main__":
    unittest.main()
