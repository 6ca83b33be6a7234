"""Reserve ports for the processes of a soak, which are down for a time and start again."""

import contextlib
import random
import socket
from collections.abc import Iterator, Sequence

from bendwind_bench.deployment.layout import HOST

BLOCK_SIZE = 500
# Apart from the ports of other deployments, and below those of outgoing connections.
BLOCKS = [range(first, first + BLOCK_SIZE) for first in range(10000, 15000, BLOCK_SIZE)]


@contextlib.contextmanager
def reserve_ports(blocks: Sequence[range] = BLOCKS) -> Iterator[range]:
    """Provide ports that no other soak takes meanwhile; the first of a block is held as its mark.

    Errors: raises OSError if all blocks are taken.
    """
    for block in random.sample(blocks, len(blocks)):
        with socket.socket() as mark:
            try:
                mark.bind((HOST, block[0]))
            except OSError:
                continue
            yield block[1:]
            return
    raise OSError("all ports of soaks are taken")
