"""HTTP calls by which tests set faults of a stand-in target and read its counts."""

from carawaysail_standins import faults, records, web


def handle_request(
    request: web.Request,
    active_faults: faults.ActiveFaults,
    start_records: records.Records,
) -> web.Response:
    """Return the response to a control call.

    ``/faults`` sets the active faults, ``/starts`` returns the number of starts of each
    task, and any other path returns the totals.
    """
    if request.path == "/faults":
        active_faults.set(request.json())
        return web.json_response({})
    if request.path == "/starts":
        return web.json_response(start_records.starts())
    return web.json_response(start_records.totals())
