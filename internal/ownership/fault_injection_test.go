package ownership

import (
	"slices"
	"time"

	"redwingvale/internal/platform"
	"redwingvale/internal/spec"
)

// injectFaults starts one random fault after the other until faults are off.
// Faults overlap, and the same fault can occur twice at a time.
func (sim *simulation) injectFaults() {
	if sim.faultsOff {
		return
	}
	length := sim.between(100*time.Millisecond, 6*time.Second)
	if sim.chance(0.1) {
		length *= 4
	}
	sim.injectFault(length)
	sim.after(sim.between(50*time.Millisecond, 2500*time.Millisecond), sim.injectFaults)
}

func (sim *simulation) injectFault(length time.Duration) {
	n := sim.randomNode()
	if n == nil {
		return
	}
	switch sim.rng.IntN(13) {
	case 0:
		sim.logDown = true
		sim.after(length, func() { sim.logDown = false })
	case 1, 2:
		sim.cutLog[n.id] = true
		sim.after(length, func() { delete(sim.cutLog, n.id) })
	case 3:
		sim.logDelay = sim.between(10*time.Millisecond, 3*time.Second)
		sim.after(length, func() { sim.logDelay = 0 })
	case 4:
		sim.appendResponseLoss = sim.rng.Float64() / 2
		sim.after(length, func() { sim.appendResponseLoss = 0 })
	case 5:
		sim.messageLoss = sim.rng.Float64() / 2
		sim.after(length, func() { sim.messageLoss = 0 })
	case 6:
		sim.maxDelay = sim.between(10*time.Millisecond, 2*time.Second)
		sim.after(length, func() { sim.maxDelay = 0 })
	case 7, 8:
		sim.isolate(n, length)
	case 9:
		n.pausedUntil = sim.now + length
	case 10, 11:
		sim.restart(n)
	case 12:
		sim.replace(n)
	}
}

// randomNode returns a random running instance, or nil if there is none.
func (sim *simulation) randomNode() *node {
	var ids []spec.InstanceID
	for id := range sim.runningNodes {
		ids = append(ids, id)
	}
	if len(ids) == 0 {
		return nil
	}
	slices.Sort(ids)
	return sim.runningNodes[ids[sim.rng.IntN(len(ids))]]
}

// isolate cuts links of the instance, each direction at random.
func (sim *simulation) isolate(n *node, length time.Duration) {
	for i := 1; i <= sim.lastIndex; i++ {
		for _, link := range [][2]spec.InstanceID{{n.id, instanceID(i)}, {instanceID(i), n.id}} {
			if sim.chance(0.7) {
				sim.cutLink[link] = true
				sim.after(length, func() { delete(sim.cutLink, link) })
			}
		}
	}
}

// restart crashes a process and starts it again as a new incarnation.
func (sim *simulation) restart(n *node) {
	n.crash()
	sim.after(sim.between(10*time.Millisecond, 4*time.Second), func() {
		sim.startNode(n.id, n.incarnation+1, int(n.incarnation))
	})
}

// replace permanently stops an instance, by a crash or a planned leave, and starts
// another one.
func (sim *simulation) replace(n *node) {
	if sim.chance(0.5) {
		n.crash()
	} else {
		sim.leave(n)
	}
	sim.after(sim.between(10*time.Millisecond, 5*time.Second), func() { sim.startNewNode() })
}

func (sim *simulation) leave(n *node) {
	n.leaving = true
	sim.recordListState(n.id, platform.InstanceLeaving)
	n.whenRunning(func() { n.step(LeaveRequested{}) })
	sim.after(20*time.Second, func() {
		if n.running {
			n.crash()
		}
	})
}

// beginRound starts a round of faults around one random instance and returns it.
// It first starts instances until there are at least least.
func (sim *simulation) beginRound(least int) *node {
	if sim.faultsOff {
		return nil
	}
	for len(sim.runningNodes) < least {
		sim.startNewNode()
	}
	n := sim.randomNode()
	switch sim.rng.IntN(5) {
	case 0, 1:
		sim.cutLog[n.id] = true
	case 2, 3:
		sim.cutGroups[n.id] = true
	}
	return n
}

// endRound ends the faults of the round after length and then starts the next
// round.
func (sim *simulation) endRound(length time.Duration, next func()) {
	sim.after(length, func() {
		clear(sim.cutLink)
		clear(sim.cutLog)
		clear(sim.cutGroups)
		sim.after(sim.between(4*time.Second, 8*time.Second), next)
	})
}

// growVoters adds voters while one instance cannot read the log, and then
// partitions that instance and a minority, which may know only the older voters,
// from the majority.
func (sim *simulation) growVoters() {
	n := sim.beginRound(5)
	if n == nil {
		return
	}
	for range 2 {
		sim.after(sim.between(0, 800*time.Millisecond), func() { sim.startNewNode() })
	}
	if sim.chance(0.5) {
		sim.after(sim.between(0, 500*time.Millisecond), func() { sim.partition(n, true) })
	} else {
		sim.after(sim.between(0, 4*time.Second), func() { sim.partition(n, false) })
	}
	sim.after(sim.between(6*time.Second, 9*time.Second), func() { sim.shrink(5) })
	sim.endRound(sim.between(8*time.Second, 12*time.Second), sim.growVoters)
}

// partition cuts the links from the rest to the instance and two others, and
// sometimes also the links back. When cutLogs is set, the two others cannot
// read the log either.
func (sim *simulation) partition(n *node, cutLogs bool) {
	if sim.faultsOff || len(sim.runningNodes) < 5 {
		return
	}
	back := sim.chance(0.5)
	minority := map[spec.InstanceID]bool{n.id: true}
	for len(minority) < 3 {
		minority[sim.randomNode().id] = true
	}
	for i := 1; i <= sim.lastIndex; i++ {
		id := instanceID(i)
		if !minority[id] {
			continue
		}
		sim.cutLog[id] = sim.cutLog[id] || cutLogs
		for j := 1; j <= sim.lastIndex; j++ {
			if other := instanceID(j); !minority[other] {
				sim.cutLink[[2]spec.InstanceID{id, other}] = back
				sim.cutLink[[2]spec.InstanceID{other, id}] = true
			}
		}
	}
}

// shrink crashes instances until at most most are left.
func (sim *simulation) shrink(most int) {
	for !sim.faultsOff && len(sim.runningNodes) > most {
		sim.randomNode().crash()
	}
}

// restartVoter lets a voter acknowledge a claim and restart, and then receive
// heartbeats only from the replaced owner, which cannot read its group's stream.
func (sim *simulation) restartVoter() {
	n := sim.beginRound(5)
	if n == nil {
		return
	}
	var others []spec.InstanceID
	for i := 1; i <= sim.lastIndex; i++ {
		if id := instanceID(i); sim.runningNodes[id] != nil && id != n.id {
			others = append(others, id)
		}
	}
	sim.rng.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	connected, voter := others[0], others[1]
	for _, far := range others[1:] {
		sim.cutLink[[2]spec.InstanceID{n.id, far}] = true
		sim.cutLink[[2]spec.InstanceID{far, n.id}] = true
		sim.cutLink[[2]spec.InstanceID{far, connected}] = true
	}
	delete(sim.cutLink, [2]spec.InstanceID{voter, connected})
	sim.after(sim.between(2*time.Second, 5*time.Second), func() { sim.reconnectVoter(n, voter, others[2:]) })
	sim.endRound(sim.between(9*time.Second, 12*time.Second), sim.restartVoter)
}

// reconnectVoter restarts the voter, connects it to the replaced owner and cuts
// the links from the other instances to it.
func (sim *simulation) reconnectVoter(n *node, voter spec.InstanceID, far []spec.InstanceID) {
	if sim.faultsOff || sim.runningNodes[voter] == nil {
		return
	}
	delete(sim.cutLink, [2]spec.InstanceID{n.id, voter})
	delete(sim.cutLink, [2]spec.InstanceID{voter, n.id})
	for _, id := range far {
		sim.cutLink[[2]spec.InstanceID{id, voter}] = true
	}
	sim.restart(sim.runningNodes[voter])
}

// cutOneWay cuts links in one direction, so that voters learn of a claim at
// different times, and restarts voters in the meantime.
func (sim *simulation) cutOneWay() {
	n := sim.beginRound(5)
	if n == nil {
		return
	}
	near := make(map[spec.InstanceID]bool)
	for i := 1; i <= sim.lastIndex; i++ {
		near[instanceID(i)] = sim.chance(0.5)
	}
	near[n.id] = true
	length := sim.between(8*time.Second, 22*time.Second)
	end := sim.now + length
	sim.redrawCuts(n, near, end)
	for range 2 + sim.rng.IntN(5) {
		sim.after(sim.between(2*time.Second, length), func() { sim.failRandomNode(n, near) })
	}
	sim.endRound(length, sim.cutOneWay)
}

// redrawCuts periodically selects at random which far instances can send to which
// near ones. Instance n is disconnected from all far ones.
func (sim *simulation) redrawCuts(n *node, near map[spec.InstanceID]bool, end time.Duration) {
	if sim.now >= end {
		return
	}
	for i := 1; i <= sim.lastIndex; i++ {
		for j := 1; j <= sim.lastIndex; j++ {
			far, to := instanceID(i), instanceID(j)
			if near[far] || !near[to] {
				continue
			}
			sim.cutLink[[2]spec.InstanceID{far, to}] = to == n.id || sim.chance(0.75)
			if to == n.id {
				sim.cutLink[[2]spec.InstanceID{to, far}] = true
			}
		}
	}
	sim.after(sim.between(time.Second, 4*time.Second), func() { sim.redrawCuts(n, near, end) })
}

// failRandomNode restarts a near instance, crashes a far one or cuts its access to
// the log.
func (sim *simulation) failRandomNode(n *node, near map[spec.InstanceID]bool) {
	other := sim.randomNode()
	if sim.faultsOff || other == nil || other == n {
		return
	}
	switch {
	case near[other.id]:
		sim.restart(other)
	case sim.chance(0.5):
		sim.cutLog[other.id] = true
	case len(sim.runningNodes) > 3:
		other.crash()
	}
}
