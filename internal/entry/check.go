package entry

import "redwingvale/internal/settings"

// maxSetting is the upper limit of the numbers in the settings file.
const maxSetting = 1 << 31

// Check implements settings.Checker.
func (c *Config) Check(p *settings.Problems) {
	p.Required("instance", c.Instance)
	p.Required("data_centre", c.DataCentre)
	p.Address("listen", c.Listen)
	p.Address("peer_listen", c.PeerListen)
	p.Range("balancer_wait_ms", int64(c.BalancerWaitMS), 0, maxSetting)
	p.Range("view_spread_ms", int64(c.ViewSpreadMS), 0, maxSetting)
	for _, setting := range c.positiveSettings() {
		p.Range(setting.key, setting.value, 1, maxSetting)
	}
}

// namedValue is a number from the settings file with its key.
type namedValue struct {
	key   string
	value int64
}

// positiveSettings returns the settings that must be above 0.
func (c *Config) positiveSettings() []namedValue {
	return []namedValue{
		{"max_body_bytes", c.MaxBodyBytes},
		{"max_header_bytes", int64(c.MaxHeaderBytes)},
		{"max_in_flight", int64(c.MaxInFlight)},
		{"urgent_limit_ms", int64(c.UrgentLimitMS)},
		{"renew_interval_ms", int64(c.RenewIntervalMS)},
		{"dial_timeout_ms", int64(c.DialTimeoutMS)},
		{"probe_interval_ms", int64(c.ProbeIntervalMS)},
		{"probe_timeout_ms", int64(c.ProbeTimeoutMS)},
		{"queue_bound", int64(c.QueueBound)},
		{"submits_in_flight", int64(c.SubmitsInFlight)},
		{"sched_timeout_ms", int64(c.SchedTimeoutMS)},
		{"key_retention_ms", int64(c.KeyRetentionMS)},
		{"max_keys", int64(c.MaxKeys)},
	}
}
