"""`fescueshunt bootstrap`: the first settings document of a deployment."""

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
    """Puts a deployment file into an empty store."""

    name = "bootstrap"

    def run(self, file: pathlib.Path, store: str) -> int:
        """Puts the deployment into the store as revision 1.

        Args:
          file: the INI file of the deployment.
          store: the platform's store, as IP number:port.
        """
        return base.finish(put(file, store))


async def put(file: pathlib.Path, store: str) -> int:
    """Puts the deployment in `file` into an empty store.

    Raises:
      SettingsError: if the file is invalid.
      RevisionConflictError: if the store has settings already.
    """
    first = first_revision(deployment.load(file))
    await first_settings.put_if_absent(store, first)
    return base.SUCCESS


def first_revision(declared: documents.Document) -> documents.Document:
    """Returns `declared` as revision 1, with its place in the history."""
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
