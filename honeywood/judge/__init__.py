"""The balancer's own rules of decision; the statistics of releases stand in honeywood/release_analysis."""
