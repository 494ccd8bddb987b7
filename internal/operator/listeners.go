package operator

import "fmt"

// Listener is a [[listener]] table: one more address where clients connect, beside the
// platform's own.
type Listener struct {
	Protocol Protocol `toml:"protocol"`
	Address  Address  `toml:"address"`

	// MaxInFlight bounds the requests of one connection without a response; more are
	// rejected. msgpack-rpc only; 0: 64.
	MaxInFlight Count `toml:"open"`
	// MaxBufferedBytes bounds the responses that wait for one client to read them; beyond,
	// its new requests are rejected. msgpack-rpc only; 0: 1 MiB.
	MaxBufferedBytes Count `toml:"held"`
	// ErrorFormat is how errors are written. msgpack-rpc only; empty: ErrorMaps.
	ErrorFormat ErrorFormat `toml:"errors"`
}

// Protocol names what a listener or a pool speaks.
type Protocol string

// The protocols.
const (
	HTTP Protocol = "http"
	RPC  Protocol = "msgpack-rpc"
)

func (p Protocol) check() error { return oneOf(string(p), string(HTTP), string(RPC)) }

// ErrorFormat says how a MessagePack-RPC listener writes errors.
type ErrorFormat string

// The ways to write errors; "" is ErrorMaps.
const (
	ErrorMaps  ErrorFormat = "map"
	ErrorTexts ErrorFormat = "text" // for codecs that read no map there
)

func (e ErrorFormat) check() error { return oneOf(string(e), string(ErrorMaps), string(ErrorTexts)) }

func checkListeners(listeners []Listener, d *decoder) {
	addresses := make(map[Address]int)
	for i := range listeners {
		l, path := &listeners[i], fmt.Sprintf("listener[%d]", i)
		d.require(path, "protocol", l.Protocol == "", "%q or %q is meant", HTTP, RPC)
		d.require(path, "address", l.Address == "", "%s is meant", l.Address.meant())
		if l.Protocol == HTTP {
			l.checkHTTP(path, d)
		}
		if other, taken := addresses[l.Address]; taken && l.Address != "" {
			d.reportAt(path+".address", "listener %d has the address %s already: each needs its own", other+1, l.Address)
		}
		addresses[l.Address] = i
	}
}

// checkHTTP reports keys that an HTTP/1.1 listener has no use for.
func (l *Listener) checkHTTP(path string, d *decoder) {
	for key, set := range map[string]bool{
		"open":   l.MaxInFlight != 0,
		"held":   l.MaxBufferedBytes != 0,
		"errors": l.ErrorFormat != "",
	} {
		if set {
			d.reportAt(path+"."+key, "this is for listeners of msgpack-rpc: an HTTP/1.1 connection has one request at a time")
		}
	}
}
