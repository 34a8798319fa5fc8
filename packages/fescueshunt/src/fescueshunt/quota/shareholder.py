"""Asks the coordinator for the shares of quotas that this host needs."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    filters,
    hosts,
    peer_items,
    quotas,
    replica_sets,
    store_items,
)
from fescueshunt.quota import reports

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from fescueshunt.core import identity

# Shares are renewed this often while they are in use.
RENEW_INTERVAL_S = 2.0
# A wish that nothing waits for is reported after this time, with others.
CHANGE_DELAY_S = 0.3
# A report that has no answer by then is repeated when the next is due.
ANSWER_TIMEOUT_S = 0.3
# A coordinator that answers nothing for so long is asked on another link.
LINK_TIMEOUT_S = 1.0
# One whose link was lost is not asked again for so long.
LOST_PAUSE_S = 0.3
# Urgent wishes that arise while a report has no answer wait for it.
MIN_REPORT_INTERVAL_S = 0.03
# Shares that are not wanted any more are reported for so long, as zero.
MIN_FRACTION = 1e-6


@dataclasses.dataclass(slots=True)
class Share:
    """This host's share of an account's quota.

    Attributes:
      fraction: the share, from 0 to 1.
      wanted: the share that is needed.
      valid_until: until when it may be used; local clock, seconds.
    """

    fraction: float = 0.0
    wanted: float = 0.0
    valid_until: float = replica_sets.NEVER


class Shareholder(filters.Filter):
    """Reports this host's wishes to the coordinator, and takes its grants."""

    def __init__(self, own_identity: identity.Identity) -> None:
        self._own = own_identity
        self._hosts: Mapping[str, hosts.HostInfo] = {}
        self._shares: dict[str, Share] = {}
        self._missing: dict[str, int] = {}
        self._returned: dict[str, float] = {}
        self._coordinator = ""
        self._epoch = 0
        self._report_number = 0
        self._seen_number = 0
        self._answered_number = 0
        self._sent_at: dict[int, float] = {}
        self._due_at = 0.0
        self._last_sent_at = replica_sets.NEVER
        self._unanswered_since: float | None = None
        self._paused_until = replica_sets.NEVER

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields reports to the coordinator, and changes of shares."""
        match item:
            case quotas.ShareNeeded():
                yield from self._record_need(item)
            case quotas.ShareShrunk():
                # The coordinator gives it to others once it knows.
                self._returned[item.account] = (
                    self._returned.get(item.account, 0.0) + item.returned
                )
                yield from self._report(item.at)
            case peer_items.PeerAnswered() if isinstance(
                item.message, quotas.QuotaShares
            ):
                yield from self._take_grants(item, item.message)
            case peer_items.PeerLost():
                if item.host == self._coordinator:
                    self._restart_link()
                    self._paused_until = item.at + LOST_PAUSE_S
            case store_items.KeysListed():
                stored = item.keys.get(store_items.DUTY_KEY)
                yield from self._update_coordinator(stored, item.at)
                yield item
            case store_items.KeyChanged():
                if item.key == store_items.DUTY_KEY:
                    yield from self._update_coordinator(item.stored, item.at)
                yield item
            case store_items.LiveHostsView():
                self._hosts = item.hosts
            case filters.Tick():
                yield from self._report_due(item.at)
                yield item
            case _:
                yield item

    def _update_coordinator(
        self, stored: store_items.StoredKey | None, now: float
    ) -> Iterator[filters.Item]:
        """Follows the holder of the duty; between two, the last one stays."""
        if not store_items.is_leased(stored) or stored.revision <= self._epoch:
            return
        self._coordinator, self._epoch = stored.value, stored.revision
        self._restart_link()
        if self._shares:
            yield from self._report(now)

    def _restart_link(self) -> None:
        """Counts the messages on the link to the coordinator anew."""
        self._report_number = self._seen_number = self._answered_number = 0
        self._sent_at.clear()
        self._unanswered_since = None

    def _record_need(self, item: quotas.ShareNeeded) -> Iterator[filters.Item]:
        share = self._shares.setdefault(item.account, Share())
        share.wanted = item.wanted
        if item.missing:
            self._missing[item.account] = item.missing
            yield from self._report_due(item.at)
        else:
            self._due_at = min(self._due_at, item.at + CHANGE_DELAY_S)

    def _report_due(self, now: float) -> Iterator[filters.Item]:
        if now < self._paused_until:
            return
        since = self._unanswered_since
        if since is not None and now - since > LINK_TIMEOUT_S:
            # The link is silent; the next report opens another one.
            yield reports.coordinator_silent(self._coordinator, since, now)
            yield peer_items.DropPeer(now, self._coordinator)
            self._restart_link()
        is_waiting = (
            self._answered_number < self._report_number
            and now - self._last_sent_at < ANSWER_TIMEOUT_S
        )
        is_due = now >= self._due_at or (
            self._missing and now - self._last_sent_at > MIN_REPORT_INTERVAL_S
        )
        if self._shares and is_due and not is_waiting:
            yield from self._report(now)

    def _report(self, now: float) -> Iterator[filters.Item]:
        info = self._hosts.get(self._coordinator)
        if info is None or not self._epoch:
            return
        self._due_at = now + RENEW_INTERVAL_S
        self._last_sent_at = now
        self._report_number += 1
        self._sent_at[self._report_number] = now
        if self._unanswered_since is None:
            self._unanswered_since = now
        report = quotas.QuotaReport(
            self._own.incarnation,
            self._report_number,
            self._seen_number,
            tuple(self._wishes(now)),
        )
        self._missing.clear()
        self._returned.clear()
        yield peer_items.ask(
            self._own.name, info.name, info.peer_address, report, now
        )

    def _wishes(self, now: float) -> Iterator[quotas.ShareWish]:
        for account, share in list(self._shares.items()):
            left_s = max(share.valid_until - now, 0.0)
            held = share.fraction if left_s else 0.0
            if held < MIN_FRACTION and share.wanted < MIN_FRACTION:
                del self._shares[account]
            missing = self._missing.get(account, 0)
            yield quotas.ShareWish(
                account,
                share.wanted,
                held,
                left_s,
                missing,
                self._returned.get(account, 0.0),
            )

    def _take_grants(
        self, item: peer_items.PeerAnswered, message: quotas.QuotaShares
    ) -> Iterator[filters.Item]:
        if item.host != self._coordinator or message.epoch != self._epoch:
            return
        sent_at = self._sent_at.get(message.answers)
        if sent_at is None:
            return
        self._seen_number = message.number
        self._unanswered_since = None
        self._answered_number = max(self._answered_number, message.answers)
        for number in [n for n in self._sent_at if n < message.answers]:
            del self._sent_at[number]
        for grant in message.grants:
            share = self._shares.setdefault(grant.account, Share())
            share.fraction = grant.fraction
            share.valid_until = sent_at + message.ttl_s
            yield quotas.ShareChanged(
                item.at,
                grant.account,
                grant.fraction,
                grant.tokens,
                share.valid_until,
            )
