"""Holds the operations of each account to this host's share of its quota.

Each statement that an upstream is to run takes a token. A single statement, and
the first one of a transaction, needs it before it runs, so that a transaction
is refused before any of it has run. Its later statements run in any case, and
their tokens are owed. Attempts that the proxy repeats take none.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from fescueshunt.core import (
    accounts,
    failures,
    filters,
    quotas,
    replica_sets,
    routes,
    token_bucket,
)
from fescueshunt.sessions import items

if TYPE_CHECKING:
    import random
    from collections.abc import Iterator

# An operation waits so long for the coordinator's answer.
MAX_WAIT_S = 0.2
# After an answer that did not suffice, operations are refused at once for this
# long before the coordinator is asked again.
ASK_INTERVAL_S = 0.25
# The demand is averaged over the time in which the quota permits so many
# operations, within limits.
DEMAND_OPERATIONS = 8.0
MIN_DEMAND_WINDOW_S = 0.7
MAX_DEMAND_WINDOW_S = 10.0
# A host asks for this multiple of its demand, as that varies.
DEMAND_FACTOR = 1.3
# A host with a smaller demand has no share, but asks for each operation.
# Otherwise the shares of many hosts would be too small for a single one.
MIN_SHARE_DEMAND = 1.0
# The wish is renewed when the demand has changed by this factor, or so often.
WISH_CHANGE_FACTOR = 1.3
WISH_INTERVAL_S = 0.5
# A share that has not been used for so long is given up.
IDLE_TIMEOUT_S = 10.0
# How far the time to come back is spread, as a fraction of it.
RETRY_SPREAD = 0.5


@dataclasses.dataclass(slots=True)
class Meter:
    """The use of one account's quota at this host.

    Attributes:
      bucket: the tokens of this host's share.
      fraction: the share, from 0 to 1.
      valid_until: until when it may be used; local clock, seconds.
      waiting: the operations that wait for the coordinator.
      window_s: the time over which the demand is averaged, in seconds.
      demand_per_s: the smoothed rate of operations, also of refused ones.
      arrived_at: when the last one arrived.
      wished_at: when the share was asked for last.
      wished: the share that was asked for last.
      refuses_until: until then operations without a token are refused at once.
    """

    bucket: token_bucket.TokenBucket = dataclasses.field(
        default_factory=token_bucket.TokenBucket
    )
    fraction: float = 0.0
    valid_until: float = replica_sets.NEVER
    waiting: collections.deque[items.StatementJob] = dataclasses.field(
        default_factory=collections.deque
    )
    window_s: float = MIN_DEMAND_WINDOW_S
    demand_per_s: float = 0.0
    arrived_at: float = replica_sets.NEVER
    wished_at: float = replica_sets.NEVER
    wished: float = 0.0
    refuses_until: float = replica_sets.NEVER

    def record_arrival(self, now: float) -> None:
        """Counts an operation."""
        self.demand_per_s = self.demand_at(now) + 1 / self.window_s
        self.arrived_at = now

    def demand_at(self, now: float) -> float:
        """Returns the smoothed rate, in operations per second."""
        return self.demand_per_s * math.exp(
            -(now - self.arrived_at) / self.window_s
        )


class QuotaGate(filters.Filter):
    """Passes on the operations for which this host has a token."""

    def __init__(self, bound: quotas.Bound, rng: random.Random) -> None:
        self._bound = bound
        self._rng = rng
        self._directory: accounts.Directory | None = None
        self._meters: dict[str, Meter] = {}

    def process(self, item: filters.Item) -> Iterator[filters.Item]:
        """Yields admitted operations, refusals and wishes for shares."""
        match item:
            case items.JobSubmitted():
                yield from self._admit(item)
            case quotas.ShareChanged():
                yield from self._change_share(item)
            case routes.RoutesView():
                self._directory = item.accounts
                for name in list(self._meters):
                    yield from self._apply_quota(name, item.at)
                yield item
            case filters.Tick():
                yield from self._tick(item.at)
                yield item
            case _:
                yield item

    def _admit(self, item: items.JobSubmitted) -> Iterator[filters.Item]:
        job = item.job
        quota = self._quota(job.connection_account)
        if quota is None:
            yield item
            return
        meter = self._meter(job.connection_account, quota, item.at)
        meter.record_arrival(item.at)
        if job.continues_transaction:
            meter.bucket.take_later()
            yield item
        elif self._take(meter, item.at):
            yield item
        elif item.at >= meter.refuses_until:
            meter.waiting.append(job)
            yield from self._wish(job.connection_account, quota, item.at)
        else:
            yield from self._refuse(meter, job, item.at)

    def _quota(self, account: str) -> accounts.Quota | None:
        return accounts.find_quota(self._directory, account)

    def _meter(self, account: str, quota: accounts.Quota, now: float) -> Meter:
        meter = self._meters.get(account)
        if meter is None:
            meter = Meter(arrived_at=now, window_s=_demand_window_s(quota))
            meter.bucket.filled_at = now
            self._meters[account] = meter
        return meter

    def _take(self, meter: Meter, now: float) -> bool:
        return now < meter.valid_until and meter.bucket.take(now)

    def _wish(
        self, account: str, quota: accounts.Quota, now: float
    ) -> Iterator[filters.Item]:
        """Asks for the share that the demand needs."""
        meter = self._meters[account]
        meter.wished = self._wanted(meter, quota, now)
        meter.wished_at = now
        yield quotas.ShareNeeded(now, account, meter.wished, len(meter.waiting))

    def _wanted(self, meter: Meter, quota: accounts.Quota, now: float) -> float:
        demand = meter.demand_at(now) * DEMAND_FACTOR
        max_tokens = self._bound.max_tokens(quota)
        rate_per_s = self._bound.rate_per_s(quota)
        if demand < MIN_SHARE_DEMAND or not rate_per_s:
            return 0.0
        by_burst = (1.0 + math.sqrt(demand)) / max_tokens
        by_rate = demand / rate_per_s
        return min(max(by_burst, by_rate), 1.0)

    def _change_share(
        self, item: quotas.ShareChanged
    ) -> Iterator[filters.Item]:
        meter = self._meters.get(item.account)
        if meter is None:
            return
        if item.at >= meter.valid_until:
            meter.bucket.tokens = 0.0
        has_shrunk = item.fraction < meter.fraction
        meter.fraction = item.fraction
        meter.valid_until = item.valid_until
        before = meter.bucket.tokens
        yield from self._apply_quota(item.account, item.at)
        if has_shrunk:
            returned = max(before - meter.bucket.size, 0.0)
            yield quotas.ShareShrunk(item.at, item.account, returned)
        tokens = item.tokens
        while meter.waiting and tokens >= 1.0:
            tokens -= 1.0
            yield items.JobSubmitted(item.at, meter.waiting.popleft())
        meter.bucket.add(tokens)
        yield from self._release(meter, item.at)
        if meter.waiting and meter.bucket.wait_s() > MAX_WAIT_S:
            # More may come shortly, if other hosts give up some of theirs.
            meter.refuses_until = item.at + ASK_INTERVAL_S

    def _apply_quota(self, account: str, now: float) -> Iterator[filters.Item]:
        """Sizes the bucket by the quota in force, if there is one."""
        meter = self._meters[account]
        quota = self._quota(account)
        if quota is None:
            del self._meters[account]
            for job in meter.waiting:
                yield items.JobSubmitted(now, job)
            return
        meter.bucket.resize(
            self._bound.rate_per_s(quota) * meter.fraction,
            self._bound.max_tokens(quota) * meter.fraction,
            now,
        )

    def _release(self, meter: Meter, now: float) -> Iterator[filters.Item]:
        while meter.waiting and self._take(meter, now):
            yield items.JobSubmitted(now, meter.waiting.popleft())

    def _refuse(
        self, meter: Meter, job: items.StatementJob, now: float
    ) -> Iterator[filters.Item]:
        """Refuses an operation, and tells when it may come again.

        The times are spread, so that the callers don't return together.
        """
        detail = "quota of the account"
        is_valid = now < meter.valid_until
        wait_s = meter.bucket.wait_s() if is_valid else math.inf
        if math.isfinite(wait_s):
            wait_s *= self._rng.uniform(1.0, 1.0 + RETRY_SPREAD)
            detail += f"; retry after {wait_s:.2f} s"
        cause = quotas.RefusalCause.NO_SHARE
        if is_valid:
            cause = quotas.RefusalCause.USED_UP
        yield quotas.OperationRefused(now, job.connection_account, cause)
        yield items.JobFinished(
            now, job, None, failures.Failure.BUSY, detail, ""
        )

    def _tick(self, now: float) -> Iterator[filters.Item]:
        for account, meter in list(self._meters.items()):
            quota = self._quota(account)
            if quota is None:
                continue
            yield from self._release(meter, now)
            while meter.waiting and (
                now - meter.waiting[0].arrived_at > MAX_WAIT_S
            ):
                yield from self._refuse(meter, meter.waiting.popleft(), now)
            if now - meter.arrived_at > IDLE_TIMEOUT_S:
                del self._meters[account]
                yield quotas.ShareNeeded(now, account, 0.0, 0)
            elif now - meter.wished_at > WISH_INTERVAL_S:
                yield from self._renew_wish(account, quota, now)

    def _renew_wish(
        self, account: str, quota: accounts.Quota, now: float
    ) -> Iterator[filters.Item]:
        meter = self._meters[account]
        wanted = self._wanted(meter, quota, now)
        low, high = sorted((wanted, meter.wished))
        if high > low * WISH_CHANGE_FACTOR:
            yield from self._wish(account, quota, now)
        else:
            meter.wished_at = now


def _demand_window_s(quota: accounts.Quota) -> float:
    """Returns over which time the demand of an account is averaged."""
    if quota.rate_per_s <= 0:
        return MAX_DEMAND_WINDOW_S
    return min(
        max(DEMAND_OPERATIONS / quota.rate_per_s, MIN_DEMAND_WINDOW_S),
        MAX_DEMAND_WINDOW_S,
    )
