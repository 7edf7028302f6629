"""Service by size of job, in results of simulations."""

import testtools

from carawaysail_model import sites, sizes
from carawaysail_types import jobs

COMPLETED, REFUSED = jobs.Verdict.COMPLETED, jobs.Verdict.REFUSED


def make_served(work, verdict=COMPLETED, kind="kind"):
    return sites.Served(kind, jobs.JobOutcome(verdict), 100.0, 200.0, 1.0, work)


class TestBySize(testtools.TestCase):
    """Jobs of each kind are ranked by their work."""

    def test_classes_are_ranked_from_the_largest_on(self):
        served = [make_served(work) for work in range(100)]
        rows = sizes.by_size(served)
        self.assertEqual([10, 20, 70], [x["jobs"] for x in rows])
        self.assertEqual([1.0] * 3, [x["size_ratio"] for x in rows])

    def test_lost_largest_jobs_lower_the_ratio(self):
        served = [
            make_served(work, REFUSED if work >= 94 else COMPLETED)
            for work in range(100)
        ]
        self.assertAlmostEqual(0.4 / 0.94, sizes.least_size_ratio(served))
        [largest, *_] = sizes.by_size(served)
        self.assertEqual((4, 6, 0), tuple(
            largest[x] for x in ("served", "refused", "failed")
        ))  # fmt: skip

    def test_kinds_are_ranked_by_themselves(self):
        short = [make_served(work, kind="short") for work in range(10)]
        long = [make_served(1000 + work, REFUSED, "long") for work in range(10)]
        self.assertEqual(1.0, sizes.least_size_ratio([*short, *long]))
