"""Commands that read and change the settings tree."""

import json
import pathlib
import typing

from carawaysail_cli import errors, registry, rollout, settings_store
from carawaysail_settings import edits, inheritance, json_text, tree
from carawaysail_types import clock


def read_file(path: str) -> tree.Tree:
    """Read a settings file, and return its checked tree.

    Raises
    ------
    errors.FileUnreadableError
        If the file cannot be read.
    carawaysail_settings.errors.BadTextError
        If the file is not JSON with comments.
    carawaysail_settings.errors.SettingRejectedError, UnknownKeyError
        If the tree is not accepted.
    """
    try:
        content = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.FileUnreadableError(path, str(exc)) from exc
    return tree.check_tree(json_text.parse(path, content))


def commit(
    context: registry.Context, before: settings_store.StoredTree, after: tree.Tree
) -> registry.CommandResult:
    """Write a changed tree, wait for its rollout, and return where it is in force.

    The result is ``NEGATIVE`` if the change is not in force on every entry daemon
    within ``rollout.ROLLOUT_TIMEOUT_S``; it is written nevertheless.
    """
    written = context.store.write(before, after)
    if not written:
        return registry.CommandResult("nothing to change", {"written": {}})
    status = rollout.wait_until_in_force(
        context.daemon_client, after, written, clock.SystemClock()
    )
    names = ", ".join(f"{name} at revision {rev}" for name, rev in written)
    value = {"written": dict(written), **status._asdict()}
    is_complete = not status.behind and not status.silent
    code = registry.ExitCode.OK if is_complete else registry.ExitCode.NEGATIVE
    return registry.CommandResult(f"accepted: {names}; {status.text()}", value, code)


@registry.commands.register("check")
def check(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Check a settings file without writing anything."""
    cfg = read_file(args["FILE"])
    counts = {
        "teams": len(cfg.get("teams", {})),
        "places": len(cfg.get("places", {})),
    }
    summary = f"{args['FILE']} is accepted: {counts['teams']} teams"
    return registry.CommandResult(f"{summary}, {counts['places']} data centres", counts)


@registry.commands.register("show")
def show(context: registry.Context, args: registry.Arguments) -> registry.CommandResult:
    """Show the value or object that the key-value service holds at a path."""
    value = edits.get_value(context.store.read().cfg, args["PATH"] or "")
    return registry.CommandResult(json_text.render(value).rstrip(), value)


@registry.commands.register("explain")
def explain(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Show the effective value of a key at a path, and which path sets it."""
    cfg = context.store.read().cfg
    effective = inheritance.resolve(cfg, args["PATH"], args["KEY"])
    lines = [f"{args['KEY']} is {effective.value!r}, from {effective.path}"]
    lines += [
        f"  overrides {value!r} from {path}" for path, value in effective.overridden
    ]
    return registry.CommandResult("\n".join(lines), effective._asdict())


@registry.commands.register("set")
def set_value(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Set the value at a path."""
    before = context.store.read()
    after = edits.set_value(before.cfg, args["PATH"], parse_value(args["VALUE"]))
    return commit(context, before, after)


@registry.commands.register("unset")
def unset_value(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Remove the value or object at a path, so that the value is inherited again."""
    before = context.store.read()
    return commit(context, before, edits.remove_value(before.cfg, args["PATH"]))


@registry.commands.register("diff")
def diff(context: registry.Context, args: registry.Arguments) -> registry.CommandResult:
    """Show how a file differs from the settings in the key-value service."""
    changes = edits.diff(context.store.read().cfg, read_file(args["FILE"]))
    lines = [f"{x.path}: {_to_text(x.before)} -> {_to_text(x.after)}" for x in changes]
    value = [change._asdict() for change in changes]
    code = registry.ExitCode.NEGATIVE if changes else registry.ExitCode.OK
    return registry.CommandResult("\n".join(lines) or "no difference", value, code)


@registry.commands.register("apply")
def apply(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Replace the settings in the key-value service by those of a file."""
    after = read_file(args["FILE"])
    return commit(context, context.store.read(), after)


def parse_value(argument: str) -> typing.Any:
    """Parse an argument as JSON; return it as a string if it is not JSON."""
    try:
        return json.loads(argument)
    except ValueError:
        return argument


def _to_text(value: object) -> str:
    return "absent" if value is None else json.dumps(value)
