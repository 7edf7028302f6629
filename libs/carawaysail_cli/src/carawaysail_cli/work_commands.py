"""Commands that submit, look at and cancel work."""

import json
import pathlib
import typing

from carawaysail_cli import daemons, errors, registry
from carawaysail_settings import text


@registry.commands.register("submit")
def submit(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Submit a single request and wait for its answer."""
    body = _common(args)
    body["payload"] = _parse("--payload", args["--payload"] or "null")
    if args["--idempotent"]:
        body["idempotent"] = True
    path = f"/v1/services/{daemons.quote(args['SERVICE'])}/requests"
    return _told(context.daemons.call("POST", path, body))


@registry.commands.register("job")
def job(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Submit a job from a file with a list of tasks, and wait for its answer."""
    try:
        content = pathlib.Path(args["FILE"]).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.FileUnreadableError(args["FILE"], str(exc)) from exc
    body = _common(args)
    body["tasks"] = text.parse(args["FILE"], content)
    if args["--kind"]:
        body["kind"] = args["--kind"]
    path = f"/v1/services/{daemons.quote(args['SERVICE'])}/jobs"
    return _told(context.daemons.call("POST", path, body))


@registry.commands.register("look")
def look(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Tell how a submission stands."""
    path = f"/v1/submissions/{daemons.quote(args['ID'][0])}"
    return _told(context.daemons.call("GET", path))


@registry.commands.register("cancel")
def cancel(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Cancel submissions, many at once."""
    told = context.daemons.call("POST", "/v1/cancellations", {"ids": args["ID"]})
    return _told(told)


def _common(args: registry.Arguments) -> dict[str, typing.Any]:
    body: dict[str, typing.Any] = {}
    if args["--id"]:
        body["id"] = args["--id"]
    if args["--deadline"]:
        body["deadline_ms"] = _parse("--deadline", args["--deadline"])
    return body


def _parse(option: str, given: str) -> typing.Any:
    return text.parse(option, given)


def _told(told: daemons.Told) -> registry.Result:
    value = told.value
    shown = json.dumps(value, ensure_ascii=False, indent=2)
    if "accepted" in value and "error" in value:
        code = registry.Exit.BAD_INPUT
        shown = f"{value['field']} is {value['value']!r}; accepted: {value['accepted']}"
    elif value.get("outcome") == "unknown":
        code = registry.Exit.UNCERTAIN
    else:
        is_fine = told.status in (200, 202)
        code = registry.Exit.OK if is_fine else registry.Exit.NEGATIVE
    return registry.Result(shown, value, code)
