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

// The number of values of a message.
const (
	callValues         = 4 // of a request or a response
	notificationValues = 3
)

// Message is a message's envelope. Its slices point into the frame.
type Message struct {
	Kind   Kind
	ID     uint32 // msgid of a request, or of the one that a response answers
	Method []byte // of a request or notification
	Params []byte // of a request or notification; MessagePack: an array
	Fault  []byte // of a response; MessagePack; nil where there is none
	Result []byte // of a response; MessagePack
}

// Parse parses the envelope of a message. After an error the stream can be read on: the
// frame was complete, but it is none of the specification's messages.
func Parse(frame []byte) (Message, error) {
	var message Message
	rest, err := message.parseKind(frame)
	if err != nil {
		return message, err
	}
	if message.Kind != Notification {
		if message.ID, rest, err = msgp.ReadUint32Bytes(rest); err != nil {
			return message, fmt.Errorf("msgid: %w", err)
		}
	}
	if message.Kind == Response {
		err = message.parseResponse(rest)
	} else {
		err = message.parseMethod(rest)
	}
	return message, err
}

// parseKind parses the kind, checks the number of values and returns the rest.
func (message *Message) parseKind(frame []byte) (rest []byte, err error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(frame)
	if err != nil {
		return nil, err
	}
	kind, rest, err := msgp.ReadIntBytes(rest)
	if err != nil {
		return nil, fmt.Errorf("type of the message: %w", err)
	}
	message.Kind = Kind(kind)
	want := uint32(callValues)
	switch message.Kind {
	case Request, Response:
	case Notification:
		want = notificationValues
	default:
		return nil, fmt.Errorf("type of the message is %d: 0, 1 or 2 is meant", kind)
	}
	if count != want {
		return nil, fmt.Errorf("message of type %d has %d values: %d are meant", kind, count, want)
	}
	return rest, nil
}

// parseResponse parses error and result of a response.
func (message *Message) parseResponse(b []byte) error {
	result, err := msgp.Skip(b)
	if err != nil {
		return fmt.Errorf("error: %w", err)
	}
	if !msgp.IsNil(b) {
		message.Fault = b[:len(b)-len(result)]
	}
	message.Result = result
	return nil
}

// parseMethod parses method and params of a request or a notification.
func (message *Message) parseMethod(b []byte) error {
	method, params, err := msgp.ReadStringZC(b)
	if err != nil {
		return fmt.Errorf("method: %w", err)
	}
	message.Method = method
	if msgp.NextType(params) != msgp.ArrayType {
		return errors.New("params: an array is meant")
	}
	message.Params = params
	return nil
}

// AppendRequest appends a request up to its params, which the caller appends.
func AppendRequest(b []byte, id uint32, method string) []byte {
	b = msgp.AppendArrayHeader(b, callValues)
	b = msgp.AppendInt(b, int(Request))
	b = msgp.AppendUint32(b, id)
	return msgp.AppendString(b, method)
}

// AppendRequestWithoutParams appends a request without params.
func AppendRequestWithoutParams(b []byte, id uint32, method string) []byte {
	return msgp.AppendArrayHeader(AppendRequest(b, id, method), 0)
}

// AppendNotification appends a notification up to its params, which the caller appends.
func AppendNotification(b []byte, method string) []byte {
	b = msgp.AppendArrayHeader(b, notificationValues)
	b = msgp.AppendInt(b, int(Notification))
	return msgp.AppendString(b, method)
}

// appendResponse appends a response up to its error and result.
func appendResponse(b []byte, id uint32) []byte {
	b = msgp.AppendArrayHeader(b, callValues)
	b = msgp.AppendInt(b, int(Response))
	return msgp.AppendUint32(b, id)
}

// AppendCancel appends the notification that cancels a request.
func AppendCancel(b []byte, id uint32) []byte {
	b = msgp.AppendArrayHeader(AppendNotification(b, MethodCancel), 1)
	return msgp.AppendUint32(b, id)
}

// ParseCancel parses the params of a cancel notification and returns the msgid.
func ParseCancel(params []byte) (uint32, error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(params)
	if err != nil {
		return 0, err
	}
	if count != 1 {
		return 0, fmt.Errorf("cancel has %d params: the msgid alone is meant", count)
	}
	id, _, err := msgp.ReadUint32Bytes(rest)
	return id, err
}

// AppendDrain appends the notification to send nothing new on the connection.
func AppendDrain(b []byte) []byte {
	return msgp.AppendArrayHeader(AppendNotification(b, MethodDrain), 0)
}

// AppendProtocolError appends the notification why a message was ignored that cannot be
// answered.
func AppendProtocolError(b []byte, text string) []byte {
	b = msgp.AppendArrayHeader(AppendNotification(b, MethodProtocolError), 1)
	return msgp.AppendString(b, text)
}

// AppendReady appends the response to a request of MethodReady.
func AppendReady(b []byte, id uint32, ready bool) []byte {
	return msgp.AppendBool(msgp.AppendNil(appendResponse(b, id)), ready)
}

// ParseReady parses the result of MethodReady.
func ParseReady(result []byte) (bool, error) {
	ready, _, err := msgp.ReadBoolBytes(result)
	return ready, err
}
