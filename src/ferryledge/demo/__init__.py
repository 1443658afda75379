"""A demonstration: a whole cluster in one process, over loopback sockets."""

from ferryledge.demo import _cluster
from ferryledge.demo import _report

ClusterOptions = _cluster.ClusterOptions
LocalCluster = _cluster.LocalCluster
Summary = _report.Summary
summarise = _report.summarise

__all__ = ["ClusterOptions", "LocalCluster", "Summary", "summarise"]
