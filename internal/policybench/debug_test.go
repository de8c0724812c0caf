package policybench

import (
	"fmt"
	"math"
	"testing"
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

type spy struct {
	policy.Decider
	why map[string]int
}

func (s *spy) note(a []policy.Action) []policy.Action {
	for _, x := range a {
		s.why[string(x.Kind)+": "+x.Why]++
	}
	return a
}
func (s *spy) Review(now time.Duration) []policy.Action { return s.note(s.Decider.Review(now)) }
func (s *spy) Relieve(now time.Duration, id spec.WorkerID, n spec.Resources) []policy.Action {
	return s.note(s.Decider.Relieve(now, id, n))
}

func TestDebug(t *testing.T) {
	for _, p := range load(t, "*[as].toml") {
		s := &spy{why: map[string]int{}}
		var tr *trace
		r := Run(p, 1, func(x *trace, seed uint64) policy.Decider { tr = x; s.Decider = Framework(x, seed); return s })
		fmt.Println(p.Name, r.P99MS, r.Throughput, r.Missed)
		for k, n := range s.why {
			fmt.Println("  ", n, k)
		}
		by := map[string]int{}
		arr := map[string]int{}
		late := map[string]float64{}
		for i := range tr.tasks {
			x := &tr.tasks[i]
			if x.task.Deadline != 0 && x.task.Deadline < time.Duration(p.Seconds)*time.Second && !x.bad && !r.excluded[x.task.ID] {
				arr[x.kind.Name]++
				if !r.met[x.task.ID] {
					by[x.kind.Name]++
					late[x.kind.Name] += x.run / x.kind.Run
					if by[x.kind.Name] < 4 {
						fmt.Println("   miss", x.task.ID, "arrive", x.arrive, "run", math.Round(x.run), "decl", x.task.RunTime, "deadline", x.task.Deadline.Seconds(), "ended", r.ended[x.task.ID])
					}
				}
			}
		}
		fmt.Println("  missed", by, "of", arr, late)
	}
}
