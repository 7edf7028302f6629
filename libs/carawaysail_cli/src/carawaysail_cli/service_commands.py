"""Commands that create and change services, limits and quotas."""

from carawaysail_cli import registry, settings_commands
from carawaysail_settings import edits, inheritance, tree


@registry.commands.register("service create")
def create(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Create a service of a team, and let targets serve it."""
    before = context.store.read()
    name, team = args["NAME"], args["TEAM"]
    path = f"teams/{team}/services/{name}"
    after = edits.put(before.cfg, path, {"settings": {}})
    for target in args["TARGET"]:
        after = _serve(after, target, name)
    return settings_commands.commit(context, before, after)


@registry.commands.register("service limit")
def limit(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Set one limit of a service, or of one of its kinds of job."""
    before = context.store.read()
    path = inheritance.service_path(before.cfg, args["NAME"])
    if args["--kind"]:
        path += f"/jobs/{args['--kind']}"
    value = settings_commands.parse_value(args["VALUE"])
    after = edits.put(before.cfg, f"{path}/settings/{args['KEY']}", value)
    return settings_commands.commit(context, before, after)


@registry.commands.register("quota")
def quota(context: registry.Context, args: registry.Arguments) -> registry.Result:
    """Set how many tasks of a team may run at once over the fleet."""
    before = context.store.read()
    value = settings_commands.parse_value(args["TASKS"])
    path = f"teams/{args['TEAM']}/settings/max_running"
    edits.get_value(before.cfg, f"teams/{args['TEAM']}")
    after = edits.put(before.cfg, path, value)
    return settings_commands.commit(context, before, after)


def target_path(cfg: tree.Tree, name: str) -> str:
    """Return the path of a target.

    Raises
    ------
    carawaysail_settings.errors.NoSuchPathError
        If the tree has no such target.
    """
    found = {
        target: f"places/{place_name}/racks/{rack_name}/targets/{target}"
        for place_name, place in cfg.get("places", {}).items()
        for rack_name, rack in place.get("racks", {}).items()
        for target in rack.get("targets", {})
    }
    if name not in found:
        edits.get_value({"targets": found}, f"targets/{name}")  # type: ignore[typeddict-unknown-key]
    return found[name]


def _serve(cfg: tree.Tree, target: str, service: str) -> tree.Tree:
    path = f"{target_path(cfg, target)}/services"
    served = edits.get_value(cfg, target_path(cfg, target)).get("services", [])
    return edits.put(cfg, path, sorted({*served, service}))
