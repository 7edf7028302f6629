"""The check of what processes use passes for caches and fails for a leak."""

import testtools

from carawaysail_soak import checks, history


class TestResources(testtools.TestCase):
    """Memory, descriptors and threads at the end as at the start."""

    def rules_broken(self, **fields):
        first = history.ProcessMeasured(1.0, "a-1", 5, 40.0, 40, 110)
        last = first._replace(at=60.0, **fields)
        return {x.rule for x in checks.judge(history.History([first, last]))}

    def test_pools_and_caches_are_allowed(self):
        usual = {"memory_mb": 45.0, "descriptors": 250, "threads": 140}
        self.assertEqual(set(), self.rules_broken(**usual))

    def test_each_leak_is_found(self):
        leaks = {"memory_mb": 90.0, "descriptors": 500, "threads": 200}
        for name, amount in leaks.items():
            self.assertEqual(
                {"resources_are_released"}, self.rules_broken(**{name: amount})
            )
