package standin

import "redwingvale/internal/settings"

// Upper limits of the stand-ins' settings.
const (
	maxWorkers    = 512
	maxRetentionS = 7 * 24 * 3600
	maxLagMS      = 600_000
	maxCapacity   = 1 << 30
)

// Check implements settings.Checker.
func (c *Config) Check(p *settings.Problems) {
	p.Address("control_addr", c.ControlAddr)
	p.Address("listen_ip", c.ListenIP+":1")
	p.Range("first_target_port", int64(c.FirstTargetPort), 0, 65535-maxWorkers)
	p.Range("workers", int64(c.Workers), 1, maxWorkers)
	p.Range("workers_per_rack", int64(c.WorkersPerRack), 1, maxWorkers)
	p.Required("service", c.Service)
	p.Range("retention_s", int64(c.RetentionS), 1, maxRetentionS)
	p.Range("list_lag_ms", int64(c.ListLagMS), 0, maxLagMS)
	p.Range("milli_cpu", c.MilliCPU, 1, maxCapacity)
	p.Range("memory_mib", c.MemoryMiB, 1, maxCapacity)
	p.Range("accelerators", c.Accelerators, 0, maxCapacity)
	p.Range("slots", c.Slots, 1, maxCapacity)
	p.Range("connections", c.Connections, 1, maxCapacity)
	p.Range("log.lost_answer_percent", int64(c.Log.LostAnswerPercent), 0, 100)
	p.Range("log.delay_ms", int64(c.Log.DelayMS), 0, maxLagMS)
	if len(c.DataCentres) == 0 {
		p.Add("data_centres", "[]", "at least one data centre")
	}
}
