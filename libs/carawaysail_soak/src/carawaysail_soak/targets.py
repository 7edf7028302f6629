"""Targets of faults, resolved when a fault begins."""

from carawaysail_soak import plan, proxy, site


def vms(where: site.Site, target: str) -> list[str]:
    """Return the VMs that a target names.

    Parameters
    ----------
    where : site.Site
        The site.
    target : str
        Names joined by ``+``; ``*`` or ``vms`` for all; ``in:DC`` for those of a data
        centre; ``holder:DC`` for the present holder of its workers.
    """
    head, _, data_centre = target.partition(":")
    if target in ("*", "vms"):
        return list(where.vms())
    if head == "in":
        return [
            x for x in where.vms() if plan.data_centre_of(x, where.size) == data_centre
        ]
    if head == "holder":
        holder = where.holder(data_centre)
        return [holder] if holder else []
    return [x for x in target.split("+") if x in where.processes]


def workers(where: site.Site, target: str) -> list[str]:
    """Return the workers that a target names: identifiers joined by ``+``."""
    return [x for x in target.split("+") if x in where.worker_ids()]


def links(where: site.Site, target: str) -> list[proxy.Link]:
    """Return the links that a target ``SOURCE>TARGET`` names.

    A target without ``>`` names all links from and to its VMs, without those of
    clients.
    """
    source, arrow, end = target.partition(">")
    if not arrow:
        names = set(vms(where, target))
        return [
            x for x in where.proxy.links()
            if (x.source in names or x.target in names) and x.source != site.CLIENTS
        ]  # fmt: skip
    sources = {site.CLIENTS} if source == site.CLIENTS else set(vms(where, source))
    ends = {end, *vms(where, end), *workers(where, end)}
    return [x for x in where.proxy.links() if x.source in sources and x.target in ends]


def impaired_vms(where: site.Site, target: str) -> list[str]:
    """Return the VMs at either end of what a target names."""
    source, _, end = target.partition(">")
    return sorted({*vms(where, source), *vms(where, end)})
