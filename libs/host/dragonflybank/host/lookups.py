"""Lookups: admission, choice of an executor, retries and forwarding."""

__all__ = ["LookupRequest", "LookupRouter"]

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
# A first attempt may use this part of the time left, so that a silent
# executor leaves time for another one.
FIRST_ATTEMPT_PART = 0.5
# An executor that takes this many times its planned time counts as silent.
SLOW_FACTOR = 4.0
# A shorter rest of the time-out is not worth an attempt.
MIN_ATTEMPT_S = 0.01
# Part of a caller's time-out that is kept for the way back to the caller, 1 to
# 3 ms, and for sending the answer.
REPLY_MARGIN_S = 0.01
# Time for the answer of another host beyond the latency of the link.
ANSWER_MARGIN_S = 0.02
# A lookup that fails on two executors is at fault itself.
ATTEMPTS_THAT_FAIL = 2
BYTES_PER_MB = 1e6


@attrs.frozen
class LookupRequest:
    """A lookup as it arrives at a host.

    Attributes:
        team: Team of the caller.
        work_class: Name of the work class.
        payload: Request body, UTF-8 text.
        timeout_s: Time for the answer in seconds; 0 for the class's.
        request_id: Identity; empty for a new request.
        hops: Number of times that it was forwarded.
    """

    team: str
    work_class: str
    payload: str
    timeout_s: float = 0.0
    request_id: str = ""
    hops: int = 0


@attrs.define
class _Attempts:
    """What happened to a lookup so far.

    Attributes:
        tried: Workers and hosts that were tried.
        may_have_run: Whether some attempt may have run without an answer.
        failures: Number of attempts that ran and failed.
        own_exhausted: Whether no worker of this host is left to try.
    """

    tried: set[str] = attrs.field(factory=set)
    may_have_run: bool = False
    failures: int = 0
    own_exhausted: bool = False


class LookupRouter:
    """Serves lookups at the own workers and forwards what they cannot take.

    Attributes:
        slots: Slots of the own executors.
    """

    def __init__(self, host):
        self._host = host
        self._rng = random.Random(host.name)
        self._policy = LookupPolicy(seed=self._rng.randrange(1 << 30))
        self.slots = LookupSlots(host)
        self._quotas: dict[str, LookupQuota] = {}
        self._budget = RetryBudget()
        self._numbers = itertools.count()

    async def answer(self, req: LookupRequest, *, now: float) -> Answer:
        """Serves a caller's lookup and returns the answer."""
        if not self._host.active_config.generation:
            return answer_for_problem(
                Problem(
                    Code.NO_WORKER,
                    "the host has no configuration yet",
                    retry_after_s=0.5,
                )
            )
        found = self._host.active_config.work_class(req.work_class).bind(
            _only_lookup
        )
        if isinstance(found, Failure):
            return answer_for_problem(found.failure())
        admitted = self._admit(req, now)
        if isinstance(admitted, Failure):
            return answer_for_problem(admitted.failure())
        wc = found.unwrap()
        req = attrs.evolve(
            req,
            request_id=f"{self._host.name}-{next(self._numbers)}-"
            f"{secrets.token_hex(4)}",
            timeout_s=_timeout_s(req, wc),
        )
        self._budget.on_request()
        reply = await self.serve(req, wc, now=now)
        self._host.metrics.lookup_seconds.observe(self._host.clock() - now)
        if isinstance(reply, Failure):
            self._log("refuse", req, "", reply.failure().detail, reply)
            return answer_for_problem(reply.failure())
        return Answer.from_result(reply.unwrap())

    async def serve(
        self, req: LookupRequest, wc: WorkClass, *, now: float
    ) -> Result[str, Problem]:
        """Serves a lookup within its time-out, here or at another host.

        Args:
            req: The lookup with its identity and its time-out.
            wc: Its class.
            now: Time of arrival, seconds since 1970.

        Returns:
            The result; a problem that proves that it did not run; or
            ``ANSWER_LOST`` if it may have run.
        """
        deadline = now + req.timeout_s
        done = _Attempts()
        last = failure(Code.NO_WORKER, "no worker is free", retry_after_s=0.5)
        while (left_s := deadline - self._host.clock()) > MIN_ATTEMPT_S:
            reply = await self._attempt(req, wc, done, deadline, left_s)
            if isinstance(reply, Success):
                return reply
            last = reply
            if not self._may_try_again(reply.failure(), req, wc, done):
                break
        if done.may_have_run and proves_not_run(last.failure().code):
            return failure(
                Code.ANSWER_LOST,
                "an attempt may have run",
                retry_after_s=last.failure().retry_after_s,
            )
        return last

    async def _attempt(
        self, req, wc, done, deadline, left_s
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
            self._host.capacity(now),
            self._host.fresh_summaries(now) if req.hops < 2 else (),
            now,
            self._rng,
            link_cost=LinkCost(
                cost_per_byte=self._host.settings.price_per_mb / BYTES_PER_MB
            ),
            avoid=done.tried,
        )
        if req.hops == 0 and self._is_vain_here(route, done, now):
            route = self._to_any_peer(route, done, now)
        if route.host and wc.repeatable:
            self._log("forward", req, route.host, route.reason, route=route)
            return await self._forward(req, route, wc, done, left_s)
        return await self._run_here(req, wc, done, deadline)

    def _is_vain_here(self, route: Route, done: _Attempts, now: float) -> bool:
        """Returns whether this host cannot serve the lookup, even later."""
        if done.own_exhausted:
            return not route.host
        if route.kind is not RouteKind.WAIT:
            return False
        return self._host.draining or not self._host.owner.ready_sessions(now)

    def _to_any_peer(self, route: Route, done: _Attempts, now: float) -> Route:
        """Returns a route to any live peer, whose summary may be late."""
        peers = self._untried_peers(done, now)
        if not peers:
            return route
        chosen = self._rng.choice(peers)
        return Route(RouteKind.PEER, chosen, "no worker here can take it")

    def _untried_peers(self, done: _Attempts, now: float) -> list[str]:
        region = self._host.settings.region
        peers = set(self._host.membership.live_hosts(region, now))
        return sorted(peers - {self._host.name} - done.tried)

    def _is_last_resort(self, done: _Attempts, now: float) -> bool:
        """Returns whether neither this host nor another peer is left to try."""
        is_vain = self._host.draining or done.own_exhausted
        return is_vain and not self._untried_peers(done, now)

    async def _forward(
        self, req, route, wc, done, left_s
    ) -> Result[str, Problem]:
        done.tried.add(route.host)
        self._host.metrics.forwards.labels(route.kind.value).inc()
        is_last = self._is_last_resort(done, self._host.clock())
        timeout_s = (
            left_s if is_last else self._attempt_s(req, wc, done, left_s)
        )
        # The other host answers in time to be heard here, so that its refusal
        # is not taken for a lost answer.
        way_s = self._host.round_trip_s(route.host) + ANSWER_MARGIN_S
        reply = await self._host.links.call(
            route.host,
            messages.LookupRequest(
                req.request_id,
                req.team,
                req.work_class,
                req.payload,
                max(0.0, timeout_s - way_s),
                1 if route.kind is RouteKind.PEER else 2,
            ),
            timeout_s=timeout_s,
        )
        return reply.lash(_refused_there).bind(
            lambda found: _own_reply(found, req.request_id)
        )

    async def _run_here(self, req, wc, done, deadline) -> Result[str, Problem]:
        now = self._host.clock()
        if self._host.draining and not self._host.owner.ready_sessions(now):
            return failure(
                Code.NO_WORKER, "the host is leaving", retry_after_s=0.1
            )
        granted = await self.slots.acquire(req.request_id, wc, deadline)
        if isinstance(granted, Failure):
            return granted
        started = self._host.clock()
        try:
            return await self._execute(req, wc, done, deadline)
        finally:
            self.slots.release(wc, self._host.clock() - started)

    async def _execute(self, req, wc, done, deadline) -> Result[str, Problem]:
        now = self._host.clock()
        chosen = self._policy.choose(
            LOOKUP_NEED,
            self._host.owner.lookup_candidates(now),
            now,
            avoid=done.tried,
        )
        if isinstance(chosen, Failure):
            return chosen
        choice = chosen.unwrap()
        self._log("place", req, choice.name, choice.reason, route=choice)
        done.tried.add(choice.name)
        self._host.health.chosen(choice.name, now)
        timeout_s = self._attempt_s(req, wc, done, deadline - now)
        session = self._host.owner.session(choice.name)
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
        self._host.health.note_lookup(choice.name, req, reply)
        return reply

    def _attempt_s(self, req, wc, done, left_s: float) -> float:
        """Returns the time for the next attempt in seconds.

        A first attempt leaves time for a second one, unless that would cut
        off executors that are merely slow.
        """
        if not wc.repeatable or done.may_have_run:
            return left_s
        planned_s = self.slots.planned_s(wc)
        first_s = left_s * FIRST_ATTEMPT_PART
        return first_s if first_s >= SLOW_FACTOR * planned_s else left_s

    def _may_try_again(self, failed, req, wc, done) -> bool:
        """Returns whether another attempt is allowed after a failure."""
        match failed.code:
            case Code.FULL | Code.STALE_EPOCH | Code.NOT_OWNER | Code.DRAINING:
                return True
            case Code.UNREACHABLE:
                pass
            case Code.NO_WORKER if not done.own_exhausted and req.hops == 0:
                done.own_exhausted = True
                now = self._host.clock()
                return wc.repeatable and bool(self._untried_peers(done, now))
            case Code.TASK_FAILED:
                done.failures += 1
                if not wc.repeatable or done.failures >= ATTEMPTS_THAT_FAIL:
                    return False
            case code if proves_not_run(code):
                return False
            case _:
                done.may_have_run = True
        if not wc.repeatable and done.may_have_run:
            return False
        granted = self._budget.allow_retry()
        self._host.metrics.retries.labels(str(granted).lower()).inc()
        return granted

    def _admit(self, req: LookupRequest, now: float) -> Result[None, Problem]:
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

    def _log(self, kind, req, chosen, reason, failed=None, *, route=None):
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


def _only_lookup(wc: WorkClass) -> Result[WorkClass, Problem]:
    if wc.kind is WorkKind.LOOKUP:
        return Success(wc)
    return failure(
        Code.BAD_REQUEST,
        f"{wc.name} is not a lookup class",
        field="work_class",
        accepted="a class of kind lookup; other work goes to /v1/jobs",
    )


def _timeout_s(req: LookupRequest, wc: WorkClass) -> float:
    wanted = req.timeout_s or wc.timeout_s
    return max(0.0, min(wanted, wc.timeout_s) - REPLY_MARGIN_S)


def _refused_there(failed: Problem) -> Result:
    """Returns ``FULL`` if the other host proves that the lookup did not run."""
    if proves_not_run(failed.code):
        return failure(Code.FULL, failed.detail)
    return Failure(failed)


def _own_reply(reply, request_id: str) -> Result[str, Problem]:
    if reply.request_id != request_id:
        return failure(Code.TIMED_OUT, "answer to another request")
    return Success(reply.result)
