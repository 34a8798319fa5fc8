"""The items that a proxy exchanges with its border."""

from __future__ import annotations

from fescueshunt.core import (
    filters,
    items,
    process,
    views,
    wiring,
)
from fescueshunt.request import items as request_items

BORDER = wiring.Border(
    sources=frozenset(
        (
            filters.Tick,
            items.ArchiveRead,
            items.BackRead,
            items.CallerClosed,
            items.CallerRequest,
            items.ControlFailed,
            items.ControlReplied,
            items.HostsRead,
            items.OperatorAsked,
            items.PeerLost,
            items.PeerReceived,
            items.SettingsRead,
            items.SettingsReadFailed,
            items.SettingsSwapFailed,
            items.SettingsSwapped,
            items.StoreReadFailed,
            items.UpstreamFailed,
            items.UpstreamOpened,
            items.UpstreamReplied,
            process.StopAsked,
        )
    ),
    sinks=frozenset(
        (
            items.AnswerCaller,
            items.AnswerOperator,
            items.CallControl,
            items.CloseUpstream,
            items.OpenUpstream,
            items.ReadArchive,
            items.ReadBack,
            items.ReadHosts,
            items.ReadSettings,
            items.RunUpstream,
            items.SendPeer,
            items.SwapSettings,
            process.Stopped,
            request_items.Answered,
            views.FleetView,
            views.GroupView,
            views.Promotion,
            views.SettingsView,
        )
    ),
)
