"""HTTP calls by which tests set faults of a stand-in target and read its counts."""

from carawaysail_standins import faults, records, web


def answer(
    request: web.Request,
    active_faults: faults.ActiveFaults,
    start_records: records.Records,
) -> web.Response:
    """Set faults on ``/faults``; return starts by task on ``/starts``, else totals."""
    if request.path == "/faults":
        active_faults.set(request.json())
        return web.json_response({})
    if request.path == "/starts":
        return web.json_response(start_records.starts())
    return web.json_response(start_records.totals())
