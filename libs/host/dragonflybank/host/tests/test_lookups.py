"""Tests of lookups through a scheduler host."""

import asyncio
import json

import testtools
from testtools.matchers import Contains, Equals

from dragonflybank.host.tests.harness import running_cell
from dragonflybank.model.codes import Code
from dragonflybank.standins.faults import Hook, HookAction, HookTiming
from dragonflybank.standins.invariants import check_all


class TestLookups(testtools.TestCase):
    """Guards against late, wrong or untrue answers to lookups."""

    def test_lost_answer_is_asked_again_at_another_worker(self):
        async def run():
            async with running_cell("a") as cell:
                for worker in cell.workers.values():
                    worker.arm(
                        Hook("execute", HookAction.CLOSE, HookTiming.AFTER)
                    )
                host = cell.hosts["a"]
                return [await cell.lookup(host, n=n) for n in range(4)]

        outcomes = [answer["outcome"] for answer in asyncio.run(run())]
        # Each lookup has two workers to try; both lose one answer.
        self.assertThat(outcomes[1:], Equals(["done"] * 3))

    def test_lookup_that_may_have_run_is_not_called_refused(self):
        async def run():
            async with running_cell("a") as cell:
                for worker in cell.workers.values():
                    await worker.set_faults(drop_reply=True)
                return await cell.lookup(cell.hosts["a"], n=1)

        answer = asyncio.run(run())
        self.assertThat(answer["outcome"], Equals("unknown"))

    def test_executor_that_fails_everything_is_passed_over(self):
        async def run():
            async with running_cell("a", workers=2) as cell:
                await cell.workers["w0"].set_faults(fails_everything=True)
                host = cell.hosts["a"]
                return [await cell.lookup(host, n=n) for n in range(8)]

        outcomes = {answer["outcome"] for answer in asyncio.run(run())}
        self.assertThat(outcomes, Equals({"done"}))

    def test_more_lookups_than_slots_wait_and_are_whole(self):
        async def run():
            async with running_cell("a", workers=1) as cell:
                host = cell.hosts["a"]
                answers = await asyncio.gather(
                    *(cell.lookup(host, n=n, run_s=0.05) for n in range(40))
                )
                return answers, check_all(cell.log.all())

        answers, violations = asyncio.run(run())
        self.assertThat(violations, Equals([]))
        outcomes = {answer["outcome"] for answer in answers}
        self.assertThat(outcomes, Equals({"done"}))

    def test_lookup_is_forwarded_by_a_host_without_workers(self):
        async def run():
            async with running_cell("a", "b", workers=1) as cell:
                return [
                    await cell.lookup(host, n=name)
                    for name, host in cell.hosts.items()
                ]

        outcomes = [answer["outcome"] for answer in asyncio.run(run())]
        self.assertThat(outcomes, Equals(["done", "done"]))


class TestBadRequests(testtools.TestCase):
    """Guards against refusals that do not name the field at fault."""

    def test_field_and_accepted_values_are_named(self):
        async def run():
            async with running_cell("a", workers=1) as cell:
                host = cell.hosts["a"]
                lookup = {"team": "workshops", "payload": "{}"}
                return [
                    await cell.call(host, "POST", "/v1/lookups", body)
                    for body in (
                        lookup,
                        {**lookup, "work_class": "simulation"},
                        {**lookup, "work_class": "die_lookup", "team": "x"},
                    )
                ] + [
                    await cell.submit(host, "k", "die_lookup"),
                    await cell.call(
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
