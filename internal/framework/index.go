package framework

import "redwingvale/internal/spec"

// index is a segment tree over the workers' free resources. Each inner node
// holds the largest free amount of each dimension in its subtree, so that the
// search for a worker with enough free resources skips full subtrees.
type index struct {
	// leaves is a power of two; leaf i is node leaves+i.
	leaves int
	nodes  []spec.Resources
}

// noCapacity is the index entry of a worker on which no task may be placed.
var noCapacity = spec.Resources{MilliCPU: -1, MemoryMiB: -1, Accelerators: -1, Slots: -1, Connections: -1}

// grow extends the tree to at least n workers and keeps the present leaves.
func (x *index) grow(n int) {
	if n <= x.leaves {
		return
	}
	leaves := max(1, x.leaves)
	for leaves < n {
		leaves *= 2
	}
	nodes := make([]spec.Resources, 2*leaves)
	for i := range nodes {
		nodes[i] = noCapacity
	}
	copy(nodes[leaves:], x.nodes[x.leaves:])
	x.leaves, x.nodes = leaves, nodes
	for i := leaves - 1; i >= 1; i-- {
		x.nodes[i] = largest(x.nodes[2*i], x.nodes[2*i+1])
	}
}

// set sets the free resources of worker i.
func (x *index) set(i int, free spec.Resources) {
	node := x.leaves + i
	x.nodes[node] = free
	for node /= 2; node >= 1; node /= 2 {
		next := largest(x.nodes[2*node], x.nodes[2*node+1])
		if next == x.nodes[node] {
			return
		}
		x.nodes[node] = next
	}
}

// next returns the first worker at or after from whose free resources cover
// need, or -1. It does not wrap around.
func (x *index) next(from int, need *spec.Resources) int {
	if from >= x.leaves {
		return -1
	}
	node := x.leaves + from
	for {
		if fits(need, &x.nodes[node]) {
			if node >= x.leaves {
				return node - x.leaves
			}
			node *= 2
			continue
		}
		for node&1 == 1 {
			node /= 2
		}
		if node == 0 {
			return -1
		}
		node++
	}
}

// fits reports whether need is within free in every dimension.
func fits(need, free *spec.Resources) bool {
	return need.MilliCPU <= free.MilliCPU &&
		need.MemoryMiB <= free.MemoryMiB &&
		need.Accelerators <= free.Accelerators &&
		need.Slots <= free.Slots &&
		need.Connections <= free.Connections
}

// largest returns the larger amount of each dimension.
func largest(a, b spec.Resources) spec.Resources {
	return spec.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMiB:    max(a.MemoryMiB, b.MemoryMiB),
		Accelerators: max(a.Accelerators, b.Accelerators),
		Slots:        max(a.Slots, b.Slots),
		Connections:  max(a.Connections, b.Connections),
	}
}
