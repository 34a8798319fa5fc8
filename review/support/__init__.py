"""Stand-ins, links and host processes that the scripts of the review share."""
