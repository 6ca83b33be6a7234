"""Answer the requests that accept the loss of a service's claims."""

import random

import msgspec

from bendwind_core.claims import ChangeClaimGroup, ClaimGroup, choose_claim_group, index_alive_nodes
from bendwind_core.plans import GroupChanged
from bendwind_core.timeline import EventKind, Recorder
from bendwind_core.world import Upstream, UpstreamState
from bendwind_node.operators.control_client import ControlClient, propose_command
from bendwind_node.operators.errors import ErrorKind, command_error, control_error, plain_error
from bendwind_node.operators.http import Response, json_response
from bendwind_node.operators.status_source import StatusSource
from bendwind_node.operators.views import GroupView


class ClaimRoutes(msgspec.Struct):
    """Answer requests about claims on a control voter."""

    control: ControlClient
    source: StatusSource
    recorder: Recorder
    rng: random.Random

    async def accept_loss(self, service: str) -> Response:
        """Start a new claim group for a service after every holder of its claims was lost."""
        confirmed = await self.control.barrier()
        if confirmed.is_error():
            return control_error(confirmed.error)
        group = self.control.state.claim_groups.get(service)
        if group is None:
            text = f"{service!r} has no claims"
            return plain_error(404, ErrorKind.UNKNOWN_SERVICE, text)
        if not group.lost:
            text = f"the claims of {service!r} are not lost"
            return plain_error(409, ErrorKind.NO_LOST_CLAIMS, text)
        return await self._replace_group(group)

    async def _replace_group(self, lost_group: ClaimGroup) -> Response:
        new = _choose_members(lost_group, self.source.upstreams(), self.rng)
        if new is None:
            return plain_error(503, ErrorKind.NO_QUORUM, "no node is available to hold claims")
        command = ChangeClaimGroup(new, lost_group.epoch, accept_loss=True)
        outcome = await propose_command(self.control, command)
        if outcome.is_error():
            return control_error(outcome.error)
        if not isinstance(outcome.ok, GroupChanged):
            return command_error(outcome.ok)
        detail = f"loss of the claims of {lost_group.service} accepted, epoch {new.epoch}"
        self.recorder.record(EventKind.CLAIM_LOSS_ACCEPTED, detail=detail)
        return json_response(200, GroupView(new.service, new.epoch, new.members))


def _choose_members(
    lost_group: ClaimGroup, upstreams: tuple[Upstream, ...], rng: random.Random
) -> ClaimGroup | None:
    ready = [upstream for upstream in upstreams if upstream.state is UpstreamState.READY]
    alive = tuple({upstream.owner.name: upstream.owner for upstream in ready}.values())
    service_owners = {
        upstream.owner.name for upstream in ready if upstream.service == lost_group.service
    }
    group = choose_claim_group(
        lost_group.service, None, index_alive_nodes(alive), rng, owners=service_owners
    )
    if group is None:
        return None
    return msgspec.structs.replace(group, epoch=lost_group.epoch + 1)
