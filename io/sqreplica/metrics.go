package sqreplica

// registerMetrics registers gauges of the replica's state.
func (r *Replica) registerMetrics() {
	if r.cfg.Metrics == nil {
		return
	}
	gauge := func(name string, value func(v *view) uint64) {
		r.cfg.Metrics.NewGauge(name, func() float64 { return float64(value(r.view.Load())) })
	}
	gauge("sequoiadock_replica_term", func(v *view) uint64 { return v.status.Term() })
	gauge("sequoiadock_replica_committed", func(v *view) uint64 { return v.status.CommitIndex() })
	gauge("sequoiadock_replica_applied", func(v *view) uint64 { return v.status.AppliedIndex() })
	gauge("sequoiadock_replica_log_syncs", func(v *view) uint64 { return v.status.Syncs() })
	gauge("sequoiadock_replica_log_entries", func(v *view) uint64 { return uint64(v.status.LogEntries()) })
	gauge("sequoiadock_replica_log_bytes", func(v *view) uint64 { return uint64(v.status.LogBytes()) })
	gauge("sequoiadock_replica_members", func(v *view) uint64 { return uint64(len(v.members)) })
	gauge("sequoiadock_replica_leader", func(v *view) uint64 {
		if v.status.Role() == Leader {
			return 1
		}
		return 0
	})
}
