"""Models of the messages that synchronise settings between proxies."""

from __future__ import annotations

from fescueshunt.core import patch, settings_sync
from fescueshunt_wire.models import base, documents


class SettingsDigestModel(base.Model):
    """The revision of the settings that are in force at the sender."""

    data_class = settings_sync.SettingsDigest
    revision: base.Count
    asks: bool = False


class SettingsOfferModel(base.Model):
    """The complete settings document that is in force at the sender."""

    data_class = settings_sync.SettingsOffer
    document: documents.DocumentModel


class DroppedModel(base.Model):
    """An entry that the newer settings document no longer contains."""

    data_class = patch.Dropped
    kind: base.Name
    name: base.Name


class PatchModel(base.Model):
    """The difference between two settings documents."""

    data_class = patch.Patch
    base: base.Count
    changed: documents.DocumentModel
    dropped: tuple[DroppedModel, ...] = ()


class SettingsPatchModel(base.Model):
    """The changes from the receiver's revision to the sender's."""

    data_class = settings_sync.SettingsPatch
    patch: PatchModel
