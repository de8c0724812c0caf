package policy

import "redwingvale/internal/spec"

// MaxDataCentres is the largest number of data centres that a service's
// document can list.
const MaxDataCentres = 16

// DataCentres lists data centres in order of preference, followed by empty
// entries. It is an array so that services are comparable.
type DataCentres [MaxDataCentres]spec.DataCentre

// NewDataCentres returns the first MaxDataCentres names.
func NewDataCentres(names []string) DataCentres {
	var out DataCentres
	for i := range min(len(names), MaxDataCentres) {
		out[i] = spec.DataCentre(names[i])
	}
	return out
}

// Allows reports whether a data centre is listed. An empty list allows all,
// and an empty name, which is an unknown location, is always allowed.
func (d *DataCentres) Allows(dc spec.DataCentre) bool {
	return d[0] == "" || dc == "" || d.Rank(dc) < MaxDataCentres
}

// Rank returns the position of a data centre in the order of preference, or
// MaxDataCentres when it is not listed.
func (d *DataCentres) Rank(dc spec.DataCentre) int {
	for i, listed := range d {
		if listed == dc && dc != "" {
			return i
		}
	}
	return MaxDataCentres
}
