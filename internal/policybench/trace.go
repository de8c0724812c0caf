package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"redwingvale/internal/policy"
	"redwingvale/internal/spec"
)

// actualTask is one task with its actual run time and usage. Every policy is
// given the same tasks.
type actualTask struct {
	task policy.Task
	kind *Kind
	// run is the actual run time in seconds without interference.
	run float64
	// memory and cpu are the actual peaks in MiB and millicores.
	memory      float64
	cpu         float64
	alwaysFails bool
	arrive      int
}

// outage is a period in which a worker is lost or unhealthy.
type outage struct {
	worker   int
	from, to int
}

// trace holds everything that does not depend on the policy.
type trace struct {
	params Params
	tasks  []actualTask
	// load is indexed by second and worker.
	load      [][]float64
	losses    []outage
	unhealthy []outage
	cancels   []cancelWave
}

// cancelWave cancels the jobs whose hash falls below a share.
type cancelWave struct {
	at   int
	salt uint64
}

func newTrace(p Params, seed uint64) *trace {
	r := rand.New(rand.NewPCG(seed, 0x7ace))
	t := &trace{params: p}
	t.makeLoad(r)
	t.makeTasks(r)
	t.makeFaults(r)
	return t
}

func (t *trace) makeLoad(r *rand.Rand) {
	s := t.params.Service
	n := t.params.Sites.Workers
	offset := make([]float64, n)
	noise := make([]float64, n)
	for i := range offset {
		offset[i] = s.LoadSpread * (2*r.Float64() - 1)
	}
	for second := range t.params.Seconds {
		row := make([]float64, n)
		for i := range row {
			noise[i] = 0.98*noise[i] + 0.2*s.LoadNoise*r.NormFloat64()
			phase := float64(i%t.params.Sites.DataCentres) / float64(t.params.Sites.DataCentres)
			wave := math.Sin(2 * math.Pi * (float64(second)/s.LoadPeriod + phase))
			row[i] = clamp(s.LoadMean+s.LoadAmplitude*wave+offset[i]+noise[i], 0.02, 1)
		}
		t.load = append(t.load, row)
	}
}

// makeTasks draws arrivals so that the offered slot time is the share Batch.Load
// of what urgent requests leave on average.
func (t *trace) makeTasks(r *rand.Rand) {
	p := t.params
	free := float64(p.Sites.Slots) - p.Service.MaxSlots*p.Service.LoadMean - 0.5
	slots := float64(p.Sites.Workers)*free - float64(p.Batch.LongRunning)
	mean := 0.0
	for _, k := range p.Kinds {
		mean += k.Share * k.Run * math.Exp(k.RunSpread*k.RunSpread/2) * (1 + k.Suffers*p.Service.LoadMean)
	}
	jobsPerSecond := p.Batch.Load * slots / mean / float64(p.Batch.TasksPerJob)
	for i := range p.Batch.LongRunning {
		t.addLongRunning(i)
	}
	next, jobs := 0.0, 0
	for next = r.ExpFloat64() / jobsPerSecond; next < float64(p.Seconds); next += r.ExpFloat64() / jobsPerSecond {
		t.addJob(r, jobs, int(next), p.kindAt(r.Float64(), int(next)))
		jobs++
	}
	sort.SliceStable(t.tasks, func(i, j int) bool { return t.tasks[i].arrive < t.tasks[j].arrive })
}

// kindAt draws a kind. During a wave the wave's kind is more likely; the total
// rate stays the same.
func (p Params) kindAt(draw float64, second int) *Kind {
	wave := p.Batch.WaveEvery > 0 && second%p.Batch.WaveEvery < p.Batch.WaveLength
	weight := func(k *Kind) float64 {
		if wave && k.Name == p.Batch.WaveKind {
			return k.Share * p.Batch.WaveFactor
		}
		return k.Share
	}
	total := 0.0
	for i := range p.Kinds {
		total += weight(&p.Kinds[i])
	}
	draw *= total
	for i := range p.Kinds {
		draw -= weight(&p.Kinds[i])
		if draw < 0 {
			return &p.Kinds[i]
		}
	}
	return &p.Kinds[len(p.Kinds)-1]
}

func (t *trace) addJob(r *rand.Rand, number, second int, k *Kind) {
	p := t.params
	team := spec.TeamID(fmt.Sprintf("team%02d", number%p.Batch.Teams))
	bad := r.Float64() < p.Faults.BadJobShare
	slack := p.Batch.SlackMin + (p.Batch.SlackMax-p.Batch.SlackMin)*r.Float64()
	for i := range p.Batch.TasksPerJob {
		run := k.Run * math.Exp(k.RunSpread*r.NormFloat64())
		size := math.Exp(k.SizeSpread * r.NormFloat64())
		typical := k.Run * math.Exp(k.RunSpread*k.RunSpread/2)
		deadline := float64(second) + max(run, typical)*slack + p.Batch.DeadlineGrace
		task := policy.Task{
			ID:      spec.TaskID{Job: spec.JobID{Team: team, Name: fmt.Sprintf("%s-%d", k.Name, number)}, Index: uint32(i)},
			Attempt: 1,
			Service: serviceID,
			Class:   spec.Deadline,
			Kind:    k.Name,
			Resources: spec.Resources{
				MilliCPU:     int64(float64(k.MilliCPU) * k.DeclaredSize),
				MemoryMiB:    int64(float64(k.MemoryMiB) * k.DeclaredSize),
				Accelerators: k.Accelerators,
				Slots:        1,
			},
			RunTime:   seconds(typical * k.DeclaredRun),
			Deadline:  seconds(deadline),
			Submitted: seconds(float64(second)),
		}
		t.tasks = append(t.tasks, actualTask{
			task: task, kind: k, run: run, alwaysFails: bad, arrive: second,
			memory: float64(k.MemoryMiB) * size, cpu: float64(k.MilliCPU) * math.Sqrt(size),
		})
	}
}

func (t *trace) addLongRunning(i int) {
	task := policy.Task{
		ID:        spec.TaskID{Job: spec.JobID{Team: "watch", Name: fmt.Sprint("watcher-", i)}},
		Attempt:   1,
		Service:   serviceID,
		Class:     spec.LongRunning,
		Kind:      "watcher",
		Resources: spec.Resources{MilliCPU: 1000, MemoryMiB: 2048, Slots: 1},
	}
	t.tasks = append(t.tasks, actualTask{
		task: task, kind: &Kind{Name: "watcher", Knee: 0.5}, run: math.Inf(1), memory: 1800, cpu: 800,
	})
}

func (t *trace) makeFaults(r *rand.Rand) {
	p := t.params
	perSecond := p.Faults.WorkerLossesPerHour / 3600
	for second := range p.Seconds {
		if r.Float64() < perSecond {
			w := r.IntN(p.Sites.Workers)
			t.losses = append(t.losses, outage{w, second, second + p.Faults.LossLength})
		}
		if p.Faults.CancelEvery > 0 && second%p.Faults.CancelEvery == p.Faults.CancelEvery-1 {
			t.cancels = append(t.cancels, cancelWave{second, r.Uint64()})
		}
	}
	for range p.Faults.UnhealthyWorkers {
		from := r.IntN(max(1, p.Seconds-p.Faults.UnhealthyLength))
		t.unhealthy = append(t.unhealthy, outage{r.IntN(p.Sites.Workers), from, from + p.Faults.UnhealthyLength})
	}
}

// serviceID is the only service of a site.
const serviceID spec.ServiceID = "desk"

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func clamp(v, low, high float64) float64 { return min(max(v, low), high) }
