"""Tests of the detection of unhealthy workers."""

import testtools
from testtools.matchers import Equals

from dragonflybank.policy import health

RACKS = {f"w{i}": f"r{i // 8}" for i in range(24)}


class TestWorkerHealth(testtools.TestCase):
    """Guards against undetected unhealthy workers and false alarms."""

    def setUp(self):
        super().setUp()
        self.health = health.WorkerHealth()

    def fail(self, worker, team, now, work_class="sweep", **kwargs):
        return self.health.record_failure(
            worker, team, work_class, now, region_workers=24, **kwargs
        )

    def quarantine(self, worker, now=0.0):
        for team in ("t1", "t2", "t3"):
            self.fail(worker, team, now)

    def test_three_distinct_jobs_put_a_worker_in_quarantine(self):
        self.fail("w1", "t1", 0.0)
        self.fail("w1", "t2", 1.0)
        self.assertTrue(self.fail("w1", "t2", 2.0, work_class="lookup"))
        self.assertThat(self.health.quarantined, Equals({"w1"}))

    def test_failures_of_one_job_do_not_quarantine_a_worker(self):
        for now in range(20):
            self.assertFalse(self.fail("w1", "t1", float(now)))

    def test_success_clears_earlier_failures(self):
        self.fail("w1", "t1", 0.0)
        self.fail("w1", "t2", 1.0)
        self.health.record_success("w1")
        self.assertFalse(self.fail("w1", "t3", 2.0))

    def test_failures_outside_the_window_do_not_count(self):
        for number in range(5):
            self.assertFalse(self.fail("w1", f"t{number}", 31.0 * number))

    def test_quarantined_share_of_a_region_is_limited(self):
        for worker in RACKS:
            self.quarantine(worker)
        self.assertThat(len(self.health.quarantined), Equals(2))

    def test_quarantine_at_other_hosts_counts_towards_the_limit(self):
        for team in ("t1", "t2", "t3"):
            self.fail("w1", team, 0.0, quarantined_elsewhere=2)
        self.assertThat(self.health.quarantined, Equals(frozenset()))

    def test_successful_probe_releases_a_worker(self):
        self.quarantine("w1")
        self.assertThat(self.health.probes_due(29.0), Equals([]))
        self.assertThat(self.health.probes_due(30.0), Equals(["w1"]))
        self.health.record_probe("w1", 30.0)
        self.assertThat(self.health.probes_due(31.0), Equals([]))
        self.assertTrue(self.health.record_success("w1"))
        self.assertThat(self.health.quarantined, Equals(frozenset()))

    def test_failed_probe_doubles_the_delay(self):
        self.quarantine("w1")
        self.fail("w1", "t1", 30.0)
        self.assertThat(self.health.probes_due(89.0), Equals([]))
        self.assertThat(self.health.probes_due(90.0), Equals(["w1"]))
