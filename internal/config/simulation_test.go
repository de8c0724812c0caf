package config

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"redwingvale/internal/invariant"
	"redwingvale/internal/spec"

	recordv1 "redwingvale/internal/gen/redwingvale/record/v1"
)

const (
	runRetention = 2 * time.Hour
	runReaders   = 7
	runOperators = 5
	maxOutage    = runRetention / 4
	// runPartBytes spreads a snapshot over several records.
	runPartBytes = 1500
)

// process is one reader of the log: an instance or an operator's command.
type process struct {
	core        *Core
	pausedUntil time.Duration
	// apply is the pending change of an operator, or nil.
	apply  *recordv1.Apply
	sentAt time.Duration
}

// simulation holds the log, the instances and the operators of one run.
type simulation struct {
	rng       *rand.Rand
	now       time.Duration
	log       *fakeLog
	model     *referenceModel
	mutations mutations
	instances []*process
	operators []*process
	lastID    int
	// reportedAccepted maps an apply id to whether the change was reported to
	// its operator as accepted.
	reportedAccepted map[string]bool
	stats            map[string]int
}

func newSimulation(seed uint64, disabled mutations) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{rng: rng, log: &fakeLog{rng: rng}, model: newReferenceModel(), mutations: disabled, reportedAccepted: map[string]bool{}, stats: map[string]int{}}
	for range runReaders {
		sim.instances = append(sim.instances, sim.newProcess())
	}
	for range runOperators {
		sim.operators = append(sim.operators, sim.newProcess())
	}
	return sim
}

func (sim *simulation) newProcess() *process {
	options := DefaultOptions(runRetention)
	options.PartBytes = runPartBytes
	p := &process{core: NewCore(options)}
	p.core.state.mutations = sim.mutations
	return p
}

// run performs a number of steps and returns the first violation.
func (sim *simulation) run(steps int) (err error) {
	defer func() {
		if v, violated := recover().(*invariant.Violation); violated {
			err = v
		}
	}()
	for range steps {
		if err := sim.step(); err != nil {
			return errors.Wrapf(err, "at %s", sim.now)
		}
	}
	return sim.checkAtRest()
}

func (sim *simulation) step() error {
	sim.now += time.Duration(sim.rng.IntN(10_000)) * time.Millisecond
	sim.log.advance(sim.now)
	if sim.rng.IntN(1500) == 0 {
		sim.log.downUntil = sim.now + time.Duration(sim.rng.Int64N(int64(maxOutage)))
		sim.stats["outages"]++
	}
	i := sim.rng.IntN(runReaders)
	if sim.rng.IntN(400) == 0 {
		sim.instances[i] = sim.newProcess()
		sim.stats["restarts"]++
	}
	if sim.rng.IntN(1000) == 0 {
		sim.instances[i].pausedUntil = sim.now + time.Duration(sim.rng.Int64N(int64(2*runRetention)))
		sim.stats["pauses"]++
	}
	if err := sim.stepInstance(i); err != nil {
		return err
	}
	return sim.stepOperator(sim.rng.IntN(runOperators))
}

// stepInstance performs one read of an instance, and writes a snapshot when one
// is due.
func (sim *simulation) stepInstance(i int) error {
	p := sim.instances[i]
	if sim.now < p.pausedUntil {
		return nil
	}
	effects := p.core.Step(sim.now, MembersEvent{Rank: i})
	more, err := sim.read(p)
	for _, effect := range append(effects, more...) {
		publish, ok := effect.(Publish)
		if !ok {
			continue
		}
		sim.stats["snapshots"]++
		for _, record := range publish.Records {
			sim.log.append(sim.now, envelope(fmt.Sprintf("i%d", i), record))
		}
	}
	return err
}

// read performs one read of a process and compares its state with that of the
// reference model.
func (sim *simulation) read(p *process) ([]Effect, error) {
	if sim.now < sim.log.downUntil {
		return p.core.Step(sim.now, TickEvent{}), nil
	}
	result := sim.log.read(p.core.Next(), 1+sim.rng.IntN(200))
	effects := p.core.Step(sim.now, ReadEvent{Result: result, Sent: sim.now})
	sim.model.replay(sim.log)
	for _, effect := range effects {
		switch e := effect.(type) {
		case Incomplete:
			sim.stats["gaps"]++
		case Diverged:
			return nil, errors.Newf("diverged on %s at offset %d", e.Key, e.Offset)
		}
	}
	return effects, sim.compare(p.core)
}

func (sim *simulation) compare(core *Core) error {
	if !core.Complete() || core.InForceOffset() < 0 {
		return nil
	}
	want := sim.model.states[core.InForceOffset()]
	for key, text := range want {
		service, _ := core.State().Get(key)
		if got := fmt.Sprintf("%d %s", service.Revision, service.ApplyID); got != text {
			return errors.Newf("%s at offset %d is %q, the reference model has %q", key, core.InForceOffset(), got, text)
		}
	}
	if core.State().Len() != len(want) {
		return errors.Newf("%d services at offset %d, the reference model has %d", core.State().Len(), core.InForceOffset(), len(want))
	}
	return nil
}

func envelope(writer string, record *recordv1.ConfigRecord) []byte {
	data, _ := proto.Marshal(&recordv1.Envelope{Instance: writer, Incarnation: 1, Body: &recordv1.Envelope_Config{Config: record}})
	return data
}

// stepOperator performs one step of an operator's command.
func (sim *simulation) stepOperator(i int) error {
	p := sim.operators[i]
	if sim.now < p.pausedUntil {
		return nil
	}
	effects, err := sim.read(p)
	if err != nil {
		return err
	}
	if p.apply == nil {
		sim.startChange(p)
		if sim.rng.IntN(10) == 0 {
			sim.restartOperator(i)
		}
		return nil
	}
	for _, effect := range effects {
		if decided, ok := effect.(ApplyDecided); ok && decided.Outcome.ApplyID == p.apply.GetApplyId() {
			return sim.recordOutcome(i, decided.Outcome)
		}
	}
	if outcome, known := p.core.State().Outcome(KeyOf(p.apply), p.apply.GetApplyId(), p.apply.GetBaseRevision()); known && p.core.Complete() {
		return sim.recordOutcome(i, outcome)
	}
	if sim.now-p.sentAt > time.Minute {
		sim.send(p)
	}
	if sim.rng.IntN(50) == 0 {
		sim.restartOperator(i)
	}
	return nil
}

// restartOperator ends a command before its outcome is known. Half of the
// operators run it again later with the same apply id.
func (sim *simulation) restartOperator(i int) {
	old := sim.operators[i]
	sim.operators[i] = sim.newProcess()
	if sim.rng.IntN(2) == 0 {
		sim.stats["resumed"]++
		sim.operators[i].apply = old.apply
		sim.operators[i].pausedUntil = sim.now + time.Duration(sim.rng.Int64N(int64(runRetention)))
	}
}

// startChange sends a change based on the revision that the operator has read,
// sometimes with a wrong base or an invalid document.
func (sim *simulation) startChange(p *process) {
	if !p.core.Complete() || p.core.Next() < int64(len(sim.log.records)) {
		return
	}
	key := Key{spec.TeamID("t" + teamSuffix(sim.rng.IntN(3))), "s"}
	base := p.core.State().Revision(key)
	switch sim.rng.IntN(12) {
	case 0:
		base++
	case 1:
		base = max(base, 1) - 1
	}
	account := ""
	if sim.rng.IntN(2) == 0 {
		account = fmt.Sprintf("code%d", sim.rng.IntN(3))
	}
	sim.lastID++
	p.apply = &recordv1.Apply{
		ApplyId: fmt.Sprintf("id%d", sim.lastID), Team: string(key.Team), Service: string(key.Service), BaseRevision: base,
		Document: testDocument(key, account, 1+sim.rng.IntN(1000), sim.rng.IntN(10) > 0), Author: "ops",
	}
	sim.send(p)
	if sim.rng.IntN(4) == 0 {
		sim.send(p)
	}
}

func (sim *simulation) send(p *process) {
	p.sentAt = sim.now
	sim.stats["appends"]++
	sim.log.append(sim.now, envelope("ctl", &recordv1.ConfigRecord{Kind: &recordv1.ConfigRecord_Apply{Apply: p.apply}}))
}

// recordOutcome ends an operator's command and stores its outcome for
// checkAtRest.
func (sim *simulation) recordOutcome(i int, outcome Outcome) error {
	sim.stats[string(outcome.Kind)]++
	if outcome.Kind != BaseTooOld {
		sim.reportedAccepted[outcome.ApplyID] = outcome.Kind == AcceptedNow || outcome.Kind == AlreadyAccepted
	}
	if sim.rng.IntN(2) == 0 {
		sim.operators[i] = sim.newProcess()
	} else {
		sim.operators[i].apply = nil
		sim.operators[i].pausedUntil = sim.now + time.Duration(sim.rng.Int64N(int64(20*time.Minute)))
	}
	return nil
}

// checkAtRest delivers all delayed writes, lets all instances read to the tail
// and checks their completeness and the reported outcomes.
func (sim *simulation) checkAtRest() error {
	sim.now = max(sim.now, sim.log.downUntil)
	for len(sim.log.delayed) > 0 {
		sim.log.add(sim.now, sim.log.delayed[0])
		sim.log.delayed = sim.log.delayed[1:]
	}
	sim.instances = append(sim.instances, sim.newProcess())
	for _, p := range sim.instances {
		for p.core.Next() < int64(len(sim.log.records)) {
			if _, err := sim.read(p); err != nil {
				return err
			}
		}
		if !p.core.Complete() {
			return errors.New("a reader at the tail has not closed its gap")
		}
	}
	for id, accepted := range sim.reportedAccepted {
		if accepted != (sim.model.accepted[id] > 0) {
			return errors.Newf("the operator of %s got accepted=%v, the reference model has revision %d", id, accepted, sim.model.accepted[id])
		}
	}
	return nil
}

func teamSuffix(i int) string { return string(rune('a' + i)) }
