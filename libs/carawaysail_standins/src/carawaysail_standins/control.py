"""The calls by which tests steer and read a stand-in target."""

from carawaysail_standins import faults, records, web


def answer(
    request: web.Request, switches: faults.Switchboard, log: records.Records
) -> web.Answer:
    """Answer ``/faults``, ``/starts`` and, for any other path, the totals."""
    if request.path == "/faults":
        switches.set(request.json())
        return web.answer_json({})
    if request.path == "/starts":
        return web.answer_json(log.starts())
    return web.answer_json(log.totals())
