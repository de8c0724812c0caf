package policybench

import "fmt"

// The bounds of the aims, relative to the baselines.
const (
	// MinThroughputShare is relative to the best baseline.
	MinThroughputShare = 0.97
	// MaxP99Share and MaxEvictionShare are relative to least-loaded.
	MaxP99Share      = 0.5
	MaxEvictionShare = 1.0 / 3
)

// Aim is one aim with the figure that a comparison measured.
type Aim struct {
	Name     string
	Measured float64
	Bound    float64
	// AtLeast makes Bound a lower bound of Measured rather than an upper bound.
	AtLeast bool
}

// Reached reports whether the measured figure is within the bound.
func (a Aim) Reached() bool {
	if a.AtLeast {
		return a.Measured >= a.Bound
	}
	return a.Measured <= a.Bound
}

// String returns the aim on one line.
func (a Aim) String() string {
	relation := "at most"
	if a.AtLeast {
		relation = "at least"
	}
	return fmt.Sprintf("%s: %.3f, aim %s %.3f, reached %t", a.Name, a.Measured, relation, a.Bound, a.Reached())
}

// Aims compares the framework with the baselines by the means over the seeds.
func (c *Comparison) Aims() []Aim {
	throughput := func(r *Result) float64 { return r.Throughput }
	p99 := func(r *Result) float64 { return r.P99MS }
	evictions := func(r *Result) float64 { return float64(r.Evictions) }
	best := 0.0
	for i := range c.Names[1:] {
		best = max(best, summarize(c.Runs[i+1], throughput).mean)
	}
	own, least := c.Runs[0], c.Runs[c.position("least-loaded")]
	missed := 0
	for _, n := range c.MissedButMet[0] {
		missed += n
	}
	return []Aim{
		{"throughput share of the best baseline", summarize(own, throughput).mean / best, MinThroughputShare, true},
		{"p99 share of least-loaded", summarize(own, p99).mean / summarize(least, p99).mean, MaxP99Share, false},
		{"eviction share of least-loaded", summarize(own, evictions).mean / max(1, summarize(least, evictions).mean), MaxEvictionShare, false},
		{"deadlines missed that a clairvoyant order meets", float64(missed), 0, false},
	}
}

func (c *Comparison) position(name string) int {
	for i, each := range c.Names {
		if each == name {
			return i
		}
	}
	return 0
}
