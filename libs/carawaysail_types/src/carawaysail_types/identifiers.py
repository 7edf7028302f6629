"""Identifiers of VMs, processes, submissions and tasks.

A submission identifier is ``<owner>~<own>``. The owner token names one incarnation of
one entry daemon and the epoch in which the token was issued; ``own`` is chosen by the
caller. Only that incarnation ever starts the submission, or the successor that it names
in a graceful shutdown.
"""

import re
import typing

from carawaysail_types import errors

LOCAL_ID_PATTERN = re.compile(r"[A-Za-z0-9_.:\-]{1,64}")
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9\-]{0,62}")
OWNER_PATTERN = re.compile(
    r"([a-z0-9][a-z0-9\-]{0,62})\.([a-z0-9][a-z0-9\-]{0,62})\.([0-9a-f]{16})\.([0-9]{1,9})"
)

TargetId = str
"""Name of a target, unique in the settings."""

Incarnation = str
"""Sixteen random hexadecimal digits drawn when a daemon starts; never reused."""


class Owner(typing.NamedTuple):
    """The incarnation that owns a submission identifier.

    Parameters
    ----------
    data_centre : str
        Data centre of the owning daemon.
    vm : str
        VM of the owning daemon.
    incarnation : str
        Incarnation of the owning daemon.
    epoch : int
        Number of whole epochs, of a minute each, from the start of the process to the
        issue of the token.
    """

    data_centre: str
    vm: str
    incarnation: Incarnation
    epoch: int

    def __str__(self) -> str:
        """Return the token in its text form for callers."""
        return f"{self.data_centre}.{self.vm}.{self.incarnation}.{self.epoch}"


class SubmissionId(typing.NamedTuple):
    """Identifier of a submission.

    Parameters
    ----------
    owner : Owner
        The incarnation that may start the submission.
    local_id : str
        Identifier chosen by the caller, unique for the owner; 1 to 64 characters out
        of letters, digits and ``_ . : -``.
    """

    owner: Owner
    local_id: str

    def __str__(self) -> str:
        """Return the identifier in its text form for callers."""
        return f"{self.owner}~{self.local_id}"


class TaskId(typing.NamedTuple):
    """Identifier of one task of a submission.

    Parameters
    ----------
    submission : str
        Submission identifier in its text form.
    position : int
        Position of the task in its submission, from 0.
    """

    submission: str
    position: int

    def __str__(self) -> str:
        """Return the identifier in its text form for targets."""
        return f"{self.submission}#{self.position}"


def parse_owner(text: str) -> Owner:
    """Parse the text form of an owner token.

    Raises
    ------
    errors.BadInputError
        If the text is not an owner token.
    """
    match = OWNER_PATTERN.fullmatch(text)
    if match is None:
        raise errors.BadInputError(
            "owner", text, "a token from GET /v1/owner, <data centre>.<vm>.<16 hex>.<n>"
        )
    data_centre, vm, incarnation, epoch = match.groups()
    return Owner(data_centre, vm, incarnation, int(epoch))


def parse_submission(text: str) -> SubmissionId:
    """Parse the text form of a submission identifier.

    Raises
    ------
    errors.BadInputError
        If the text is not ``<owner>~<own>``.
    """
    owner, separator, local_id = text.partition("~")
    if not separator or LOCAL_ID_PATTERN.fullmatch(local_id) is None:
        raise errors.BadInputError(
            "id", text, "<owner>~<own>, own being 1 to 64 of A-Z a-z 0-9 _ . : -"
        )
    return SubmissionId(parse_owner(owner), local_id)
