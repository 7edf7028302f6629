"""Exit the test process even if threads are still running after the last test."""

import faulthandler

EXIT_TIMEOUT_S = 60.0


def pytest_sessionfinish():
    """Print all stacks and exit with status 1 if the process has not exited in time.

    A thread that never ends would keep the process running after its last test, and
    the run would have no result. The tests of the stand-ins check that the threads of
    their servers end.
    """
    faulthandler.dump_traceback_later(EXIT_TIMEOUT_S, exit=True)
