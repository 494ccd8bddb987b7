package rpcfront

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/tinylib/msgp/msgp"

	"mothridge/internal/core"
	"mothridge/internal/msgrpc"
	"mothridge/internal/peers/peertest"
)

// Errors are maps, or texts where the listener says so: of the core, of the
// front itself, and where they say what the client sent.
func TestErrorsAsMapsAndTexts(t *testing.T) {
	for _, texts := range []bool{false, true} {
		t.Run(fmt.Sprint("texts=", texts), func(t *testing.T) {
			k := newHolding()
			c := dial(t, startFront(t, Config{ErrorsAsText: texts, MaxRequestsInFlight: 1}, k))
			for _, step := range []struct {
				ask  func()
				want string
			}{
				{func() {
					c.ask(1, nil)
					peertest.Await(t, "the request", k.taken).Respond(core.Response{Result: core.Rejected, RetryAfter: 120 * time.Millisecond})
				}, "refused pause_ms=120"},
				{func() {
					c.ask(2, nil)
					peertest.Await(t, "the request", k.taken).Respond(core.Response{Result: core.TimedOut})
				}, "timeout"},
				{func() { c.ask(3, func(m *msgrpc.Call) { m.Class = "no\x02such" }) }, "rejected: class: byte 0x02: no control bytes are allowed"},
				{func() { c.ask(4, func(m *msgrpc.Call) { m.Target = strings.Repeat("x", 20_000) }) }, `rejected: target "` + strings.Repeat("x", 40) + `": it begins with '/'`},
				{func() { c.Write(msgp.AppendArrayHeader(msgrpc.AppendRequest(nil, 5, "add"), 0)) }, "rejected: method: call and ready are known"},
				{func() {
					c.ask(6, nil)
					peertest.Await(t, "the request", k.taken)
					c.ask(7, nil)
				}, "refused pause_ms=100: too many at once on one connection"},
			} {
				step.ask()
				m := c.next(t)
				if is := msgp.NextType(m.Fault) == msgp.StrType; is != texts {
					t.Errorf("%s: a text is %v, want %v", step.want, is, texts)
				}
				if f, err := msgrpc.ParseFault(m.Fault); err != nil || f.String() != step.want {
					t.Errorf("got %v, %v; want %s", f, err, step.want)
				}
			}
		})
	}
}
