package policybench

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"sync"

	"redwingvale/internal/framework"
	_ "redwingvale/internal/plugins/all" // registers the plug-ins under test
	"redwingvale/internal/policy"
)

// Framework returns the scheduling framework with all plug-ins.
func Framework(_ *trace, seed uint64) policy.Decider {
	k, err := framework.New(framework.Config{Seed: seed})
	if err != nil {
		panic(err)
	}
	return k
}

// Contender is one Decider of a comparison.
type Contender struct {
	Name string
	Make Maker
}

// Contenders lists the Deciders to compare, the framework first.
func Contenders() []Contender {
	return []Contender{
		{"framework", Framework},
		{"random", Random},
		{"least-loaded", LeastLoaded},
		{"least-loaded-passive", LeastLoadedPassive},
		{"first-fit", FirstFit},
	}
}

// Comparison holds the results by contender and seed.
type Comparison struct {
	Params Params
	Names  []string
	// Runs is indexed by contender and seed.
	Runs [][]Result
	// MissedButMet is the number of deadlines, by contender and seed, that the
	// contender missed and the clairvoyant order met.
	MissedButMet [][]int
	// ClairvoyantMissed is the number of deadlines, by seed, that even the
	// clairvoyant order missed.
	ClairvoyantMissed []int
}

// Compare runs every contender with each of the seeds 1 to seeds. At most workers
// seeds run concurrently.
func Compare(p Params, seeds, workers int) Comparison {
	list := Contenders()
	c := Comparison{Params: p, ClairvoyantMissed: make([]int, seeds)}
	for _, each := range list {
		c.Names = append(c.Names, each.Name)
		c.Runs = append(c.Runs, make([]Result, seeds))
		c.MissedButMet = append(c.MissedButMet, make([]int, seeds))
	}
	var group sync.WaitGroup
	limit := make(chan struct{}, workers)
	for s := range seeds {
		group.Add(1)
		limit <- struct{}{}
		go func() {
			defer group.Done()
			defer func() { <-limit }()
			c.runSeed(list, s)
		}()
	}
	group.Wait()
	return c
}

// runSeed runs every contender with one seed and stores the results.
func (c *Comparison) runSeed(list []Contender, s int) {
	seed := uint64(s + 1)
	t := newTrace(c.Params, seed)
	best := Run(c.Params, seed, Clairvoyant)
	c.ClairvoyantMissed[s] = best.Missed
	for i, each := range list {
		c.Runs[i][s] = Run(c.Params, seed, each.Make)
		c.MissedButMet[i][s] = c.Runs[i][s].missedButMet(t, &best)
	}
}

// spread is a mean with the smallest and largest value.
type spread struct{ mean, low, high float64 }

func summarize(runs []Result, value func(*Result) float64) spread {
	s := spread{low: math.Inf(1), high: math.Inf(-1)}
	for i := range runs {
		v := value(&runs[i])
		s.mean += v / float64(len(runs))
		s.low, s.high = min(s.low, v), max(s.high, v)
	}
	return s
}

func (s spread) String() string { return fmt.Sprintf("%.1f [%.1f, %.1f]", s.mean, s.low, s.high) }

// columns are the columns of the table.
var columns = []struct {
	name  string
	value func(*Result) float64
}{
	{"p99 ms", func(r *Result) float64 { return r.P99MS }},
	{"batch slots", func(r *Result) float64 { return r.Throughput }},
	{"missed", func(r *Result) float64 { return float64(r.Missed) }},
	{"evictions", func(r *Result) float64 { return float64(r.Evictions) }},
	{"work lost s", func(r *Result) float64 { return r.WorkLost }},
	{"out of memory", func(r *Result) float64 { return float64(r.OutOfMemory) }},
	{"long-run moves", func(r *Result) float64 { return float64(r.LongRunMoves) }},
	{"throttles", func(r *Result) float64 { return float64(r.Throttles) }},
	{"false overdue", func(r *Result) float64 { return float64(r.FalseOverdue) }},
	{"overdue lead s", func(r *Result) float64 { return r.OverdueLead }},
}

// Table returns the comparison as a Markdown table of mean [smallest, largest].
func (c *Comparison) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, %d seeds, held out: %t\n\n| policy |", c.Params.Name, len(c.ClairvoyantMissed), c.Params.HeldOut)
	for _, column := range columns {
		fmt.Fprintf(&b, " %s |", column.name)
	}
	b.WriteString(" missed, clairvoyant met |\n|---|" + strings.Repeat("---|", len(columns)+1) + "\n")
	for i, name := range c.Names {
		fmt.Fprintf(&b, "| %s |", name)
		for _, column := range columns {
			fmt.Fprintf(&b, " %s |", summarize(c.Runs[i], column.value))
		}
		fmt.Fprintf(&b, " %s |\n", spreadOf(c.MissedButMet[i]))
	}
	floor := summarize(c.Runs[0], func(r *Result) float64 { return r.NoBatchP99MS })
	fmt.Fprintf(&b, "\nthe clairvoyant order misses %s; without batch work the p99 is %s ms\n",
		spreadOf(c.ClairvoyantMissed), floor)
	return b.String()
}

func spreadOf(counts []int) string {
	sorted := append([]int(nil), counts...)
	sort.Ints(sorted)
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return fmt.Sprintf("%.1f [%d, %d]", float64(sum)/float64(len(counts)), sorted[0], sorted[len(sorted)-1])
}
