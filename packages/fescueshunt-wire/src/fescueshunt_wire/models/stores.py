"""Models of the platform's store and host list."""

from __future__ import annotations

from fescueshunt_wire import platform
from fescueshunt_wire.models import base


class GetModel(base.Model):
    """Reads a key."""

    data_class = platform.Get
    key: base.Name
    above: base.Index = -1
    wait_s: base.Seconds = 0.0


class FoundModel(base.Model):
    """The value of a key."""

    data_class = platform.Found
    version: base.Count
    value: base.Bytes


class CompareAndSwapModel(base.Model):
    """Sets a key under a condition."""

    data_class = platform.CompareAndSwap
    key: base.Name
    expected: base.Count
    value: base.Bytes


class SwappedModel(base.Model):
    """Whether the key was set."""

    data_class = platform.Swapped
    done: bool
    version: base.Count


class AcquireLeaseModel(base.Model):
    """Takes a lease."""

    data_class = platform.AcquireLease
    key: base.Name
    holder: base.Name
    ttl_s: base.Seconds


class LeaseHeldModel(base.Model):
    """Who holds a lease."""

    data_class = platform.LeaseHeld
    holder: base.Name


class ListHostsModel(base.Model):
    """Reads the host list."""

    data_class = platform.ListHosts


class HostEntryModel(base.Model):
    """A host."""

    data_class = platform.HostEntry
    name: base.Name
    zone: base.Name
    address: base.Name
    leaving: bool = False


class HostListModel(base.Model):
    """The host list."""

    data_class = platform.HostList
    hosts: tuple[HostEntryModel, ...]


class SetHostModel(base.Model):
    """Changes the host list."""

    data_class = platform.SetHost
    host: HostEntryModel


class ReadCallsModel(base.Model):
    """Reads the counted calls."""

    data_class = platform.ReadCalls


class CallCountsModel(base.Model):
    """The counted calls."""

    data_class = platform.CallCounts
    counts: tuple[tuple[base.Name, base.Count], ...]
