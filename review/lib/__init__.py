"""Stand-ins that the review's scripts share."""
