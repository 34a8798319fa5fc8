"""Divides the quotas of accounts among the hosts that ask for them.

The host that holds the duty is the coordinator. Once its lease may have ended,
for example as the store is away, it goes on for a while with the part of each
quota that is given as shares. A successor leaves this part alone until the
shares of its predecessor are over, and no share is granted for longer.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from fescueshunt.core import (
    accounts,
    filters,
    peer_items,
    quotas,
    routes,
    store_items,
)
from fescueshunt.quota import ledger, reports

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fescueshunt.core import identity

# How often the shares of an account are moved between hosts.
REBALANCE_INTERVAL_S = 0.05


@dataclasses.dataclass(slots=True)
class Member:
    """A host that has reported its wishes.

    Attributes:
      incarnation: the incarnation of the host.
      link: the link on which it reported last.
      report_number: the number of its last report on that link.
      sent_number: the number of the last message to it on that link.
    """

    incarnation: int
    link: int
    report_number: int = 0
    sent_number: int = 0


class Coordinator(filters.Filter):
    """Answers the reports of hosts while this host holds the duty."""

    def __init__(
        self, own_identity: identity.Identity, bound: quotas.Bound
    ) -> None:
        self._own_name = own_identity.name
        self._bound = bound
        self._directory: accounts.Directory | None = None
        self._ledgers: dict[str, ledger.AccountLedger] = {}
        self._members: dict[str, Member] = {}
        self._duty = store_items.DutyView(0.0, 0, 0.0, 0.0)
        self._taken_at = 0.0
        self._known_from = 0.0

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields shares for the hosts that report."""
        match item:
            case peer_items.PeerAsked() if isinstance(
                item.message, quotas.QuotaReport
            ):
                yield from self._handle_report(item, item.message)
            case peer_items.PeerLinkEnded():
                self._forget_link(item.link)
            case store_items.DutyView():
                self._update_duty(item)
            case routes.RoutesView():
                self._directory = item.accounts
            case _:
                yield item

    def _update_duty(self, duty: store_items.DutyView) -> None:
        if duty.token != self._duty.token:
            self._ledgers.clear()
            self._members.clear()
            self._taken_at = duty.at
            self._known_from = duty.at + quotas.SHARE_TTL_S
        self._duty = duty

    def _share_ttl_s(self, now: float) -> float:
        """Returns how long a share may be valid now, 0 if none may be granted.

        A successor takes all shares for ended `SHARE_TTL_S` after it has taken
        the duty, which it can't before this host's lease has ended.
        """
        if not self._duty.token:
            return 0.0
        left_s = self._duty.valid_until + quotas.SHARE_TTL_S - now
        return min(max(left_s, 0.0), quotas.SHARE_TTL_S)

    def _pooled(self, account: ledger.AccountLedger, now: float) -> float:
        """Returns the share of a quota that is left for single operations."""
        return account.pooled(
            now, self._known_from, is_certain=self._duty.is_held(now)
        )

    def _forget_link(self, link: int) -> None:
        for member in self._members.values():
            if member.link == link:
                member.link = -1

    def _handle_report(
        self, item: peer_items.PeerAsked, report: quotas.QuotaReport
    ) -> Iterator[filters.Item]:
        if not self._share_ttl_s(item.at):
            yield reports.report_ignored(item.host, self._duty, item.at)
            return
        member = self._identify(item, report)
        if member is None:
            return
        is_current = report.seen == member.sent_number
        grants = []
        for wish in report.wishes:
            quota = self._quota(wish.account)
            if quota is None:
                continue
            account = self._ledger(wish.account, quota, item.at)
            holding = account.holdings.setdefault(item.host, ledger.Holding())
            if is_current:
                account.confirm(holding, wish.held)
            account.set_wanted(holding, min(max(wish.wanted, 0.0), 1.0))
            holding.missing = wish.missing
            account.tokens += wish.returned
            holding.until = item.at + quotas.SHARE_TTL_S
            grants.append(self._grant(wish.account, item.host, quota, item.at))
        yield self._send(item.host, member, grants, item.at)
        names = [grant.account for grant in grants]
        yield from self._rebalance(item.host, names, item.at)

    def _identify(
        self, item: peer_items.PeerAsked, report: quotas.QuotaReport
    ) -> Member | None:
        """Returns the member that reports; None if it has been replaced.

        The shares of an earlier process of the same host are free: it has
        ended.
        """
        member = self._members.get(item.host)
        if member is not None and report.incarnation < member.incarnation:
            return None
        if member is None or report.incarnation > member.incarnation:
            if member is not None:
                self._free_shares(item.host)
            member = Member(report.incarnation, item.link)
            self._members[item.host] = member
        if member.link != item.link:
            # No message on a former link can reach the host any more.
            member.link = item.link
            member.sent_number = 0
        member.report_number = report.number
        return member

    def _free_shares(self, host: str) -> None:
        for account in self._ledgers.values():
            account.released += account.remove(host)

    def _quota(self, account: str) -> accounts.Quota | None:
        return accounts.find_quota(self._directory, account)

    def _ledger(
        self, account: str, quota: accounts.Quota, now: float
    ) -> ledger.AccountLedger:
        """Returns an account's ledger, brought up to the current time."""
        found = self._ledgers.get(account)
        if found is None:
            # What the predecessor has given out before is not known.
            found = ledger.AccountLedger(filled_at=self._taken_at)
            if now >= self._known_from:
                found.filled_at = self._known_from
                found.tokens = self._bound.initial_tokens(quota)
            self._ledgers[account] = found
        max_tokens = self._bound.max_tokens(quota)
        found.min_share = 1.0 / max(max_tokens, 1.0)
        found.fill(
            self._bound.rate_per_s(quota),
            max_tokens,
            self._pooled(found, now),
            now,
        )
        found.expire(now)
        return found

    def _grant(
        self,
        name: str,
        host: str,
        quota: accounts.Quota,
        now: float,
    ) -> quotas.ShareGrant:
        """Moves a host's share towards its target, as far as is possible."""
        account = self._ledgers[name]
        holding = account.holdings[host]
        target = account.target(holding)
        if holding.shrink(target):
            return quotas.ShareGrant(name, holding.granted, 0.0)
        free = account.free(now, self._known_from)
        pooled = self._pooled(account, now)
        added = min(max(target - holding.granted, 0.0), free)
        if now < self._known_from:
            account.released -= added
        holding.granted += added
        tokens = account.take_tokens(holding.missing, added, pooled)
        holding.missing = 0
        return quotas.ShareGrant(name, holding.granted, tokens)

    def _rebalance(
        self, asker: str, names: list[str], now: float
    ) -> Iterator[filters.Item]:
        """Moves shares between the other hosts, as far as these can be told.

        What is free goes to hosts that have less than they should have. If one
        still has, those that have more have to give up some.
        """
        grants: dict[str, list[quotas.ShareGrant]] = {}
        for name in names:
            account = self._ledgers[name]
            if now - account.rebalanced_at < REBALANCE_INTERVAL_S:
                continue
            under_target = account.under_target()
            if not under_target:
                continue
            account.rebalanced_at = now
            quota = self._quota(name)
            for host in under_target:
                if host != asker and self._is_linked(host):
                    grant = self._grant(name, host, quota, now)
                    if grant.fraction or grant.tokens:
                        grants.setdefault(host, []).append(grant)
            if account.free(now, self._known_from) > ledger.MIN_FREE:
                continue
            for host, target in list(account.over_target()):
                if host != asker and self._is_linked(host):
                    account.holdings[host].granted = target
                    grant = quotas.ShareGrant(name, target, 0.0)
                    grants.setdefault(host, []).append(grant)
        for host, host_grants in grants.items():
            yield self._send(host, self._members[host], host_grants, now)

    def _is_linked(self, host: str) -> bool:
        member = self._members.get(host)
        return member is not None and member.link >= 0

    def _send(
        self,
        host: str,
        member: Member,
        grants: list[quotas.ShareGrant],
        now: float,
    ) -> filters.Item:
        member.sent_number += 1
        message = quotas.QuotaShares(
            self._duty.token,
            member.sent_number,
            member.report_number,
            tuple(grants),
            self._share_ttl_s(now),
        )
        return peer_items.answer(self._own_name, member.link, message, now)
