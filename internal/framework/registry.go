package framework

import (
	"sort"

	"github.com/cockroachdb/errors"
)

// Constructor returns a new instance of a plug-in for one kernel.
type Constructor func(cfg Config) Plugin

var registry = map[string]Constructor{}

// Register adds a plug-in to the registry. It is called from init functions
// only and panics when the name is taken.
func Register(name string, build Constructor) {
	if _, taken := registry[name]; taken {
		panic(errors.AssertionFailedf("plug-in %q is registered twice", name))
	}
	registry[name] = build
}

// Names returns the names of all registered plug-ins in ascending order.
func Names() []string {
	out := make([]string, 0, len(registry))
	for name := range registry {
		out = append(out, name)
	}
	sort.Strings(out)
	return out
}

// newPlugins returns new instances of the named plug-ins in ascending order of
// their names. Nil names means all registered plug-ins.
func newPlugins(cfg Config, names []string) ([]Plugin, error) {
	if names == nil {
		names = Names()
	}
	sorted := append([]string(nil), names...)
	sort.Strings(sorted)
	out := make([]Plugin, 0, len(sorted))
	for _, name := range sorted {
		construct, known := registry[name]
		if !known {
			return nil, errors.Newf("no plug-in is registered as %q", name)
		}
		out = append(out, construct(cfg))
	}
	return out, nil
}
