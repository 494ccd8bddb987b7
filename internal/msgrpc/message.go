package msgrpc

import (
	"errors"
	"fmt"

	"github.com/tinylib/msgp/msgp"
)

// MessageType is the type of a message: its first value.
type MessageType int

// The message types of the specification.
const (
	Request      MessageType = 0
	Response     MessageType = 1
	Notification MessageType = 2
)

// The number of values in a message.
const (
	callValues         = 4 // in a request or a response
	notificationValues = 3
)

// Message is the envelope of a message. Its slices reference the memory of the frame.
type Message struct {
	Type   MessageType
	ID     uint32 // msgid of a request, or of the request to which a response belongs
	Method []byte // method of a request or notification
	Params []byte // params of a request or notification; an encoded MessagePack array
	Fault  []byte // error of a response in MessagePack; nil if there is none
	Result []byte // result of a response in MessagePack
}

// Parse parses the envelope of a message. After an error, further messages can be read from the stream:
// the frame is complete, but it is not a valid message of the specification.
func Parse(frame []byte) (Message, error) {
	var message Message
	rest, err := message.parseType(frame)
	if err != nil {
		return message, err
	}
	if message.Type != Notification {
		if message.ID, rest, err = msgp.ReadUint32Bytes(rest); err != nil {
			return message, fmt.Errorf("msgid: %w", err)
		}
	}
	if message.Type == Response {
		err = message.parseResponse(rest)
	} else {
		err = message.parseMethod(rest)
	}
	return message, err
}

// parseType parses the type, checks the number of values and returns the bytes after the type.
func (message *Message) parseType(frame []byte) (rest []byte, err error) {
	count, rest, err := msgp.ReadArrayHeaderBytes(frame)
	if err != nil {
		return nil, err
	}
	typeNumber, rest, err := msgp.ReadIntBytes(rest)
	if err != nil {
		return nil, fmt.Errorf("message type: %w", err)
	}
	message.Type = MessageType(typeNumber)
	want := uint32(callValues)
	switch message.Type {
	case Request, Response:
	case Notification:
		want = notificationValues
	default:
		return nil, fmt.Errorf("message type must be 0, 1 or 2, got %d", typeNumber)
	}
	if count != want {
		return nil, fmt.Errorf("message of type %[1]d must have %[3]d values, got %[2]d", typeNumber, count, want)
	}
	return rest, nil
}

// parseResponse parses the error and the result of a response.
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

// parseMethod parses the method and the params of a request or a notification.
func (message *Message) parseMethod(b []byte) error {
	method, params, err := msgp.ReadStringZC(b)
	if err != nil {
		return fmt.Errorf("method: %w", err)
	}
	message.Method = method
	if msgp.NextType(params) != msgp.ArrayType {
		return errors.New("params must be an array")
	}
	message.Params = params
	return nil
}

// ParseRequestID parses the msgid of a request from its first bytes; ok is false if they are not those of a request.
func ParseRequestID(prefix []byte) (id uint32, ok bool) {
	message := new(Message)
	rest, err := message.parseType(prefix)
	if err != nil || message.Type != Request {
		return 0, false
	}
	id, _, err = msgp.ReadUint32Bytes(rest)
	return id, err == nil
}

// AppendRequest appends a request without its params. The caller must append the params.
func AppendRequest(b []byte, id uint32, method string) []byte {
	b = msgp.AppendArrayHeader(b, callValues)
	b = msgp.AppendInt(b, int(Request))
	b = msgp.AppendUint32(b, id)
	return msgp.AppendString(b, method)
}

// AppendRequestWithoutParams appends a complete request whose params are empty.
func AppendRequestWithoutParams(b []byte, id uint32, method string) []byte {
	return msgp.AppendArrayHeader(AppendRequest(b, id, method), 0)
}

// AppendNotification appends a notification without its params. The caller must append the params.
func AppendNotification(b []byte, method string) []byte {
	b = msgp.AppendArrayHeader(b, notificationValues)
	b = msgp.AppendInt(b, int(Notification))
	return msgp.AppendString(b, method)
}

// appendResponse appends a response without its error and result. The caller must append both.
func appendResponse(b []byte, id uint32) []byte {
	b = msgp.AppendArrayHeader(b, callValues)
	b = msgp.AppendInt(b, int(Response))
	return msgp.AppendUint32(b, id)
}

// AppendCancel appends the notification that cancels the request with the msgid id.
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
		return 0, fmt.Errorf("cancel must have one param, the msgid, got %d params", count)
	}
	id, _, err := msgp.ReadUint32Bytes(rest)
	return id, err
}

// AppendDrain appends the notification that the receiver must send no new requests on the connection.
func AppendDrain(b []byte) []byte {
	return msgp.AppendArrayHeader(AppendNotification(b, MethodDrain), 0)
}

// AppendProtocolError appends the notification that a message was ignored. It is used for messages to which
// no response is possible. text contains the reason.
func AppendProtocolError(b []byte, text string) []byte {
	b = msgp.AppendArrayHeader(AppendNotification(b, MethodProtocolError), 1)
	return msgp.AppendString(b, text)
}

// AppendReady appends the response to a MethodReady request.
func AppendReady(b []byte, id uint32, ready bool) []byte {
	return msgp.AppendBool(msgp.AppendNil(appendResponse(b, id)), ready)
}

// ParseReady parses the result of a MethodReady request.
func ParseReady(result []byte) (bool, error) {
	ready, _, err := msgp.ReadBoolBytes(result)
	return ready, err
}
