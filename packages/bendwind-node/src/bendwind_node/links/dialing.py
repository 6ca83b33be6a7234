"""Dial the processes of a deployment over WebSocket."""

from websockets.trio.client import connect


class PeerConnect(connect):
    """Open a connection to a peer, which never redirects.

    Errors: raises InvalidHandshake for a redirect, as for any other refusal.
    """

    def process_redirect(self, exc: Exception) -> Exception:
        """Return the error of a handshake; the library raises others for a redirect."""
        return exc
