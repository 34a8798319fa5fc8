"""The quota pipe, which divides the quotas of accounts among the hosts."""
