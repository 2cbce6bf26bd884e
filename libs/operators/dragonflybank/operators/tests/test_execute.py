"""Tests of the execution of commands and the formatting of reports."""

import asyncio

import testtools
from returns.result import Success
from testtools.matchers import Contains, Equals, HasLength, Not

from dragonflybank.config.editor import ConfigEditor
from dragonflybank.config.tests.memory_store import MemoryStore, no_wait
from dragonflybank.config.tests.test_changes import CFG, CLOSED, OPEN
from dragonflybank.model.codes import Code, failure
from dragonflybank.model.decisions import Decision
from dragonflybank.operators.commands import WorkRow
from dragonflybank.operators.execute import execute
from dragonflybank.operators.render import (
    Report,
    report_to_json,
    report_to_text,
)
from dragonflybank.operators.view import (
    HostRow,
    OperatorView,
    TeamUsage,
    WorkerRow,
    WorkPage,
)


class FakeView(OperatorView):
    """A deployment with fixed rows and an in-memory store."""

    def __init__(self):
        self._editor = ConfigEditor(MemoryStore(), sleep=no_wait)
        self.page = WorkPage(
            (
                WorkRow("courts", "k1", state="running", age_s=9.0),
                WorkRow("courts", "k2", state="running", age_s=2.0),
                WorkRow("registry", "k3", state="running", age_s=7.0),
            )
        )
        self.jobs = {("courts", "k1"): self.page.rows[0]}

    @property
    def editor(self):
        return self._editor

    async def list_work(self, which, conditions, *, limit, now):
        return Success(self.page)

    async def find_job(self, team, key, *, now):
        row = self.jobs.get((team, key))
        return Success(row) if row else failure(Code.UNKNOWN_JOB, "no job")

    async def list_decisions(self, subject):
        if subject not in ("courts/k1", "courts/refused"):
            return Success(())
        passed_over = (("w2", "full"),)
        return Success(
            (Decision(OPEN, "place", subject, "w1", "best fit", passed_over),)
        )

    async def list_workers(self, now):
        return Success((WorkerRow("w1", "oulu"),))

    async def list_hosts(self, now):
        return Success((HostRow("h1", "oulu"),))

    async def active_config(self):
        return await self._editor.active_config()

    async def team_usage(self):
        return Success((TeamUsage("workshops", 5, 2),))

    async def class_usage(self):
        return failure(Code.UNREACHABLE)


class TestExecute(testtools.TestCase):
    """Guards against reports that do not match the deployment."""

    def run_all(self, *texts, now=OPEN, view=None, operator="anna"):
        async def run():
            used = view or FakeView()
            (await used.editor.create(CFG)).unwrap()
            return [
                await execute(used, text, operator=operator, now=now)
                for text in texts
            ]

        return asyncio.run(run())

    def test_conditions_and_limit_apply_if_a_host_ignores_them(self):
        (found,) = self.run_all("show running where age_s > 5 limit 1")
        report = found.unwrap()
        self.assertThat([row[1] for row in report.rows], Equals(["k1"]))
        self.assertThat(report.notes, Equals(("1 more; raise the limit",)))

    def test_listing_reports_hosts_that_did_not_answer(self):
        # Guards against an incomplete list that looks complete.
        view = FakeView()
        view.page = WorkPage((), silent_hosts=("h2", "h3"))
        (found,) = self.run_all("show waiting", view=view)
        self.assertThat(report_to_text(found.unwrap()), Contains("h2, h3"))

    def test_every_table_can_be_shown(self):
        names = ("workers", "hosts", "teams", "classes", "config", "staged")
        for name in names:
            (found,) = self.run_all(f"show {name}")
            self.assertIsInstance(found, Success)
            self.assertThat(report_to_json(found.unwrap())["code"], Equals(0))

    def test_team_table_shows_quota_and_usage(self):
        (found,) = self.run_all("show teams")
        row = report_to_json(found.unwrap())["rows"][0]
        self.assertThat((row["max_running"], row["running"]), Equals((100, 5)))

    def test_explain_reports_state_choice_and_alternatives(self):
        (found,) = self.run_all("explain job courts/k1")
        text = report_to_text(found.unwrap())
        for part in ("running", "w1", "best fit", "w2: full"):
            self.assertThat(text, Contains(part))

    def test_explain_reports_the_decisions_about_a_refused_job(self):
        refused, unknown = self.run_all(
            "explain job courts/refused", "explain job courts/k9"
        )
        self.assertThat(refused.unwrap().text, Contains("not accepted"))
        self.assertThat(unknown.failure().code, Equals(Code.UNKNOWN_JOB))

    def test_staged_change_is_listed_compared_and_applied(self):
        edit = "stage night: set team.workshops.weight = 2"
        found = self.run_all(
            edit, "show staged", "diff night", "apply night", "show config"
        )
        reports = [each.unwrap() for each in found]
        self.assertThat(reports[1].rows, HasLength(1))
        self.assertThat(
            reports[2].rows[0][:4],
            Equals(("team.workshops.weight", 1.0, 1.0, 2)),
        )
        self.assertThat(reports[3].text, Contains("generation 2"))
        self.assertThat(reports[4].rows[0][:2], Equals((2, "night")))

    def test_apply_outside_the_break_reports_when_it_opens(self):
        edit = "stage night: set team.workshops.weight = 2"
        found = self.run_all(edit, "apply night", "show config", now=CLOSED)
        failed = found[1].failure()
        self.assertThat(failed.code, Equals(Code.BREAK_CLOSED))
        self.assertThat(failed.retry_after_s, Equals(21 * 3600.0))
        notes = found[2].unwrap().notes
        self.assertThat(notes[0], Contains("1970-01-02T11:00:00+00:00"))

    def test_change_without_an_operator_is_refused(self):
        # Guards against a history that does not show who made a change.
        (found,) = self.run_all("withdraw night", operator="")
        self.assertThat(found.failure().field, Equals("operator"))


class TestRender(testtools.TestCase):
    """Guards against output that breaks a terminal or a parser."""

    def test_control_characters_are_removed_from_the_output(self):
        text = report_to_text(Report(("key",), (("\x1b[2Jk1",),)))
        self.assertThat(text, Not(Contains("\x1b")))

    def test_empty_table_is_reported_as_nothing_found(self):
        self.assertThat(
            report_to_text(Report(("key",))), Equals("nothing found")
        )
