"""Handlers for the requests of other hosts."""

__all__ = ["make_peer_handlers"]

import collections
from collections.abc import Mapping

from returns.result import Result, Success

from dragonflybank.cluster import messages
from dragonflybank.cluster.links import Handler, typed_handler
from dragonflybank.cluster.messages import RequestKind
from dragonflybank.host.lookups import IncomingLookup
from dragonflybank.host.runner import reserve_locally
from dragonflybank.model.codes import Problem
from dragonflybank.model.leases import Reservation

# The reservations of this many latest requests are remembered, so that a
# request that is delivered twice reserves resources only once.
MAX_REMEMBERED_REQUESTS = 1024


def make_peer_handlers(host) -> Mapping[str, Handler]:
    """Returns a handler for each kind of request.

    Args:
        host: The scheduler host.
    """
    owner_handlers = _OwnerHandlers(host)

    async def gossip(sender, req):
        return await host.gossiper.handle_gossip(req, host.clock())

    async def fetch_config(sender, req):
        return await host.config_sync.handle_fetch(req)

    async def handover(sender, req):
        return await host.ownership.handle_handover(sender, req, host.clock())

    async def lookup(sender, req):
        return await _lookup(host, req)

    async def job(sender, req):
        found = await host.jobs.handle_request(req)
        return found.map(messages.JobReply)

    async def task_finished(sender, req):
        journalled = await host.jobs.journal_task_end(req.event)
        return Success(messages.FinishedReply(journalled))

    async def list_work(sender, req):
        return Success(host.view.local_rows(req.table, req.limit))

    return {
        RequestKind.GOSSIP: typed_handler(messages.Gossip, gossip),
        RequestKind.FETCH_CONFIG: typed_handler(
            messages.FetchConfig, fetch_config
        ),
        RequestKind.HANDOVER: typed_handler(messages.HandoverRequest, handover),
        RequestKind.LOOKUP: typed_handler(messages.LookupRequest, lookup),
        RequestKind.JOB_SUBMIT: typed_handler(messages.SubmitJob, job),
        RequestKind.JOB_QUERY: typed_handler(messages.QueryJob, job),
        RequestKind.JOB_CANCEL: typed_handler(messages.CancelJob, job),
        RequestKind.RESERVE: typed_handler(
            messages.ReserveRequest, owner_handlers.reserve
        ),
        RequestKind.RELEASE: typed_handler(
            messages.ReleaseRequest, owner_handlers.release
        ),
        RequestKind.START: typed_handler(
            messages.StartRequest, owner_handlers.start
        ),
        RequestKind.STOP: typed_handler(
            messages.StopRequest, owner_handlers.stop
        ),
        RequestKind.RESOLVE: typed_handler(
            messages.ResolveRequest, owner_handlers.resolve
        ),
        RequestKind.TASK_FINISHED: typed_handler(
            messages.TaskFinished, task_finished
        ),
        RequestKind.LIST_WORK: typed_handler(messages.ListWork, list_work),
    }


class _OwnerHandlers:
    """Handles requests of shard homes about the workers of this host."""

    def __init__(self, host):
        self._host = host
        self._reservations_by_request: collections.OrderedDict[
            str, tuple[Reservation, ...]
        ] = collections.OrderedDict()

    async def reserve(self, sender, req) -> Result:
        """Reserves resources, once for each request identifier."""
        held = self._reservations_by_request.get(req.request_id)
        if held is None:
            held = reserve_locally(
                self._host,
                req.need,
                req.count,
                avoid=req.avoid,
                now=self._host.clock(),
                policy=self._host.placement_policy,
                subject=f"{sender}/{req.request_id}",
                hold_s=req.hold_s,
            ).reservations
            self._reservations_by_request[req.request_id] = held
            if len(self._reservations_by_request) > MAX_REMEMBERED_REQUESTS:
                self._reservations_by_request.popitem(last=False)
        return Success(messages.ReserveReply(held))

    async def release(self, sender, req) -> Result:
        """Frees reservations."""
        self._host.owned_workers.release(req.reservations)
        return Success(messages.EmptyReply())

    async def start(self, sender, req) -> Result:
        """Sends a start to its worker."""
        reply = await self._host.owned_workers.start(req)
        return reply.map(messages.StartAnswer)

    async def stop(self, sender, req) -> Result:
        """Stops tasks."""
        stopped = await self._host.owned_workers.stop(req.starts)
        return stopped.map(lambda _: messages.EmptyReply())

    async def resolve(self, sender, req) -> Result:
        """Determines what became of a start."""
        return await self._host.owned_workers.resolve(req.start)


async def _lookup(host, req) -> Result[messages.LookupReply, Problem]:
    now = host.clock()
    forwarded = IncomingLookup(
        req.team,
        req.work_class,
        req.payload,
        req.timeout_s,
        req.request_id,
        req.hops,
    )
    found = host.active_config.work_class(req.work_class)
    if not isinstance(found, Success):
        return found
    reply = await host.lookups.serve(forwarded, found.unwrap(), now=now)
    return reply.map(lambda text: messages.LookupReply(req.request_id, text))
