"""Proposals: fence a majority, choose the newest log, promote its holder."""
