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
    """Open a TLS link in memory; return both ends, or raise the error of the first that failed."""
    left, right = trio.testing.memory_stream_pair()
    client = trio.SSLStream(left, client_context, server_hostname=name)
    server = trio.SSLStream(right, server_context, server_side=True)
    errors = []

    async def run_end(stream, use, *arguments):
        try:
            await stream.do_handshake()
            # In TLS 1.3 the client learns at its first read that its certificate was refused.
            await use(*arguments)
        except trio.BrokenResourceError as error:
            errors.append(error)
            await trio.aclose_forcefully(stream)

    with trio.fail_after(10):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run_end, server, server.send_all, b"!")
            nursery.start_soon(run_end, client, client.receive_some, 1)
    if errors:
        raise errors[0]
    return client, server


class TestKeys(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = make_authority(Path(folder.name, "keys"))
        self.other = make_authority(Path(folder.name, "other"))
        self.server = load(make_table(self.folder, "b"))
        self.client = load(make_table(self.folder, "a"))

    def open_link(self, client, server, name="b"):
        return trio.run(complete_handshake, client, server, name)

    def assert_refused(self, client, server, name="b"):
        with self.assertRaises(trio.BrokenResourceError) as caught:
            self.open_link(client, server, name)
        return repr(caught.exception.__cause__)

    def test_each_end_reads_the_instance_name_of_the_other(self):
        client, server = self.open_link(self.client.client, self.server.server)
        self.assertEqual(read_identity(client), Identity(Role.INSTANCE, "b"))
        self.assertTrue(read_identity(server).is_instance("a"))
        self.assertFalse(read_identity(server).is_instance("b"))

    def test_refuses_a_server_of_another_name(self):
        cause = self.assert_refused(self.client.client, self.server.server, "c")
        self.assertIn("Hostname mismatch", cause)

    def test_refuses_a_certificate_of_another_authority_at_either_end(self):
        table = make_table(self.other, "b")
        self.assert_refused(self.client.client, load(table).server)
        foreign_client = load(make_table(self.other, "a", authority=self.folder))
        self.assert_refused(foreign_client.client, self.server.server)

    def test_refuses_a_client_without_a_certificate(self):
        context_without_certificate = ssl.create_default_context(cafile=self.server.table.authority)
        self.assert_refused(context_without_certificate, self.server.server)

    def make_operator(self, name: str) -> ssl.SSLContext:
        self.assertTrue(make_keys(MakeOperatorKey(name, str(self.folder), "1")).is_ok())
        pair = read_table(self.folder, f"operator-{name}")
        context = ssl.create_default_context(cafile=pair.authority)
        context.load_cert_chain(pair.certificate, pair.key)
        return context

    def test_refuses_operators_as_peers_and_instances_as_operators(self):
        operator = self.make_operator("a")
        server = load_keys(self.server.table, self.server.recorder, self.server.table.authority).ok
        _, peer_stream = self.open_link(operator, server.operators)
        self.assertEqual(read_identity(peer_stream), Identity(Role.OPERATOR, "a"))
        self.assertFalse(read_identity(peer_stream).is_instance("a"))
        self.assertIn("of an instance", self.assert_refused(operator, server.server))
        self.assertIn("of an operator", self.assert_refused(self.client.client, server.operators))
        details = [event.detail for event in self.server.recorder.events]
        self.assertIn("expected the certificate of an instance", details[0])
        self.assertEqual(len(details), 2)

    def test_operators_with_tokens_need_no_certificate(self):
        context_without_certificate = ssl.create_default_context(cafile=self.server.table.authority)
        self.open_link(context_without_certificate, self.server.operators)

    def test_renewed_keys_apply_to_new_links_and_keep_open_links(self):
        running, server_stream = self.open_link(self.client.client, self.server.server)
        before = running.getpeercert()["serialNumber"]
        make_table(self.folder, "b")
        self.server.reload()
        context_without_certificate = ssl.create_default_context(cafile=self.server.table.authority)
        for client, server in (
            (self.client.client, self.server.server),
            (context_without_certificate, self.server.operators),
        ):
            renewed, _ = self.open_link(client, server)
            self.assertNotEqual(renewed.getpeercert()["serialNumber"], before)
        self.assertEqual(
            [event.kind for event in self.server.recorder.events], [EventKind.KEYS_RELOADED]
        )

        async def exchange_data():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(server_stream.send_all, b"still here")
                self.assertEqual(await running.receive_some(20), b"still here")

        trio.run(exchange_data)

    def test_renewed_authority_applies_to_new_links(self):
        foreign_client = load(make_table(self.other, "a", authority=self.folder))
        self.assert_refused(foreign_client.client, self.server.server)
        both = (self.folder / "authority.pem").read_bytes()
        both += (self.other / "authority.pem").read_bytes()
        (self.folder / "authority.pem").write_bytes(both)
        self.server.reload()
        self.open_link(foreign_client.client, self.server.server)

    def test_incomplete_keys_are_refused_and_the_old_ones_stay(self):
        Path(self.server.table.key).write_text("garbage")
        self.server.reload()
        self.server.reload()
        self.assertEqual(
            [event.kind for event in self.server.recorder.events], [EventKind.KEYS_REFUSED]
        )
        self.open_link(self.client.client, self.server.server)

    def test_error_names_the_file_that_cannot_be_used(self):
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
