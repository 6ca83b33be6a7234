"""Notice that peers know a later run of this process, and so ignore this one."""

import msgspec

from bendwind_core.messages import IncarnationReply
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Instance


class LaterRuns(msgspec.Struct):
    """Hold the incarnation of the newest run of this process that a peer knows, 0 if none does."""

    own: Instance
    recorder: Recorder
    newest: int = 0

    def note(self, peer: str, reply: IncarnationReply) -> None:
        """Record the run that a peer knows if it is later than this one and any noted before."""
        if reply.incarnation > max(self.own.incarnation, self.newest):
            self.newest = reply.incarnation
            detail = f"{peer} knows {reply.incarnation}, this is {self.own.incarnation}"
            self.recorder.record(EventKind.RUN_OVERTAKEN, detail=detail)
