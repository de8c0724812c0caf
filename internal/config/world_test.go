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

// process is one reader: an instance or an operator's command.
type process struct {
	core   *Core
	paused time.Duration
	// apply is the change of an operator, told what it was told about it.
	apply *recordv1.Apply
	sent  time.Duration
}

// world joins the log, the readers and the operators of one run.
type world struct {
	rng       *rand.Rand
	now       time.Duration
	log       *fakeLog
	truth     *oracle
	faults    faults
	instances []*process
	operators []*process
	ids       int
	// told maps an apply id to whether its operator was told of acceptance.
	told  map[string]bool
	stats map[string]int
}

func newWorld(seed uint64, f faults) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &world{rng: rng, log: &fakeLog{rng: rng}, truth: newOracle(), faults: f, told: map[string]bool{}, stats: map[string]int{}}
	for range runReaders {
		w.instances = append(w.instances, w.process())
	}
	for range runOperators {
		w.operators = append(w.operators, w.process())
	}
	return w
}

func (w *world) process() *process {
	options := DefaultOptions(runRetention)
	options.PartBytes = runPartBytes
	p := &process{core: NewCore(options)}
	p.core.state.faults = w.faults
	return p
}

// run carries out steps and returns the first broken expectation.
func (w *world) run(steps int) (err error) {
	defer func() {
		if v, broken := recover().(*invariant.Violation); broken {
			err = v
		}
	}()
	for range steps {
		if err := w.step(); err != nil {
			return errors.Wrapf(err, "at %s", w.now)
		}
	}
	return w.settle()
}

func (w *world) step() error {
	w.now += time.Duration(w.rng.IntN(10_000)) * time.Millisecond
	w.log.pass(w.now)
	if w.rng.IntN(1500) == 0 {
		w.log.downTil = w.now + time.Duration(w.rng.Int64N(int64(maxOutage)))
		w.stats["outages"]++
	}
	i := w.rng.IntN(runReaders)
	if w.rng.IntN(400) == 0 {
		w.instances[i] = w.process()
		w.stats["restarts"]++
	}
	if w.rng.IntN(1000) == 0 {
		w.instances[i].paused = w.now + time.Duration(w.rng.Int64N(int64(2*runRetention)))
		w.stats["pauses"]++
	}
	if err := w.instance(i); err != nil {
		return err
	}
	return w.operator(w.rng.IntN(runOperators))
}

// instance lets one instance read, and write a snapshot when it is due.
func (w *world) instance(i int) error {
	p := w.instances[i]
	if w.now < p.paused {
		return nil
	}
	effects := p.core.Step(w.now, MembersEvent{Rank: i})
	more, err := w.read(p)
	for _, effect := range append(effects, more...) {
		publish, ok := effect.(Publish)
		if !ok {
			continue
		}
		w.stats["snapshots"]++
		for _, record := range publish.Records {
			w.log.append(w.now, envelope(fmt.Sprintf("i%d", i), record))
		}
	}
	return err
}

// read feeds one read to a process and compares its state with the oracle's.
func (w *world) read(p *process) ([]Effect, error) {
	if w.now < w.log.downTil {
		return p.core.Step(w.now, TickEvent{}), nil
	}
	result := w.log.read(p.core.Next(), 1+w.rng.IntN(200))
	effects := p.core.Step(w.now, ReadEvent{Result: result, Sent: w.now})
	w.truth.follow(w.log)
	for _, effect := range effects {
		switch e := effect.(type) {
		case Incomplete:
			w.stats["gaps"]++
		case Diverged:
			return nil, errors.Newf("diverged on %s at offset %d", e.Key, e.Offset)
		}
	}
	return effects, w.compare(p.core)
}

func (w *world) compare(core *Core) error {
	if !core.Whole() || core.InForceOffset() < 0 {
		return nil
	}
	want := w.truth.states[core.InForceOffset()]
	for key, text := range want {
		service, _ := core.State().Get(key)
		if got := fmt.Sprintf("%d %s", service.Revision, service.ApplyID); got != text {
			return errors.Newf("%s at offset %d is %q, the log says %q", key, core.InForceOffset(), got, text)
		}
	}
	if core.State().Len() != len(want) {
		return errors.Newf("%d services at offset %d, the log says %d", core.State().Len(), core.InForceOffset(), len(want))
	}
	return nil
}

func envelope(writer string, record *recordv1.ConfigRecord) []byte {
	data, _ := proto.Marshal(&recordv1.Envelope{Instance: writer, Incarnation: 1, Body: &recordv1.Envelope_Config{Config: record}})
	return data
}

// operator carries out one step of an operator's command.
func (w *world) operator(i int) error {
	p := w.operators[i]
	if w.now < p.paused {
		return nil
	}
	effects, err := w.read(p)
	if err != nil {
		return err
	}
	if p.apply == nil {
		w.begin(p)
		if w.rng.IntN(10) == 0 {
			w.restartOperator(i)
		}
		return nil
	}
	for _, effect := range effects {
		if judged, ok := effect.(Judged); ok && judged.Verdict.ApplyID == p.apply.GetApplyId() {
			return w.tell(i, judged.Verdict)
		}
	}
	if v, known := p.core.State().Outcome(KeyOf(p.apply), p.apply.GetApplyId(), p.apply.GetBaseRevision()); known && p.core.Whole() {
		return w.tell(i, v)
	}
	if w.now-p.sent > time.Minute {
		w.send(p)
	}
	if w.rng.IntN(50) == 0 {
		w.restartOperator(i)
	}
	return nil
}

// restartOperator ends a command before its verdict. Half of the operators
// start it again later with the same apply id.
func (w *world) restartOperator(i int) {
	old := w.operators[i]
	w.operators[i] = w.process()
	if w.rng.IntN(2) == 0 {
		w.stats["resumed"]++
		w.operators[i].apply = old.apply
		w.operators[i].paused = w.now + time.Duration(w.rng.Int64N(int64(runRetention)))
	}
}

// begin starts a change on the base that the operator has read.
func (w *world) begin(p *process) {
	if !p.core.Whole() || p.core.Next() < int64(len(w.log.records)) {
		return
	}
	key := Key{spec.TeamID("t" + teamSuffix(w.rng.IntN(3))), "s"}
	base := p.core.State().Revision(key)
	switch w.rng.IntN(12) {
	case 0:
		base++
	case 1:
		base = max(base, 1) - 1
	}
	account := ""
	if w.rng.IntN(2) == 0 {
		account = fmt.Sprintf("code%d", w.rng.IntN(3))
	}
	w.ids++
	p.apply = &recordv1.Apply{
		ApplyId: fmt.Sprintf("id%d", w.ids), Team: string(key.Team), Service: string(key.Service), BaseRevision: base,
		Document: testDoc(key, account, 1+w.rng.IntN(1000), w.rng.IntN(10) > 0), Author: "ops",
	}
	w.send(p)
	if w.rng.IntN(4) == 0 {
		w.send(p)
	}
}

func (w *world) send(p *process) {
	p.sent = w.now
	w.stats["appends"]++
	w.log.append(w.now, envelope("ctl", &recordv1.ConfigRecord{Kind: &recordv1.ConfigRecord_Apply{Apply: p.apply}}))
}

// tell ends an operator's command with a verdict and checks it for truth.
func (w *world) tell(i int, v Verdict) error {
	w.stats[string(v.Kind)]++
	if v.Kind != TooOld {
		w.told[v.ApplyID] = v.Kind == AcceptedNow || v.Kind == AcceptedBefore
	}
	if w.rng.IntN(2) == 0 {
		w.operators[i] = w.process()
	} else {
		w.operators[i].apply = nil
		w.operators[i].paused = w.now + time.Duration(w.rng.Int64N(int64(20*time.Minute)))
	}
	return nil
}

// settle ends all faults and checks what must hold at rest.
func (w *world) settle() error {
	w.now = max(w.now, w.log.downTil)
	for len(w.log.late) > 0 {
		w.log.add(w.now, w.log.late[0])
		w.log.late = w.log.late[1:]
	}
	w.instances = append(w.instances, w.process())
	for _, p := range w.instances {
		for p.core.Next() < int64(len(w.log.records)) {
			if _, err := w.read(p); err != nil {
				return err
			}
		}
		if !p.core.Whole() {
			return errors.New("a reader at the tail has not closed its gap")
		}
	}
	for id, accepted := range w.told {
		if accepted != (w.truth.accepted[id] > 0) {
			return errors.Newf("the operator of %s was told accepted=%v, the log says revision %d", id, accepted, w.truth.accepted[id])
		}
	}
	return nil
}

func teamSuffix(i int) string { return string(rune('a' + i)) }
