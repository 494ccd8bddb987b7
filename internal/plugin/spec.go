package plugin

import "mothridge/internal/hook"

// Spec is a plug-in's manifest, from the operators' file.
type Spec struct {
	Name            string
	File            string      // path of the program
	Hooks           []string    // kinds of events for which the plug-in runs; empty means all hooks of the program
	Headers         []string    // patterns, as in path.Match, of the headers that the plug-in may set and remove
	Tenants         []string    // tenants to which the plug-in may assign requests
	MayReject       bool        // whether the plug-in may reject requests
	Limits          hook.Limits // bounds of a run; a field of 0 means its default
	RejectOnFailure bool        // whether a request is rejected if the plug-in fails; otherwise it is passed on
	RejectClasses   []string    // classes whose requests are rejected if the plug-in fails, even without RejectOnFailure
}

// withDefaults returns the manifest with each unset limit replaced by its default.
func (s Spec) withDefaults() Spec {
	s.Limits = limitsOrDefaults(s.Limits)
	return s
}

// limitsOrDefaults returns limits with Fuel and Memory replaced by their defaults if they are not above 0.
func limitsOrDefaults(limits hook.Limits) hook.Limits {
	if limits.Fuel <= 0 {
		limits.Fuel = hook.DefaultFuel
	}
	if limits.Memory <= 0 {
		limits.Memory = hook.DefaultMemory
	}
	return limits
}
