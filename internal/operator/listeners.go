package operator

import "fmt"

// Listener is a [[listener]] table: an address at which clients connect, in addition to the
// listener that the platform or the [sidecar] table sets.
type Listener struct {
	Protocol Protocol `toml:"protocol"`
	Address  Address  `toml:"address"`

	// MaxInFlight bounds the requests of one connection that have no response yet. Further
	// requests are rejected. For msgpack-rpc only; 0: 64.
	MaxInFlight Count `toml:"open"`
	// MaxBufferedBytes bounds the responses that are buffered until one client reads them. Above
	// the bound, new requests of the client are rejected. For msgpack-rpc only; 0: 1 MiB.
	MaxBufferedBytes Count `toml:"held"`
	// ErrorFormat is the format of errors. For msgpack-rpc only; empty: ErrorMaps.
	ErrorFormat ErrorFormat `toml:"errors"`
}

// Protocol is the protocol of a listener or a pool.
type Protocol string

// The protocols.
const (
	HTTP Protocol = "http"
	RPC  Protocol = "msgpack-rpc"
)

func (p Protocol) check() error { return oneOf(string(p), string(HTTP), string(RPC)) }

// ErrorFormat is the format in which a MessagePack-RPC listener writes errors.
type ErrorFormat string

// The formats of errors. An empty value means ErrorMaps.
const (
	ErrorMaps  ErrorFormat = "map"
	ErrorTexts ErrorFormat = "text" // for codecs that cannot read a map as an error
)

func (e ErrorFormat) check() error { return oneOf(string(e), string(ErrorMaps), string(ErrorTexts)) }

func checkListeners(listeners []Listener, d *decoder) {
	addresses := make(map[Address]int)
	for i := range listeners {
		l, path := &listeners[i], fmt.Sprintf("listener[%d]", i)
		d.require(path, "protocol", l.Protocol == "", "must be %q or %q", HTTP, RPC)
		d.require(path, "address", l.Address == "", "must be %s", l.Address.expected())
		if l.Protocol == HTTP {
			l.checkHTTP(path, d)
		}
		if earlier, taken := addresses[l.Address]; taken && l.Address != "" {
			d.reportAt(path+".address", "must be unique: listener %d already has the address %s", earlier+1, l.Address)
		}
		addresses[l.Address] = i
	}
}

// checkHTTP reports keys that do not apply to an HTTP/1.1 listener.
func (l *Listener) checkHTTP(path string, d *decoder) {
	for key, isSet := range map[string]bool{
		"open":   l.MaxInFlight != 0,
		"held":   l.MaxBufferedBytes != 0,
		"errors": l.ErrorFormat != "",
	} {
		if isSet {
			d.reportAt(path+"."+key, "applies only to msgpack-rpc listeners: an HTTP/1.1 connection has one request at a time")
		}
	}
}
