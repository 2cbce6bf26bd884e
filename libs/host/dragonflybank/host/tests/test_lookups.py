"""Tests of lookups through a scheduler host."""

import asyncio
import json

import testtools
from testtools.matchers import Contains, Equals

from dragonflybank.host.tests.harness import running_deployment
from dragonflybank.model.codes import Code
from dragonflybank.standins.faults import Hook, HookAction, HookTiming
from dragonflybank.standins.invariants import check_all


class TestLookups(testtools.TestCase):
    """Guards against late, missing or false answers to lookups."""

    def test_lookup_with_a_lost_answer_is_retried_on_another_worker(self):
        async def run():
            async with running_deployment("a") as deployment:
                for worker in deployment.workers.values():
                    worker.arm(
                        Hook("execute", HookAction.CLOSE, HookTiming.AFTER)
                    )
                host = deployment.hosts["a"]
                return [await deployment.lookup(host, n=n) for n in range(4)]

        outcomes = [answer["outcome"] for answer in asyncio.run(run())]
        # Each of the two workers loses one answer. A lookup is tried on both,
        # so only the first lookup can fail.
        self.assertThat(outcomes[1:], Equals(["done"] * 3))

    def test_lookup_that_may_have_run_is_not_reported_as_refused(self):
        async def run():
            async with running_deployment("a") as deployment:
                for worker in deployment.workers.values():
                    await worker.set_faults(drop_reply=True)
                return await deployment.lookup(deployment.hosts["a"], n=1)

        answer = asyncio.run(run())
        self.assertThat(answer["outcome"], Equals("unknown"))

    def test_lookup_that_ran_and_failed_is_not_reported_as_refused(self):
        async def run():
            async with running_deployment("a", workers=1) as deployment:
                await deployment.workers["w0"].set_faults(fails_everything=True)
                host = deployment.hosts["a"]
                answer = await deployment.lookup(host, n=1)
                return answer, check_all(deployment.log.all())

        # No worker is left for a second attempt.
        answer, violations = asyncio.run(run())
        self.assertThat(answer["outcome"], Equals("failed"))
        self.assertThat(answer["code"], Equals(Code.TASK_FAILED))
        self.assertThat(violations, Equals([]))

    def test_lookups_succeed_despite_an_executor_that_always_fails(self):
        async def run():
            async with running_deployment("a", workers=2) as deployment:
                await deployment.workers["w0"].set_faults(fails_everything=True)
                host = deployment.hosts["a"]
                return [await deployment.lookup(host, n=n) for n in range(8)]

        outcomes = {answer["outcome"] for answer in asyncio.run(run())}
        self.assertThat(outcomes, Equals({"done"}))

    def test_lookups_beyond_the_slots_wait_and_are_all_done(self):
        async def run():
            async with running_deployment("a", workers=1) as deployment:
                host = deployment.hosts["a"]
                answers = await asyncio.gather(
                    *(
                        deployment.lookup(host, n=n, run_s=0.05)
                        for n in range(40)
                    )
                )
                return answers, check_all(deployment.log.all())

        answers, violations = asyncio.run(run())
        self.assertThat(violations, Equals([]))
        outcomes = {answer["outcome"] for answer in answers}
        self.assertThat(outcomes, Equals({"done"}))

    def test_host_without_workers_forwards_lookups(self):
        async def run():
            async with running_deployment("a", "b", workers=1) as deployment:
                return [
                    await deployment.lookup(host, n=name)
                    for name, host in deployment.hosts.items()
                ]

        outcomes = [answer["outcome"] for answer in asyncio.run(run())]
        self.assertThat(outcomes, Equals(["done", "done"]))


class TestBadRequests(testtools.TestCase):
    """Guards against refusals that do not name the invalid field."""

    def test_refusal_names_the_field_and_the_accepted_values(self):
        async def run():
            async with running_deployment("a", workers=1) as deployment:
                host = deployment.hosts["a"]
                lookup = {"team": "workshops", "payload": "{}"}
                return [
                    await deployment.call(host, "POST", "/v1/lookups", body)
                    for body in (
                        lookup,
                        {**lookup, "work_class": "simulation"},
                        {**lookup, "work_class": "die_lookup", "team": "x"},
                    )
                ] + [
                    await deployment.submit(host, "k", "die_lookup"),
                    await deployment.call(
                        host,
                        "PUT",
                        "/v1/jobs/workshops/k",
                        {"work_class": "simulation", "tasks": 0},
                    ),
                ]

        answers = asyncio.run(run())
        self.assertThat(
            [answer["field"] for answer in answers],
            Equals(["work_class", "work_class", "team", "work_class", "tasks"]),
        )
        codes = {answer["code"] for answer in answers}
        self.assertThat(codes, Equals({int(Code.BAD_REQUEST)}))
        self.assertThat(json.dumps(answers[2]), Contains("a team"))
