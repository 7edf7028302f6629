"""Commands that submit requests and jobs, show their status and cancel them."""

import json
import pathlib
import typing

from carawaysail_cli import daemon_client, errors, registry
from carawaysail_settings import json_text


@registry.commands.register("submit")
def submit(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Submit a single request and wait for its answer."""
    body = _common_fields(args)
    body["payload"] = _parse("--payload", args["--payload"] or "null")
    if args["--idempotent"]:
        body["idempotent"] = True
    path = f"/v1/services/{daemon_client.quote_segment(args['SERVICE'])}/requests"
    return _to_result(context.daemon_client.call("POST", path, body))


@registry.commands.register("job")
def job(context: registry.Context, args: registry.Arguments) -> registry.CommandResult:
    """Submit a job with the list of tasks in a file, and wait for its answer."""
    try:
        content = pathlib.Path(args["FILE"]).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.FileUnreadableError(args["FILE"], str(exc)) from exc
    body = _common_fields(args)
    body["tasks"] = json_text.parse(args["FILE"], content)
    if args["--kind"]:
        body["kind"] = args["--kind"]
    path = f"/v1/services/{daemon_client.quote_segment(args['SERVICE'])}/jobs"
    return _to_result(context.daemon_client.call("POST", path, body))


@registry.commands.register("look")
def look(context: registry.Context, args: registry.Arguments) -> registry.CommandResult:
    """Show the status of a submission."""
    path = f"/v1/submissions/{daemon_client.quote_segment(args['ID'][0])}"
    return _to_result(context.daemon_client.call("GET", path))


@registry.commands.register("cancel")
def cancel(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Cancel one or more submissions in one call."""
    response = context.daemon_client.call(
        "POST", "/v1/cancellations", {"ids": args["ID"]}
    )
    return _to_result(response)


def _common_fields(args: registry.Arguments) -> dict[str, typing.Any]:
    """Return the fields of the body that requests and jobs have in common."""
    body: dict[str, typing.Any] = {}
    if args["--id"]:
        body["id"] = args["--id"]
    if args["--deadline"]:
        body["deadline_ms"] = _parse("--deadline", args["--deadline"])
    return body


def _parse(option: str, argument: str) -> typing.Any:
    return json_text.parse(option, argument)


def _to_result(response: daemon_client.Response) -> registry.CommandResult:
    """Return the result of a command for the response of a daemon."""
    value = response.value
    output = json.dumps(value, ensure_ascii=False, indent=2)
    if "accepted" in value and "error" in value:
        code = registry.ExitCode.BAD_INPUT
        output = (
            f"{value['field']} is {value['value']!r}; accepted: {value['accepted']}"
        )
    elif value.get("outcome") == "unknown":
        code = registry.ExitCode.UNCERTAIN
    else:
        is_success = response.status in (200, 202)
        code = registry.ExitCode.OK if is_success else registry.ExitCode.NEGATIVE
    return registry.CommandResult(output, value, code)
