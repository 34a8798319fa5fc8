"""Models of the messages of the platform's store and host list."""

from __future__ import annotations

from fescueshunt_wire import platform
from fescueshunt_wire.models import base


class GetModel(base.Model):
    """The call that reads a key."""

    data_class = platform.Get
    key: base.Name
    above: base.Integer = -1
    wait_s: base.Seconds = 0.0


class FoundModel(base.Model):
    """The reply with the value of a key."""

    data_class = platform.Found
    version: base.Count
    value: base.Bytes


class CompareAndSwapModel(base.Model):
    """The call that sets a key if its version is as expected."""

    data_class = platform.CompareAndSwap
    key: base.Name
    expected: base.Count
    value: base.Bytes


class SwappedModel(base.Model):
    """The reply with the outcome of a compare-and-swap."""

    data_class = platform.Swapped
    done: bool
    version: base.Count


class AcquireLeaseModel(base.Model):
    """The call that acquires or renews a lease."""

    data_class = platform.AcquireLease
    key: base.Name
    holder: base.Name
    ttl_s: base.Seconds


class LeaseHeldModel(base.Model):
    """The reply with the holder of a lease."""

    data_class = platform.LeaseHeld
    holder: base.Name


class ListHostsModel(base.Model):
    """The call that reads the host list."""

    data_class = platform.ListHosts


class HostEntryModel(base.Model):
    """An entry of the host list."""

    data_class = platform.HostEntry
    name: base.Name
    zone: base.Name
    address: base.Name
    leaving: bool = False


class HostListModel(base.Model):
    """The reply with the host list."""

    data_class = platform.HostList
    hosts: tuple[HostEntryModel, ...]


class SetHostModel(base.Model):
    """The call that changes the host list of a stand-in."""

    data_class = platform.SetHost
    host: HostEntryModel


class ReadCallsModel(base.Model):
    """The call that reads a stand-in's call counts."""

    data_class = platform.ReadCalls


class CallCountsModel(base.Model):
    """The reply with the number of calls of each kind."""

    data_class = platform.CallCounts
    counts: tuple[tuple[base.Name, base.Count], ...]
