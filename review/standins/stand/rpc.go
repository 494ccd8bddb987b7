package stand

import (
	"encoding/binary"
	"math"
)

// RPCCall is a call of the MessagePack-RPC mapping.
type RPCCall struct {
	MsgID             uint32
	ID, Class, Tenant string
	Key               string
	LeftMs            float64
	Fields            [][2]string
	Body              []byte
}

// Encode returns the call as MessagePack.
func (c RPCCall) Encode() []byte {
	b := []byte{0x94, 0x00, 0xce}
	b = binary.BigEndian.AppendUint32(b, c.MsgID)
	b = appendText(b, "call")
	texts := [][2]string{{"id", c.ID}, {"class", c.Class}, {"tenant", c.Tenant}}
	if c.Key != "" {
		texts = append(texts, [2]string{"key", c.Key})
	}
	b = append(b, 0x91, 0x80|byte(len(texts)+3))
	for _, text := range texts {
		b = appendText(appendText(b, text[0]), text[1])
	}
	b = appendText(b, "left_ms")
	b = binary.BigEndian.AppendUint64(append(b, 0xcb), math.Float64bits(c.LeftMs))
	b = append(appendText(b, "fields"), 0x80|byte(len(c.Fields)))
	for _, field := range c.Fields {
		b = appendText(appendText(b, field[0]), field[1])
	}
	b = binary.BigEndian.AppendUint16(append(appendText(b, "body"), 0xc5), uint16(len(c.Body)))
	return append(b, c.Body...)
}

func appendText(b []byte, text string) []byte {
	return append(append(b, 0xd9, byte(len(text))), text...)
}
