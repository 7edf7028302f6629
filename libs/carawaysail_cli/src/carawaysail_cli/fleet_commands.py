"""Commands that show and drain entry daemons and targets."""

import typing

from carawaysail_cli import daemon_client, registry, service_commands, settings_commands
from carawaysail_platform import errors
from carawaysail_settings import edits, tree

Status = dict[str, typing.Any]


@registry.commands.register("status")
def status(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Show entry daemons with their queues and settings revision, and targets.

    The result is ``NEGATIVE`` if a daemon does not answer.
    """
    found = context.daemon_client.status_of_all(_known_tree(context))
    lines = [_entry_line(vm, state) for vm, state in sorted(found.items())]
    targets = _states_by_target(found)
    lines += [_target_line(name, states) for name, states in sorted(targets.items())]
    code = registry.ExitCode.OK if all(found.values()) else registry.ExitCode.NEGATIVE
    return registry.CommandResult("\n".join(lines), found, code)


def _known_tree(context: registry.Context) -> tree.Tree:
    """Return the tree of the key-value service or, in its outage, of a daemon."""
    try:
        return context.store.read().cfg
    except errors.StoreUnavailableError:
        response = context.daemon_client.call(
            "GET", "/v1/settings", timeout_s=daemon_client.STATUS_TIMEOUT_S
        )
        return tree.check_tree(response.value.get("tree", {}))


def _entry_line(vm: str, entry_status: Status | None) -> str:
    if entry_status is None:
        return f"entry {vm}: no answer"
    readiness = "ready" if entry_status["ready"] else "not ready"
    revision = entry_status["settings"]["newest"]
    work = entry_status["dispatch"] or {}
    return (
        f"entry {vm}: {readiness}, settings revision {revision}, "
        f"{work.get('queued', '?')} tasks queued, {work.get('running', '?')} running, "
        f"{work.get('remembered', '?')} submissions remembered"
    )


def _states_by_target(found: dict[str, Status | None]) -> dict[str, list[Status]]:
    """Return the states of each target, one for each entry daemon that reports it."""
    targets: dict[str, list[Status]] = {}
    for entry_status in found.values():
        for name, state in ((entry_status or {}).get("dispatch") or {"targets": {}})[
            "targets"
        ].items():
            targets.setdefault(name, []).append(state)
    return targets


def _target_line(name: str, states: list[Status]) -> str:
    running = sum(state["in_flight"] for state in states)
    parts = [f"{running} running"]
    if any(state["leaving"] for state in states):
        parts.append("leaving")
    ejected = sum(1 for state in states if state["ejected"])
    if ejected:
        parts.append(f"ejected by {ejected} of {len(states)} daemons")
    return f"{states[0]['kind']} {name}: {', '.join(parts)}"


@registry.commands.register("drain target")
def drain_target(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Mark a target as leaving, so that it gets no new tasks."""
    return _set_leaving(context, args["NAME"], True)


@registry.commands.register("undrain target")
def undrain_target(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Mark a target as not leaving, so that it gets new tasks again."""
    return _set_leaving(context, args["NAME"], False)


def _set_leaving(
    context: registry.Context, name: str, is_leaving: bool
) -> registry.CommandResult:
    before = context.store.read()
    path = service_commands.target_path(before.cfg, name)
    after = edits.set_value(before.cfg, f"{path}/settings/leaving", is_leaving)
    return settings_commands.commit(context, before, after)


@registry.commands.register("drain entry")
def drain_entry(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Ask an entry daemon to finish its work, hand over its tables and end."""
    urls = daemon_client.caller_urls(context.store.read().cfg)
    # Raises the error of an unknown path, with the names of all entry daemons.
    edits.get_value({"entries": urls}, f"entries/{args['NAME']}")  # type: ignore[typeddict-unknown-key]
    response = context.daemon_client.call("POST", "/v1/drain", url=urls[args["NAME"]])
    return registry.CommandResult(f"entry {args['NAME']} is draining", response.value)
