"""Handlers of the requests of other hosts."""

__all__ = ["handlers"]

import collections
from collections.abc import Mapping

from returns.result import Result, Success

from dragonflybank.cluster import messages
from dragonflybank.cluster.links import Handler, typed_handler
from dragonflybank.cluster.messages import RequestKind
from dragonflybank.host.lookups import LookupRequest
from dragonflybank.host.runner import reserve_here
from dragonflybank.model.codes import Problem
from dragonflybank.model.leases import Reservation

# Requests whose reservations are remembered, so that a request that is
# delivered twice holds room once.
REMEMBERED_RESERVES = 1024


def handlers(host) -> Mapping[str, Handler]:
    """Returns the handler of each kind of request.

    Args:
        host: The scheduler host.
    """
    owner = _OwnerCalls(host)

    async def gossip(sender, req):
        return await host.gossiper.handle_gossip(req, host.clock())

    async def fetch_config(sender, req):
        return await host.spread.handle_fetch(req)

    async def handover(sender, req):
        return await host.ownership.handle_handover(sender, req, host.clock())

    async def lookup(sender, req):
        return await _lookup(host, req)

    async def job(sender, req):
        found = await host.jobs.at_this_host(req)
        return found.map(messages.JobReply)

    async def task_finished(sender, req):
        kept = await host.jobs.finished_here(req.event)
        return Success(messages.FinishedReply(kept))

    async def list_work(sender, req):
        return Success(host.view.rows_here(req.table, req.limit))

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
            messages.ReserveRequest, owner.reserve
        ),
        RequestKind.RELEASE: typed_handler(
            messages.ReleaseRequest, owner.release
        ),
        RequestKind.START: typed_handler(messages.StartRequest, owner.start),
        RequestKind.STOP: typed_handler(messages.StopRequest, owner.stop),
        RequestKind.RESOLVE: typed_handler(
            messages.ResolveRequest, owner.resolve
        ),
        RequestKind.TASK_FINISHED: typed_handler(
            messages.TaskFinished, task_finished
        ),
        RequestKind.LIST_WORK: typed_handler(messages.ListWork, list_work),
    }


class _OwnerCalls:
    """Calls of shard homes to this host as the owner of workers."""

    def __init__(self, host):
        self._host = host
        self._reserved: collections.OrderedDict[
            str, tuple[Reservation, ...]
        ] = collections.OrderedDict()

    async def reserve(self, sender, req) -> Result:
        """Holds room once for each request identity."""
        held = self._reserved.get(req.request_id)
        if held is None:
            held = reserve_here(
                self._host,
                req.need,
                req.count,
                avoid=req.avoid,
                now=self._host.clock(),
                policy=self._host.policy,
                subject=f"{sender}/{req.request_id}",
                hold_s=req.hold_s,
            ).held
            self._reserved[req.request_id] = held
            if len(self._reserved) > REMEMBERED_RESERVES:
                self._reserved.popitem(last=False)
        return Success(messages.ReserveReply(held))

    async def release(self, sender, req) -> Result:
        """Frees reservations."""
        self._host.owner.release(req.reservations)
        return Success(messages.EmptyReply())

    async def start(self, sender, req) -> Result:
        """Passes a start on to its worker."""
        reply = await self._host.owner.start(req)
        return reply.map(messages.StartAnswer)

    async def stop(self, sender, req) -> Result:
        """Stops tasks."""
        stopped = await self._host.owner.stop(req.starts)
        return stopped.map(lambda _: messages.EmptyReply())

    async def resolve(self, sender, req) -> Result:
        """Decides what became of a start."""
        return await self._host.owner.resolve(req.start)


async def _lookup(host, req) -> Result[messages.LookupReply, Problem]:
    now = host.clock()
    forwarded = LookupRequest(
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
