"""Tests of the operator configuration and the two deployments."""

import json
import pathlib

import testtools
from testtools.matchers import Contains, Equals, HasLength

from dragonflybank.config.operator import (
    check_operator_config,
    decode_operator_config,
    encode_operator_config,
)
from dragonflybank.config.topology import check_topology, load_topology
from dragonflybank.model.codes import Code
from dragonflybank.model.resources import fits
from dragonflybank.model.work import WorkKind

DEPLOYMENTS = pathlib.Path(__file__).parents[5] / "deployments"
NAMES = ("saarinen-koivisto", "vandenbroucke")


def example_document() -> dict:
    path = DEPLOYMENTS / "vandenbroucke" / "operator.json"
    return json.loads(path.read_text())


class TestOperatorConfig(testtools.TestCase):
    """Guards against a configuration that hosts cannot use."""

    def test_all_faults_are_reported_at_once(self):
        document = example_document()
        document["generation"] = 0
        document["classes"][0]["timeout_s"] = 31
        document["classes"][1]["kind"] = "lookups"
        document["teams"][1]["name"] = document["teams"][0]["name"]
        document["limits"]["retry_budget"] = 2
        document["breaks"][0]["days"] = ["monday"]
        document["breaks"][1]["end"] = document["breaks"][1]["start"]
        found = check_operator_config(document)
        self.assertThat(
            {each.field for each in found},
            Equals(
                {
                    "generation",
                    "classes[0].timeout_s",
                    "classes[1].kind",
                    "teams[1].name",
                    "limits.retry_budget",
                    "breaks[0].days",
                    "breaks[1].end",
                }
            ),
        )
        codes = {each.code for each in found}
        self.assertThat(codes, Equals({Code.BAD_CONFIGURATION}))

    def test_lookup_of_over_30_seconds_is_refused(self):
        # A graceful shutdown waits 30 s and would abort a longer lookup.
        document = example_document()
        document["classes"][0]["timeout_s"] = 30
        self.assertThat(check_operator_config(document), HasLength(0))
        document["classes"][0]["timeout_s"] = 30.1
        (found,) = check_operator_config(document)
        self.assertThat(found.accepted, Contains("at most 30 s"))

    def test_configuration_without_a_break_is_refused(self):
        # Without a break window no change could ever be applied.
        (found,) = check_operator_config({**example_document(), "breaks": []})
        self.assertThat(found.field, Equals("breaks"))

    def test_encoded_configuration_decodes_to_the_same(self):
        cfg = decode_operator_config(json.dumps(example_document())).unwrap()
        again = decode_operator_config(
            encode_operator_config(cfg).encode()
        ).unwrap()
        self.assertThat(again, Equals(cfg))


class TestDeployments(testtools.TestCase):
    """Guards against deployment files that differ from their specification."""

    def test_operator_files_are_accepted(self):
        for name in NAMES:
            text = (DEPLOYMENTS / name / "operator.json").read_text()
            found = check_operator_config(json.loads(text))
            self.assertThat(found, Equals(()))

    def test_topologies_have_the_specified_sizes(self):
        for name, cores, client_s in zip(
            NAMES, (64, 32), (0.003, 0.001), strict=True
        ):
            top = load_topology(DEPLOYMENTS / name / "topology.json").unwrap()
            found = (
                len(top.regions),
                len(top.hosts),
                len(top.workers),
                {w.size.cores for w in top.workers},
                {(w.size.slots, w.size.connections) for w in top.workers},
                {
                    len([w for w in top.workers if w.rack == r.name])
                    for r in top.racks
                },
                top.latencies.client_s,
            )
            self.assertThat(
                found, Equals((3, 6, 24, {cores}, {(8, 64)}, {8}, client_s))
            )

    def test_classes_fit_a_worker_and_teams_are_in_known_regions(self):
        for name in NAMES:
            folder = DEPLOYMENTS / name
            top = load_topology(folder / "topology.json").unwrap()
            text = (folder / "operator.json").read_text()
            cfg = decode_operator_config(text).unwrap()
            size = top.workers[0].size
            self.assertTrue(all(fits(c.size, size) for c in cfg.classes))
            self.assertTrue(all(t.region in top.regions for t in cfg.teams))
            kinds = {c.kind for c in cfg.classes}
            self.assertThat(kinds, Contains(WorkKind.LOOKUP))

    def test_worker_in_an_unknown_rack_is_a_fault(self):
        path = DEPLOYMENTS / NAMES[0] / "topology.json"
        document = json.loads(path.read_text())
        document["workers"][3]["rack"] = "nowhere"
        (found,) = check_topology(document)
        self.assertThat(found.field, Equals("workers[3].rack"))
