package rpcfront

import (
	"time"

	"mothridge/internal/core"
	"mothridge/internal/front/frontend"
	"mothridge/internal/msgrpc"
	"mothridge/policy"
)

// defaultHost is the Host of a request whose client names none: an HTTP/1.1 upstream
// needs one.
const defaultHost = "service.internal"

// rejected is the error of a request that the client is to change; text names the key
// and what is expected.
func rejected(text string) *msgrpc.Fault {
	return &msgrpc.Fault{Kind: msgrpc.KindRejected, Text: text}
}

// readRequest makes a request of a call's params, or returns the error for the client.
func (front *Front) readRequest(params []byte, arrival time.Time) (*core.Request, *msgrpc.Fault) {
	call, err := msgrpc.ParseCall(params)
	if err != nil {
		return nil, rejected(err.Error())
	}
	class, known := front.rules.Class(call.Class)
	if !known {
		return nil, rejected("class: the settings have none of that name")
	}
	tenant, known := front.rules.Tenant(call.Tenant)
	if !known {
		return nil, rejected("tenant: the settings have none of that name")
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
			Host:           hostOf(call),
			Fields:         call.HTTPFields(),
			Body:           call.Body,
			RequiresLength: true,
		},
	}, nil
}

// checkTexts checks the texts that go into an HTTP/1.1 head.
func checkTexts(call *msgrpc.Call) *msgrpc.Fault {
	if frontend.HasUnprintable(call.ID) {
		return rejected("id: printable ASCII is meant")
	}
	if frontend.HasUnprintable(call.Target) || frontend.HasUnprintable(call.Host) {
		return rejected("target and host: printable ASCII is meant")
	}
	return nil
}

// checkIdempotency checks what follows from a class: whether there is a key and whether
// there may be a body.
func checkIdempotency(call *msgrpc.Call, idempotency policy.Idempotency) *msgrpc.Fault {
	needsKey := idempotency == policy.IdempotentByKey
	hasKey := call.IdempotencyKey != ""
	switch {
	case needsKey && !hasKey:
		return rejected("key is missing: without it a repeat could not be told from a new request")
	case !needsKey && hasKey:
		return rejected("key: requests of this class have none")
	case idempotency == policy.Idempotent && len(call.Body) > 0:
		return rejected("body: requests of a class that is safe to repeat have none")
	}
	return nil
}

func hostOf(call *msgrpc.Call) string {
	if call.Host == "" {
		return defaultHost
	}
	return call.Host
}
