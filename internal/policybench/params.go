// Package policybench compares Deciders in small, seeded and deterministic
// simulations of worker behaviour: pairwise slowdown that changes with load,
// reports with lag and noise, wrong declarations, waves of noisy tasks, lost and
// unhealthy workers, and cancellations. Parameters are in testdata/*.toml.
package policybench

import (
	"bytes"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/pelletier/go-toml/v2"
)

// Params describes one simulated site and its events. Times are in seconds,
// memory in MiB, processors in thousandths of a core, loads are shares from 0
// to 1.
type Params struct {
	Name string `toml:"name"`
	// HeldOut marks a parameter set that was not used for tuning.
	HeldOut bool    `toml:"held_out"`
	Seconds int     `toml:"seconds"`
	Sites   Sites   `toml:"sites"`
	Service Service `toml:"service"`
	Reports Reports `toml:"reports"`
	Batch   Batch   `toml:"batch"`
	Faults  Faults  `toml:"faults"`
	Kinds   []Kind  `toml:"kinds"`
}

// Sites describes the workers.
type Sites struct {
	Workers      int   `toml:"workers"`
	DataCentres  int   `toml:"data_centres"`
	RackSize     int   `toml:"rack_size"`
	MilliCPU     int64 `toml:"milli_cpu"`
	MemoryMiB    int64 `toml:"memory_mib"`
	Slots        int64 `toml:"slots"`
	Connections  int64 `toml:"connections"`
	Accelerators int64 `toml:"accelerators"`
	// AcceleratorEvery gives every n-th worker accelerators; 0 gives none.
	AcceleratorEvery int `toml:"accelerator_every"`
}

// Service describes the latency-critical service on every worker.
type Service struct {
	TailWeight     float64 `toml:"tail_weight"`
	EvictionWeight float64 `toml:"eviction_weight"`
	// BaseP99MS is the p99 in milliseconds without load and without batch.
	BaseP99MS float64 `toml:"base_p99_ms"`
	TargetMS  float64 `toml:"target_p99_ms"`
	// The load of a worker is mean + amplitude * sin, with a phase for each
	// data centre, plus a fixed offset and slow noise for each worker.
	LoadMean      float64 `toml:"load_mean"`
	LoadAmplitude float64 `toml:"load_amplitude"`
	LoadPeriod    float64 `toml:"load_period_s"`
	LoadSpread    float64 `toml:"load_spread"`
	LoadNoise     float64 `toml:"load_noise"`
	// MaxSlots is the number of slots that urgent requests use at load 1.
	MaxSlots float64 `toml:"max_slots"`
	// RequestsPerSecond is the request rate of one worker at load 1.
	RequestsPerSecond float64 `toml:"requests_per_s"`
}

// Reports describes the workers' reports of measurements.
type Reports struct {
	Every int `toml:"every_s"`
	// A report arrives LagMin to LagMax after its measurement.
	LagMin int `toml:"lag_min_s"`
	LagMax int `toml:"lag_max_s"`
	// Noise is the standard deviation of the logarithm of each measurement.
	Noise float64 `toml:"noise"`
}

// Batch describes the arrival of batch work.
type Batch struct {
	// Load is the offered work as a share of the slots that urgent requests
	// leave on average.
	Load float64 `toml:"load"`
	// A deadline is submit + run time * slack + DeadlineGrace.
	SlackMin      float64 `toml:"slack_min"`
	SlackMax      float64 `toml:"slack_max"`
	DeadlineGrace float64 `toml:"deadline_grace_s"`
	TasksPerJob   int     `toml:"tasks_per_job"`
	Teams         int     `toml:"teams"`
	LongRunning   int     `toml:"long_running"`
	// A wave multiplies the arrivals of WaveKind for WaveLength.
	WaveEvery  int     `toml:"wave_every_s"`
	WaveLength int     `toml:"wave_length_s"`
	WaveFactor float64 `toml:"wave_factor"`
	WaveKind   string  `toml:"wave_kind"`
}

// Faults describes the simulated faults.
type Faults struct {
	WorkerLossesPerHour float64 `toml:"worker_losses_per_hour"`
	LossLength          int     `toml:"loss_length_s"`
	// UnhealthyWorkers is the number of workers on which every task fails for
	// UnhealthyLength from a random time.
	UnhealthyWorkers int `toml:"sick_workers"`
	UnhealthyLength  int `toml:"sick_length_s"`
	// BadJobShare is the share of jobs that fail on every worker.
	BadJobShare float64 `toml:"bad_job_share"`
	// A cancellation wave cancels CancelShare of the jobs in the system.
	CancelEvery int     `toml:"cancel_every_s"`
	CancelShare float64 `toml:"cancel_share"`
}

// Kind describes a kind of jobs with the same behaviour.
type Kind struct {
	Name         string  `toml:"name"`
	Share        float64 `toml:"share"`
	MilliCPU     int64   `toml:"milli_cpu"`
	MemoryMiB    int64   `toml:"memory_mib"`
	Accelerators int64   `toml:"accelerators"`
	Run          float64 `toml:"run_s"`
	// RunSpread and SizeSpread are standard deviations of logarithms.
	RunSpread  float64 `toml:"run_spread"`
	SizeSpread float64 `toml:"size_spread"`
	// DeclaredRun and DeclaredSize are the ratios of the declared to the typical
	// actual value.
	DeclaredRun  float64 `toml:"declared_run"`
	DeclaredSize float64 `toml:"declared_size"`
	// A task multiplies the service's latency by
	// 1 + Slowdown * ((load - Knee) / (1 - Knee)) for loads above Knee.
	Slowdown float64 `toml:"slowdown"`
	Knee     float64 `toml:"knee"`
	// Suffers is how much a service at load 1 slows down a task of this kind.
	Suffers float64 `toml:"suffers"`
}

// LoadParams reads a parameter file and rejects unknown keys.
func LoadParams(path string) (Params, error) {
	var p Params
	text, err := os.ReadFile(path)
	if err != nil {
		return p, errors.Wrap(err, "read the parameters")
	}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		return p, errors.Wrapf(err, "parse %s", path)
	}
	return p, nil
}
