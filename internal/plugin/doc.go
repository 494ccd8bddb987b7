// Package plugin runs the operators' plug-ins, programs of the language in internal/hook, between
// the listener front ends and the core. Request hooks run before a request is passed to the core,
// outcome hooks after the final response, and member hooks for each instance of the endpoint list.
// The effects of a run are a transaction: they are checked against the plug-in's manifest and applied
// together or not at all. Plug-ins cannot choose endpoints or retries, and never run on the core's
// goroutine.
//
//	spec.go         Spec, a plug-in's manifest
//	plugin.go       Plugin: loading, counters
//	run.go          one run: circuit breaker, panics, logging
//	permissions.go  checks of effects against a manifest
//	gate.go         Gate: the handler of requests before the core; loading of all plug-ins
//	request.go      request hooks
//	effects.go      the effects of a request hook, as a transaction
//	outcome.go      outcome hooks and their bounded queue
//	member.go       member hooks
//	state.go        declared state, shared by all runs
//	state_view.go   the state and the pending changes of one run
//	event_json.go   JSON encoding of an event
//	trial.go        runs of a program without a Gate
//	cases.go        test cases of a program
package plugin
