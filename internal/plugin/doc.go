// Package plugin runs the operators' plug-ins, programs of the language in internal/hook, between
// the listener front ends and the core. A request's hooks run before the core gets it, an outcome's
// after the final response, a member's for each instance of the endpoint list. The effects of a run
// are a transaction: they are checked against the plug-in's manifest and carried out together or
// not at all. Plug-ins choose no endpoint and no retry, and none runs on the core's goroutine.
//
//	spec.go         Spec, a plug-in's manifest
//	plugin.go       Plugin: loading, counters
//	run.go          one run: circuit breaker, panics, log
//	permissions.go  what a manifest allows
//	gate.go         Gate: a handler of requests before the core; loading all plug-ins
//	request.go      request hooks
//	effects.go      the effects of a request's hook, as a transaction
//	outcome.go      outcome hooks and their bounded queue
//	member.go       member hooks
//	state.go        declared state
//	state_view.go   the state as one run sees it, with its changes
//	event_json.go   an event as a file
//	trial.go        running a program by itself
//	cases.go        the cases beside a program
package plugin
