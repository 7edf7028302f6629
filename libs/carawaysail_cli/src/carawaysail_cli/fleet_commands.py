"""Commands on entry daemons and targets: status and drain."""

import typing

from carawaysail_cli import daemons, registry, service_commands, settings_commands
from carawaysail_platform import errors
from carawaysail_settings import edits, tree

Status = dict[str, typing.Any]


@registry.commands.register("status")
def status(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Tell the state of entry daemons, targets and queues, and the revisions."""
    found = context.daemons.status_of_all(_known_tree(context))
    lines = [_line(vm, told) for vm, told in sorted(found.items())]
    targets = _targets(found)
    lines += [_target_line(name, states) for name, states in sorted(targets.items())]
    code = registry.Exit.OK if all(found.values()) else registry.Exit.NEGATIVE
    return registry.Result("\n".join(lines), found, code)


def _known_tree(context: registry.Context) -> tree.Tree:
    """Return the tree from the store or, in its outage, from the named daemon."""
    try:
        return context.store.read().cfg
    except errors.StoreUnavailableError:
        told = context.daemons.call("GET", "/v1/settings", seconds=daemons.STATUS_S)
        return tree.check_tree(told.value.get("tree", {}))


def _line(vm: str, told: Status | None) -> str:
    if told is None:
        return f"entry {vm}: no answer"
    state = "ready" if told["ready"] else "not ready"
    revision = told["settings"]["newest"]
    work = told["dispatch"] or {}
    return (
        f"entry {vm}: {state}, settings revision {revision}, "
        f"{work.get('queued', '?')} tasks queued, {work.get('running', '?')} running, "
        f"{work.get('remembered', '?')} submissions remembered"
    )


def _targets(found: dict[str, Status | None]) -> dict[str, list[Status]]:
    targets: dict[str, list[Status]] = {}
    for told in found.values():
        for name, state in ((told or {}).get("dispatch") or {"targets": {}})[
            "targets"
        ].items():
            targets.setdefault(name, []).append(state)
    return targets


def _target_line(name: str, states: list[Status]) -> str:
    running = sum(state["in_flight"] for state in states)
    words = [f"{running} running"]
    if any(state["leaving"] for state in states):
        words.append("leaving")
    ejected = sum(1 for state in states if state["ejected"])
    if ejected:
        words.append(f"ejected by {ejected} of {len(states)} daemons")
    return f"{states[0]['kind']} {name}: {', '.join(words)}"


@registry.commands.register("drain target")
def drain_target(
    context: registry.Context, args: registry.Arguments
) -> registry.Result:
    """Let a target get no new work."""
    return _set_leaving(context, args["NAME"], True)


@registry.commands.register("undrain target")
def undrain_target(
    context: registry.Context, args: registry.Arguments
) -> registry.Result:
    """Let a target get work again."""
    return _set_leaving(context, args["NAME"], False)


def _set_leaving(context: registry.Context, name: str, value: bool) -> registry.Result:
    before = context.store.read()
    path = service_commands.target_path(before.cfg, name)
    after = edits.put(before.cfg, f"{path}/settings/leaving", value)
    return settings_commands.commit(context, before, after)


@registry.commands.register("drain entry")
def drain_entry(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Let an entry daemon finish its work, hand over its memory and end."""
    urls = daemons.urls(context.store.read().cfg)
    edits.get_value({"entries": urls}, f"entries/{args['NAME']}")  # type: ignore[typeddict-unknown-key]
    told = context.daemons.call("POST", "/v1/drain", url=urls[args["NAME"]])
    return registry.Result(f"entry {args['NAME']} is draining", told.value)
