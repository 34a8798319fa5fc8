"""Models of the messages by which settings spread between proxies."""

from __future__ import annotations

from fescueshunt.core import patch, settings_sync
from fescueshunt_wire.models import base, documents


class SettingsDigestModel(base.Model):
    """A revision."""

    of = settings_sync.SettingsDigest
    revision: base.Count
    asks: bool = False


class SettingsOfferModel(base.Model):
    """A document."""

    of = settings_sync.SettingsOffer
    document: documents.DocumentModel


class DroppedModel(base.Model):
    """An entry that is gone."""

    of = patch.Dropped
    kind: base.Name
    name: base.Name


class PatchModel(base.Model):
    """What changed."""

    of = patch.Patch
    base: base.Count
    changed: documents.DocumentModel
    dropped: tuple[DroppedModel, ...] = ()


class SettingsPatchModel(base.Model):
    """A patch."""

    of = settings_sync.SettingsPatch
    patch: PatchModel
