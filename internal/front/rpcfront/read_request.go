package rpcfront

import (
	"net/url"
	"strings"
	"time"

	"golang.org/x/net/http/httpguts"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
	"mothridge/internal/msgrpc"
	"mothridge/policy"
)

// defaultHost is the Host of a request whose client sets no host. An HTTP/1.1 upstream requires a Host.
const defaultHost = "service.internal"

// rejectedFault returns the error for an invalid request, which the client must change. text names the
// key and its rule.
func rejectedFault(text string) *msgrpc.Fault {
	return &msgrpc.Fault{Kind: msgrpc.KindRejected, Text: text}
}

// readRequest converts the params of a call into a request, or returns the error for the client.
func (front *Front) readRequest(params []byte, arrival time.Time) (*core.Request, *msgrpc.Fault) {
	call, err := msgrpc.ParseCall(params)
	if err != nil {
		return nil, rejectedFault(err.Error())
	}
	class, known := front.rules.Class(call.Class)
	if !known {
		return nil, rejectedFault("class: must be the name of a configured class")
	}
	tenant, known := front.rules.Tenant(call.Tenant)
	if !known {
		return nil, rejectedFault("tenant: must be the name of a configured tenant")
	}
	if fault := checkTexts(call); fault != nil {
		return nil, fault
	}
	idempotency := front.rules.Idempotency(class)
	if fault := checkIdempotency(call, idempotency); fault != nil {
		return nil, fault
	}
	return &core.Request{
		ID:           call.ID,
		Class:        class,
		Tenant:       tenant,
		ClientRetry:  call.ClientRetry,
		ExpectedWork: call.ExpectedWork,
		Deadline:     frontend.Deadline(arrival, call.Timeout),
		Message: core.Message{
			Method:         frontend.Method(idempotency),
			Target:         call.Target,
			Host:           hostOrDefault(call),
			Fields:         call.HTTPFields(),
			Body:           call.Body,
			RequiresLength: true,
		},
	}, nil
}

// checkTexts checks the strings that may be written into an HTTP/1.1 head, so that a request that no HTTP/1.1
// reader understands is the client's error and not the upstream's.
func checkTexts(call *msgrpc.Call) *msgrpc.Fault {
	switch {
	case frontend.HasUnprintable(call.ID):
		return rejectedFault("id: must be printable ASCII without blanks")
	case frontend.HasUnprintable(call.Target) || frontend.HasUnprintable(call.Host):
		return rejectedFault("target and host: must be printable ASCII without blanks")
	case !isTarget(call.Target):
		return rejectedFault("target: must be a path with valid escapes, such as /api/a%2Fb?q=1")
	case !httpguts.ValidHostHeader(call.Host):
		return rejectedFault("host: must be a host name, with a port if needed")
	case strings.Trim(call.IdempotencyKey, " \t") != call.IdempotencyKey:
		// An HTTP/1.1 upstream would receive another key, or none, and could run a retry again.
		return rejectedFault("key: must not begin or end with a blank")
	}
	return nil
}

func isTarget(target string) bool {
	_, err := url.ParseRequestURI(target)
	return err == nil
}

// checkIdempotency checks the rules that depend on the idempotency of the request's class: whether a
// key is required or forbidden, and whether a body is allowed.
func checkIdempotency(call *msgrpc.Call, idempotency policy.Idempotency) *msgrpc.Fault {
	needsKey := idempotency == policy.IdempotentByKey
	hasKey := call.IdempotencyKey != ""
	switch {
	case needsKey && !hasKey:
		return rejectedFault("key: must be set for this class: without it, a retry looks like a new request")
	case !needsKey && hasKey:
		return rejectedFault("key: requests of this class must not have a key")
	case idempotency == policy.Idempotent && len(call.Body) > 0:
		return rejectedFault("body: must be empty for an idempotent class")
	}
	return nil
}

func hostOrDefault(call *msgrpc.Call) string {
	if call.Host == "" {
		return defaultHost
	}
	return call.Host
}
