"""`fescueshunt bootstrap`: stores the first settings of a deployment."""

from __future__ import annotations

import dataclasses
import os
import pathlib
import time

from fescueshunt.core import document as documents
from fescueshunt.core import statements
from fescueshunt_cli._internal import deployment
from fescueshunt_cli._internal.commands import base
from fescueshunt_wire import first_settings

AUTHOR = "bootstrap"


class BootstrapCommand(base.Command):
    """The command `bootstrap`, which fills an empty store."""

    name = "bootstrap"

    def run(self, file: pathlib.Path, store: str) -> int:
        """Writes the deployment's settings to the store as revision 1.

        Args:
          file: the INI file of the deployment.
          store: the address of the platform's store, as IP:port.
        """
        return base.run_async(_run(file, store))


async def _run(file: pathlib.Path, store: str) -> int:
    """Writes the deployment in `file` to an empty store.

    Raises:
      SettingsError: if the file is invalid.
      RevisionConflictError: if the store already contains settings.
    """
    first = make_first_revision(deployment.load(file))
    await first_settings.put_if_absent(store, first)
    return base.SUCCESS


def make_first_revision(declared: documents.Document) -> documents.Document:
    """Returns `declared` as revision 1, with a history of one entry."""
    operation = os.urandom(statements.OPERATION_BYTES)
    entry = documents.Revision(
        1, operation, AUTHOR, AUTHOR, "", AUTHOR, time.time()
    )
    return dataclasses.replace(
        declared,
        revision=1,
        operation=operation,
        author=AUTHOR,
        history=(entry,),
    )
