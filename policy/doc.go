// Package policy decides, for one client-side load balancer (a sidecar), which requests
// are admitted, to which endpoint each attempt goes, whether it is retried, and when a
// request is rejected or failed.
//
// A Balancer is a deterministic state machine: it starts no goroutine, reads no clock and
// does no I/O. The program that embeds the Balancer calls one method for each event and passes
// the current time. The Balancer acts by calling the methods of the Host that New received. The
// methods of a Balancer must not be called concurrently. Times are durations since a moment that
// the program chooses, and must not decrease from call to call.
//
// Each file covers one concern. The files of the interface are:
//
//	config.go             configuration
//	events.go             data of the events: requests, results of attempts, endpoints, load reports
//	host.go               the interface through which the Balancer acts
//	reason.go             why a request was rejected or failed
//	stats.go              counters and free capacity, for logs and metrics
//
// The files with the decisions, which deploy/balancer.toml lists, are:
//
//	balancer.go           the Balancer and its event methods, which call the decisions
//	admission.go          which requests are admitted on arrival, and their deadlines
//	load_shedding.go      which requests are rejected while too few succeed
//	bulkhead.go           slots and queue of each tenant
//	selection.go          choice of an endpoint by smooth weighted round robin
//	concurrency_limit.go  how many attempts of this balancer an endpoint may have in flight
//	load_report.go        limit on the load that an endpoint reports
//	probing.go            probes before dispatch while traffic is low
//	slow_start.go         minimum interval between attempts at an endpoint that has just started
//	outlier_detection.go  ejection of failing endpoints, and their trial requests
//	guard.go              the rules that every attempt must satisfy
//	retry.go              whether a request is retried, and the response if it is not
//	process_identity.go   whether the process at an endpoint's address is known to be the endpoint's
//	request.go            the state of a request and its attempts
//	endpoint_list.go      watch requests, updates of the endpoint list, state of an endpoint
//	weights.go            sums of the endpoints' weights
//	start_time.go         when an endpoint last started
package policy
