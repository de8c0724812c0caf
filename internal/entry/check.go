package entry

import "redwingvale/internal/settings"

// maxSetting bounds the numbers of the settings file.
const maxSetting = 1 << 31

// Check implements settings.Checker.
func (c *Config) Check(p *settings.Problems) {
	p.Required("instance", c.Instance)
	p.Required("data_centre", c.DataCentre)
	p.Address("listen", c.Listen)
	p.Address("peer_listen", c.PeerListen)
	p.Range("max_body_bytes", c.MaxBodyBytes, 1, maxSetting)
	p.Range("balancer_wait_ms", int64(c.BalancerWaitMS), 0, maxSetting)
	p.Range("max_header_bytes", int64(c.MaxHeaderBytes), 1, maxSetting)
	p.Range("max_in_flight", int64(c.MaxInFlight), 1, maxSetting)
	p.Range("urgent_limit_ms", int64(c.UrgentLimitMS), 1, maxSetting)
	p.Range("renew_interval_ms", int64(c.RenewIntervalMS), 1, maxSetting)
	p.Range("dial_timeout_ms", int64(c.DialTimeoutMS), 1, maxSetting)
	p.Range("probe_interval_ms", int64(c.ProbeIntervalMS), 1, maxSetting)
	p.Range("probe_timeout_ms", int64(c.ProbeTimeoutMS), 1, maxSetting)
	p.Range("queue_bound", int64(c.QueueBound), 1, maxSetting)
	p.Range("submits_in_flight", int64(c.SubmitsInFlight), 1, maxSetting)
	p.Range("sched_timeout_ms", int64(c.SchedTimeoutMS), 1, maxSetting)
	p.Range("key_retention_ms", int64(c.KeyRetentionMS), 1, maxSetting)
	p.Range("max_keys", int64(c.MaxKeys), 1, maxSetting)
}
