// Package policy decides, for one client-side load balancer (a sidecar), which requests
// are admitted, to which endpoint each attempt goes, whether it is retried, and when a
// request is rejected or failed.
//
// A Balancer is a deterministic state machine: it starts no goroutine, reads no clock and
// does no I/O. The program that embeds it calls one method for each event and passes the
// time; the Balancer acts through the Host that it was given. The methods must be called
// from one goroutine at a time. Times are durations since any moment that the program
// chooses, and must not decrease from call to call.
//
// Each file holds one concern. The interface:
//
//	config.go             configuration
//	events.go             what the events bring: requests, attempts' results, endpoints
//	host.go               actions out
//	reason.go             why a request was given up
//	stats.go              counters and free capacity, for logs and metrics
//
// The decisions, which deploy/balancer.toml lists:
//
//	balancer.go           events in: each event's way through the decisions
//	admission.go          on arrival: which requests are accepted, and their timings
//	load_shedding.go      which requests are rejected while too few succeed
//	bulkhead.go           slots and queue of each tenant
//	selection.go          smooth weighted round robin of the endpoints
//	concurrency_limit.go  how many attempts an endpoint may hold
//	load_report.go        how full an endpoint may be by what it reports
//	probing.go            probes before dispatch, where traffic is low
//	slow_start.go         spaced sends to an endpoint that has just started
//	outlier_detection.go  ejection of endpoints that fail, and their trial requests
//	guard.go              the rules that every attempt has to pass
//	retry.go              further attempts, or how a request ends without one
//	request.go            what is known of a request and its attempts
//	endpoint_list.go      requests for the endpoint list, and its updates
//	weights.go            sums of the endpoints' weights
//	start_time.go         when an endpoint last started
package policy
