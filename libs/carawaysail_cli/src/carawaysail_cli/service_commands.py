"""Commands that create and change services, limits and quotas."""

from carawaysail_cli import registry, settings_commands
from carawaysail_settings import edits, inheritance, tree


@registry.commands.register("service create")
def create(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Create a service of a team, and add it to the services of targets."""
    before = context.store.read()
    name, team = args["NAME"], args["TEAM"]
    path = f"teams/{team}/services/{name}"
    after = edits.set_value(before.cfg, path, {"settings": {}})
    for target in args["TARGET"]:
        after = _add_service(after, target, name)
    return settings_commands.commit(context, before, after)


@registry.commands.register("service limit")
def limit(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Set one key of a service, or of one of its kinds of job."""
    before = context.store.read()
    path = inheritance.service_path(before.cfg, args["NAME"])
    if args["--kind"]:
        path += f"/jobs/{args['--kind']}"
    value = settings_commands.parse_value(args["VALUE"])
    after = edits.set_value(before.cfg, f"{path}/settings/{args['KEY']}", value)
    return settings_commands.commit(context, before, after)


@registry.commands.register("quota")
def quota(
    context: registry.Context, args: registry.Arguments
) -> registry.CommandResult:
    """Set the maximum number of running tasks of a team in the whole fleet."""
    before = context.store.read()
    value = settings_commands.parse_value(args["TASKS"])
    path = f"teams/{args['TEAM']}/settings/max_running"
    # Raises an error for an unknown team, which the edit would create.
    edits.get_value(before.cfg, f"teams/{args['TEAM']}")
    after = edits.set_value(before.cfg, path, value)
    return settings_commands.commit(context, before, after)


def target_path(cfg: tree.Tree, name: str) -> str:
    """Return the path of a target in the tree.

    Raises
    ------
    carawaysail_settings.errors.NoSuchPathError
        If the tree has no such target.
    """
    found = {
        target: f"places/{data_centre_name}/racks/{rack_name}/targets/{target}"
        for data_centre_name, data_centre in cfg.get("places", {}).items()
        for rack_name, rack in data_centre.get("racks", {}).items()
        for target in rack.get("targets", {})
    }
    if name not in found:
        # Raises the error of an unknown path, with the names of all targets.
        edits.get_value({"targets": found}, f"targets/{name}")  # type: ignore[typeddict-unknown-key]
    return found[name]


def _add_service(cfg: tree.Tree, target: str, service: str) -> tree.Tree:
    path = f"{target_path(cfg, target)}/services"
    served = edits.get_value(cfg, target_path(cfg, target)).get("services", [])
    return edits.set_value(cfg, path, sorted({*served, service}))
