"""Admits lookups, chooses executors, retries and forwards to other hosts."""

__all__ = ["IncomingLookup", "LookupRouter"]

import itertools
import random
import secrets

import attrs
from returns.result import Failure, Result, Success

from dragonflybank.cluster import messages
from dragonflybank.host.lookup_slots import LookupSlots
from dragonflybank.model.codes import Code, Problem, failure, proves_not_run
from dragonflybank.model.decisions import Decision
from dragonflybank.model.resources import Resources
from dragonflybank.model.work import (
    Answer,
    WorkClass,
    WorkKind,
    answer_for_problem,
)
from dragonflybank.policy.placement import LookupPolicy
from dragonflybank.policy.quotas import LookupQuota
from dragonflybank.policy.retries import RetryBudget
from dragonflybank.policy.routing import (
    LinkCost,
    Route,
    RouteKind,
    RoutingRequest,
    route_lookup,
)

LOOKUP_NEED = Resources(slots=1, connections=1)
# A first attempt may use this fraction of the remaining time, so that time for
# a second one is left if the executor does not respond.
FIRST_ATTEMPT_FRACTION = 0.5
# An executor counts as unresponsive after this multiple of the planned service
# time.
UNRESPONSIVE_FACTOR = 4.0
# No attempt is made with less time than this left.
MIN_ATTEMPT_S = 0.01
# Part of a caller's timeout that is reserved for sending the answer and for
# the network latency to the caller, 1 to 3 ms.
CALLER_REPLY_MARGIN_S = 0.01
# Time for the reply of another host in addition to the latency of the link.
PEER_REPLY_MARGIN_S = 0.02
# A lookup that fails on two executors is taken to be faulty itself.
MAX_FAILED_ATTEMPTS = 2
BYTES_PER_MB = 1e6


@attrs.frozen
class IncomingLookup:
    """A lookup that a host received from a caller or another host.

    Attributes:
        team: Team of the caller.
        work_class: Name of the work class.
        payload: Request body, UTF-8 text.
        timeout_s: Timeout in seconds; 0 for the timeout of the class.
        request_id: Identifier; empty for a new request.
        hops: Number of hops so far: 0 from a caller, 1 from a host of the same
            region, 2 from another region.
    """

    team: str
    work_class: str
    payload: str
    timeout_s: float = 0.0
    request_id: str = ""
    hops: int = 0


@attrs.define
class _AttemptHistory:
    """The attempts of a lookup so far.

    Attributes:
        tried: Names of the workers and hosts that were tried.
        may_have_run: Whether an attempt without an answer may have run.
        failures: Number of attempts that ran and failed.
        local_exhausted: Whether no worker of this host is left to try.
    """

    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    failures: int = 0
    local_exhausted: bool = False


class LookupRouter:
    """Runs lookups on this host's workers or forwards them to other hosts.

    Attributes:
        slots: Slots of this host's executors.
    """

    def __init__(self, host):
        self._host = host
        self._rng = random.Random(host.name)
        self._policy = LookupPolicy(seed=self._rng.randrange(1 << 30))
        self.slots = LookupSlots(host)
        self._quotas: dict[str, LookupQuota] = {}
        self._retry_budget = RetryBudget()
        self._request_numbers = itertools.count()

    async def serve_caller(self, req: IncomingLookup, *, now: float) -> Answer:
        """Admits and serves the lookup of a caller."""
        if not self._host.active_config.generation:
            return answer_for_problem(
                Problem(
                    Code.NO_WORKER,
                    "the host has no configuration yet",
                    retry_after_s=0.5,
                )
            )
        found = self._host.active_config.work_class(req.work_class).bind(
            _require_lookup_class
        )
        if isinstance(found, Failure):
            return answer_for_problem(found.failure())
        admitted = self._admit(req, now)
        if isinstance(admitted, Failure):
            return answer_for_problem(admitted.failure())
        wc = found.unwrap()
        req = attrs.evolve(
            req,
            request_id=f"{self._host.name}-{next(self._request_numbers)}-"
            f"{secrets.token_hex(4)}",
            timeout_s=_effective_timeout_s(req, wc),
        )
        self._retry_budget.on_request()
        reply = await self.serve(req, wc, now=now)
        self._host.metrics.lookup_seconds.observe(self._host.clock() - now)
        if isinstance(reply, Failure):
            self._log_decision("refuse", req, "", reply.failure().detail, reply)
            return answer_for_problem(reply.failure())
        return Answer.from_result(reply.unwrap())

    async def serve(
        self, req: IncomingLookup, wc: WorkClass, *, now: float
    ) -> Result[str, Problem]:
        """Serves a lookup within its timeout, here or at another host.

        Args:
            req: The lookup, with its identifier and timeout set.
            wc: Work class of the lookup.
            now: Time of arrival, seconds since 1970.

        Returns:
            The result; a problem that proves that the lookup did not run or
            that it failed; or ``ANSWER_LOST`` if it may have run.
        """
        deadline = now + req.timeout_s
        history = _AttemptHistory()
        last = failure(Code.NO_WORKER, "no worker is free", retry_after_s=0.5)
        while (left_s := deadline - self._host.clock()) > MIN_ATTEMPT_S:
            reply = await self._attempt(req, wc, history, deadline, left_s)
            if isinstance(reply, Success):
                return reply
            last = reply
            if not self._may_retry(reply.failure(), req, wc, history):
                break
        if not proves_not_run(last.failure().code):
            return last
        # The last attempt did not run, but an earlier one may have.
        if history.may_have_run:
            return failure(
                Code.ANSWER_LOST,
                "an attempt may have run",
                retry_after_s=last.failure().retry_after_s,
            )
        if history.failures:
            return failure(
                Code.TASK_FAILED,
                "an attempt failed, and no other worker could run it",
                retry_after_s=last.failure().retry_after_s,
            )
        return last

    async def _attempt(
        self, req, wc, history, deadline, left_s
    ) -> Result[str, Problem]:
        now = self._host.clock()
        route = route_lookup(
            RoutingRequest(
                total_bytes=2 * len(req.payload),
                time_left_s=left_s,
                value=wc.value,
                hops_in_region=min(req.hops, 1),
                hops_between_regions=max(0, req.hops - 1),
            ),
            self._host.capacity_summary(now),
            self._host.fresh_summaries(now) if req.hops < 2 else (),
            now,
            self._rng,
            link_cost=LinkCost(
                cost_per_byte=self._host.settings.price_per_mb / BYTES_PER_MB
            ),
            avoid=history.tried,
        )
        if req.hops == 0 and self._is_local_run_impossible(route, history, now):
            route = self._route_to_any_peer(route, history, now)
        if route.host and wc.repeatable:
            self._log_decision(
                "forward", req, route.host, route.reason, route=route
            )
            return await self._forward(req, route, wc, history, left_s)
        return await self._run_locally(req, wc, history, deadline)

    def _is_local_run_impossible(
        self, route: Route, history: _AttemptHistory, now: float
    ) -> bool:
        """Returns whether waiting for a worker of this host is useless."""
        if history.local_exhausted:
            return not route.host
        if route.kind is not RouteKind.WAIT:
            return False
        return (
            self._host.draining
            or not self._host.owned_workers.ready_sessions(now)
        )

    def _route_to_any_peer(
        self, route: Route, history: _AttemptHistory, now: float
    ) -> Route:
        """Returns a route to a random live peer of the region.

        The summary of a peer may be outdated, so a peer without free capacity
        in its summary is tried too.
        """
        peers = self._untried_peers(history, now)
        if not peers:
            return route
        chosen = self._rng.choice(peers)
        return Route(
            RouteKind.PEER, chosen, "no worker of this host can run it"
        )

    def _untried_peers(self, history: _AttemptHistory, now: float) -> list[str]:
        region = self._host.settings.region
        peers = set(self._host.membership.live_hosts(region, now))
        return sorted(peers - {self._host.name} - history.tried)

    def _are_hosts_exhausted(
        self, history: _AttemptHistory, now: float
    ) -> bool:
        """Returns whether neither this host nor another peer can be tried."""
        is_local_impossible = self._host.draining or history.local_exhausted
        return is_local_impossible and not self._untried_peers(history, now)

    async def _forward(
        self, req, route, wc, history, left_s
    ) -> Result[str, Problem]:
        history.tried.add(route.host)
        self._host.metrics.forwards.labels(route.kind.value).inc()
        is_last = self._are_hosts_exhausted(history, self._host.clock())
        timeout_s = (
            left_s
            if is_last
            else self._attempt_timeout_s(req, wc, history, left_s)
        )
        # The other host gets a shorter timeout, so that its refusal arrives
        # before the timeout here and is not mistaken for a lost answer.
        reply_time_s = self._host.round_trip_s(route.host) + PEER_REPLY_MARGIN_S
        reply = await self._host.links.call(
            route.host,
            messages.LookupRequest(
                req.request_id,
                req.team,
                req.work_class,
                req.payload,
                max(0.0, timeout_s - reply_time_s),
                1 if route.kind is RouteKind.PEER else 2,
            ),
            timeout_s=timeout_s,
        )
        return reply.lash(_full_if_not_run).bind(
            lambda found: _check_request_id(found, req.request_id)
        )

    async def _run_locally(
        self, req, wc, history, deadline
    ) -> Result[str, Problem]:
        now = self._host.clock()
        if self._host.draining and not self._host.owned_workers.ready_sessions(
            now
        ):
            return failure(
                Code.NO_WORKER, "the host is leaving", retry_after_s=0.1
            )
        granted = await self.slots.acquire(req.request_id, wc, deadline)
        if isinstance(granted, Failure):
            return granted
        started = self._host.clock()
        try:
            return await self._execute_on_worker(req, wc, history, deadline)
        finally:
            self.slots.release(wc, self._host.clock() - started)

    async def _execute_on_worker(
        self, req, wc, history, deadline
    ) -> Result[str, Problem]:
        now = self._host.clock()
        chosen = self._policy.choose(
            LOOKUP_NEED,
            self._host.owned_workers.lookup_candidates(now),
            now,
            avoid=history.tried,
        )
        if isinstance(chosen, Failure):
            return chosen
        choice = chosen.unwrap()
        self._log_decision(
            "place", req, choice.name, choice.reason, route=choice
        )
        history.tried.add(choice.name)
        self._host.worker_health.record_lookup_start(choice.name, now)
        timeout_s = self._attempt_timeout_s(req, wc, history, deadline - now)
        session = self._host.owned_workers.session(choice.name)
        self.slots.executing += 1
        try:
            reply = await session.execute(
                req.request_id,
                work_class=wc.name,
                payload=req.payload,
                timeout_s=timeout_s,
                now=now,
            )
        finally:
            self.slots.executing -= 1
        self._host.worker_health.record_lookup_end(choice.name, req, reply)
        return reply

    def _attempt_timeout_s(self, req, wc, history, left_s: float) -> float:
        """Returns the timeout of the next attempt in seconds.

        A first attempt leaves time for a second one, unless its timeout would
        then be too short for executors that are only slow.
        """
        if not wc.repeatable or history.may_have_run:
            return left_s
        service_s = self.slots.planned_service_s(wc)
        first_s = left_s * FIRST_ATTEMPT_FRACTION
        return first_s if first_s >= UNRESPONSIVE_FACTOR * service_s else left_s

    def _may_retry(self, failed, req, wc, history) -> bool:
        """Records a failed attempt; returns whether another one is allowed."""
        match failed.code:
            case Code.FULL | Code.STALE_EPOCH | Code.NOT_OWNER | Code.DRAINING:
                return True
            case Code.UNREACHABLE:
                pass
            case Code.NO_WORKER if (
                not history.local_exhausted and req.hops == 0
            ):
                history.local_exhausted = True
                now = self._host.clock()
                return wc.repeatable and bool(self._untried_peers(history, now))
            case Code.TASK_FAILED:
                history.failures += 1
                if not wc.repeatable or history.failures >= MAX_FAILED_ATTEMPTS:
                    return False
            case code if proves_not_run(code):
                return False
            case _:
                history.may_have_run = True
        if not wc.repeatable and history.may_have_run:
            return False
        granted = self._retry_budget.allow_retry()
        self._host.metrics.retries.labels(str(granted).lower()).inc()
        return granted

    def _admit(self, req: IncomingLookup, now: float) -> Result[None, Problem]:
        team = self._host.active_config.team(req.team)
        if team is None:
            return failure(
                Code.BAD_REQUEST,
                f"found {req.team!r}",
                field="team",
                accepted="a team of the configuration",
            )
        if self._host.draining:
            return failure(
                Code.DRAINING, "the host is leaving", retry_after_s=0.1
            )
        hosts = self._host.membership.live_hosts(
            self._host.settings.region, now
        )
        rate = int(team.lookups_per_s)
        quota = self._quotas.get(team.name)
        if quota is None:
            quota = LookupQuota(self._host.name, rate, hosts, now)
            self._quotas[team.name] = quota
        quota.update(rate, hosts, now)
        return quota.admit(now)

    def _log_decision(
        self, kind, req, chosen, reason, failed=None, *, route=None
    ):
        self._host.decisions.add(
            Decision(
                self._host.clock(),
                kind,
                req.request_id or f"{req.team}/{req.work_class}",
                chosen,
                reason,
                route.passed_over if route else (),
                int(failed.failure().code) if failed else 0,
            )
        )


def _require_lookup_class(wc: WorkClass) -> Result[WorkClass, Problem]:
    if wc.kind is WorkKind.LOOKUP:
        return Success(wc)
    return failure(
        Code.BAD_REQUEST,
        f"{wc.name} is not a lookup class",
        field="work_class",
        accepted="a class of kind lookup; other work goes to /v1/jobs",
    )


def _effective_timeout_s(req: IncomingLookup, wc: WorkClass) -> float:
    wanted = req.timeout_s or wc.timeout_s
    return max(0.0, min(wanted, wc.timeout_s) - CALLER_REPLY_MARGIN_S)


def _full_if_not_run(failed: Problem) -> Result:
    """Turns a problem of another host that proves "not run" into ``FULL``."""
    if proves_not_run(failed.code):
        return failure(Code.FULL, failed.detail)
    return Failure(failed)


def _check_request_id(reply, request_id: str) -> Result[str, Problem]:
    if reply.request_id != request_id:
        return failure(Code.TIMED_OUT, "the reply is for another request")
    return Success(reply.result)
