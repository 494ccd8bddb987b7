package msgrpc

import (
	"errors"
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// Kind is the first value of a message.
type Kind int

// The kinds of the specification.
const (
	Request      Kind = 0
	Response     Kind = 1
	Notification Kind = 2
)

// Message is a message's envelope. Its slices point into the frame.
type Message struct {
	Kind   Kind
	ID     uint32 // of a request, or the one that a response answers
	Method []byte // of a request or notification
	Params []byte // MessagePack: an array
	Fault  []byte // MessagePack, of a response; nil where there is none
	Result []byte // MessagePack, of a response
}

// Parse takes a whole message apart. After an error the stream can be read on:
// the frame was whole, but it is none of the specification's messages.
func Parse(frame []byte) (Message, error) {
	var m Message
	n, b, err := msgp.ReadArrayHeaderBytes(frame)
	if err != nil {
		return m, err
	}
	kind, b, err := msgp.ReadIntBytes(b)
	if err != nil {
		return m, fmt.Errorf("type of the message: %w", err)
	}
	m.Kind = Kind(kind)
	want := uint32(4)
	switch m.Kind {
	case Request, Response:
	case Notification:
		want = 3
	default:
		return m, fmt.Errorf("type of the message is %d: 0, 1 or 2 is meant", kind)
	}
	if n != want {
		return m, fmt.Errorf("message of type %d has %d values: %d are meant", kind, n, want)
	}
	if m.Kind != Notification {
		if m.ID, b, err = msgp.ReadUint32Bytes(b); err != nil {
			return m, fmt.Errorf("msgid: %w", err)
		}
	}
	if m.Kind == Response {
		rest, err := msgp.Skip(b)
		if err != nil {
			return m, fmt.Errorf("error: %w", err)
		}
		if !msgp.IsNil(b) {
			m.Fault = b[:len(b)-len(rest)]
		}
		m.Result = rest
		return m, nil
	}
	if m.Method, b, err = msgp.ReadStringZC(b); err != nil {
		return m, fmt.Errorf("method: %w", err)
	}
	if msgp.NextType(b) != msgp.ArrayType {
		return m, errors.New("params: an array is meant")
	}
	m.Params = b
	return m, nil
}

// AppendRequest begins a request; its params follow.
func AppendRequest(b []byte, id uint32, method string) []byte {
	b = msgp.AppendArrayHeader(b, 4)
	b = msgp.AppendInt(b, int(Request))
	b = msgp.AppendUint32(b, id)
	return msgp.AppendString(b, method)
}

// AppendNotification begins a notification; its params follow.
func AppendNotification(b []byte, method string) []byte {
	b = msgp.AppendArrayHeader(b, 3)
	b = msgp.AppendInt(b, int(Notification))
	return msgp.AppendString(b, method)
}

// appendResponse begins a response; error and result follow.
func appendResponse(b []byte, id uint32) []byte {
	b = msgp.AppendArrayHeader(b, 4)
	b = msgp.AppendInt(b, int(Response))
	return msgp.AppendUint32(b, id)
}

// AppendCancel is the notification that gives a request up.
func AppendCancel(b []byte, id uint32) []byte {
	b = msgp.AppendArrayHeader(AppendNotification(b, MethodCancel), 1)
	return msgp.AppendUint32(b, id)
}

// ParseCancel reads the params of a cancel notification.
func ParseCancel(params []byte) (uint32, error) {
	n, b, err := msgp.ReadArrayHeaderBytes(params)
	if err != nil {
		return 0, err
	}
	if n != 1 {
		return 0, fmt.Errorf("cancel has %d params: the msgid alone is meant", n)
	}
	id, _, err := msgp.ReadUint32Bytes(b)
	return id, err
}

// AppendDrain is the notification that nothing new should be sent.
func AppendDrain(b []byte) []byte {
	return msgp.AppendArrayHeader(AppendNotification(b, MethodDrain), 0)
}

// AppendProtocolError is the notification that tells why a message was passed
// over that cannot be answered.
func AppendProtocolError(b []byte, text string) []byte {
	b = msgp.AppendArrayHeader(AppendNotification(b, MethodProtocolError), 1)
	return msgp.AppendString(b, text)
}

// AppendReady answers a request for readiness.
func AppendReady(b []byte, id uint32, ready bool) []byte {
	return msgp.AppendBool(msgp.AppendNil(appendResponse(b, id)), ready)
}

// ParseReady reads a result of 'ready'.
func ParseReady(result []byte) (bool, error) {
	ready, _, err := msgp.ReadBoolBytes(result)
	return ready, err
}

// AppendRequestWithoutParams begins a request without params.
func AppendRequestWithoutParams(b []byte, id uint32, method string) []byte {
	return msgp.AppendArrayHeader(AppendRequest(b, id, method), 0)
}
