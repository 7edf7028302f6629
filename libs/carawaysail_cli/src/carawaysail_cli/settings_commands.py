"""Commands on the tree of settings."""

import json
import pathlib
import typing

from carawaysail_cli import confirm, errors, registry, stored
from carawaysail_settings import edits, inheritance, text, tree
from carawaysail_types import clock


def read_file(path: str) -> tree.Tree:
    """Return the checked tree of a file.

    Raises
    ------
    errors.FileUnreadableError
        If the file cannot be read.
    """
    try:
        content = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as exc:
        raise errors.FileUnreadableError(path, str(exc)) from exc
    return tree.check_tree(text.parse(path, content))


def commit(
    context: registry.Context, before: stored.Read, after: tree.Tree
) -> registry.Result:
    """Write a changed tree, wait until it is in force, and tell where."""
    written = context.store.write(before, after)
    if not written:
        return registry.Result("nothing to change", {"written": {}})
    found = confirm.wait(context.daemons, after, written, clock.SystemClock())
    names = ", ".join(f"{name} at revision {rev}" for name, rev in written)
    value = {"written": dict(written), **found._asdict()}
    is_whole = not found.behind and not found.silent
    code = registry.Exit.OK if is_whole else registry.Exit.NEGATIVE
    return registry.Result(f"accepted: {names}; {found.text()}", value, code)


@registry.commands.register("check")
def check(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Check a file of settings without writing anything."""
    cfg = read_file(args["FILE"])
    counts = {
        "teams": len(cfg.get("teams", {})),
        "places": len(cfg.get("places", {})),
    }
    told = f"{args['FILE']} is accepted: {counts['teams']} teams"
    return registry.Result(f"{told}, {counts['places']} places", counts)


@registry.commands.register("show")
def show(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Show what the store holds at a path."""
    value = edits.get_value(context.store.read().cfg, args["PATH"] or "")
    return registry.Result(text.render(value).rstrip(), value)


@registry.commands.register("explain")
def explain(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Explain which value a key has at a path, and where it comes from."""
    cfg = context.store.read().cfg
    origin = inheritance.resolve(cfg, args["PATH"], args["KEY"])
    lines = [f"{args['KEY']} is {origin.value!r}, from {origin.path}"]
    lines += [f"  overrides {value!r} from {path}" for path, value in origin.overridden]
    return registry.Result("\n".join(lines), origin._asdict())


@registry.commands.register("set")
def put(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Put a value at a path."""
    before = context.store.read()
    after = edits.put(before.cfg, args["PATH"], parse_value(args["VALUE"]))
    return commit(context, before, after)


@registry.commands.register("unset")
def drop(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Remove what stands at a path, so that it inherits again."""
    before = context.store.read()
    return commit(context, before, edits.remove_value(before.cfg, args["PATH"]))


@registry.commands.register("diff")
def diff(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Show how a file differs from the store."""
    changes = edits.diff(context.store.read().cfg, read_file(args["FILE"]))
    lines = [f"{x.path}: {_shown(x.before)} -> {_shown(x.after)}" for x in changes]
    value = [change._asdict() for change in changes]
    code = registry.Exit.NEGATIVE if changes else registry.Exit.OK
    return registry.Result("\n".join(lines) or "no difference", value, code)


@registry.commands.register("apply")
def apply(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Make the store hold what a file holds."""
    after = read_file(args["FILE"])
    return commit(context, context.store.read(), after)


def parse_value(given: str) -> typing.Any:
    """Return a value as JSON, or as a text where it is none."""
    try:
        return json.loads(given)
    except ValueError:
        return given


def _shown(value: object) -> str:
    return "absent" if value is None else json.dumps(value)
