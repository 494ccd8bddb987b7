package plugin

import "mothridge/internal/hook"

// Spec is a plug-in's manifest, from the operators' file.
type Spec struct {
	Name            string
	File            string   // of the program
	Hooks           []string // that are run; empty: all that the program has
	Headers         []string // patterns, as in path.Match, of the headers that it may set and remove
	Tenants         []string // to which it may assign requests
	MayReject       bool
	Limits          hook.Limits // of a run; zero fields: the defaults
	RejectOnFailure bool        // whether a request is refused if the plug-in fails; else it goes on
	RejectClasses   []string    // classes whose requests are refused then in any case
}

// withDefaults returns the manifest with the default of each limit that is not set.
func (s Spec) withDefaults() Spec {
	s.Limits = limitsOrDefaults(s.Limits)
	return s
}

func limitsOrDefaults(limits hook.Limits) hook.Limits {
	if limits.Fuel <= 0 {
		limits.Fuel = hook.DefaultFuel
	}
	if limits.Memory <= 0 {
		limits.Memory = hook.DefaultMemory
	}
	return limits
}
