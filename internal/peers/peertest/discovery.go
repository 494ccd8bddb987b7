package peertest

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// listPath is the path of the platform's endpoint list.
const listPath = "/registry/instances"

// discoveryChannelSize is the buffer size of a ScriptedDiscovery's channels.
const discoveryChannelSize = 10

// ScriptedDiscovery is a stand-in for the platform's discovery whose responses the test writes.
type ScriptedDiscovery struct {
	Addr          string
	Watches       chan *Watch
	ListResponses chan string // bodies of the responses to requests for the complete list, in order
	ListRequests  chan string // the query of each request for the complete list
}

// Watch is an open watch request. The test writes the response until it closes Lines or the client
// disconnects.
type Watch struct {
	From  string        // the query parameter 'from'
	Lines chan string   // each value is written with a line break
	Bytes chan string   // each value is written unchanged
	Ended chan struct{} // closed when the response has ended
}

// NewDiscovery starts a discovery on a free loopback port. It is closed at the end of the test.
func NewDiscovery(t testing.TB) *ScriptedDiscovery {
	t.Helper()
	listener := Listen(t)
	d := &ScriptedDiscovery{
		Addr:          listener.Addr().String(),
		Watches:       make(chan *Watch, discoveryChannelSize),
		ListResponses: make(chan string, discoveryChannelSize),
		ListRequests:  make(chan string, discoveryChannelSize),
	}
	server := &http.Server{Handler: http.HandlerFunc(d.serve)}
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return d
}

func (d *ScriptedDiscovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != listPath {
		http.NotFound(w, r)
		return
	}
	if r.URL.Query().Get("watch") != "" {
		d.serveWatch(w, r)
		return
	}
	d.ListRequests <- r.URL.RawQuery
	select {
	case text := <-d.ListResponses:
		_, _ = io.WriteString(w, text) // fails only if the client has disconnected
	case <-r.Context().Done():
	}
}

func (d *ScriptedDiscovery) serveWatch(w http.ResponseWriter, r *http.Request) {
	watch := &Watch{
		From:  r.URL.Query().Get("from"),
		Lines: make(chan string),
		Bytes: make(chan string),
		Ended: make(chan struct{}),
	}
	defer close(watch.Ended)
	w.WriteHeader(http.StatusOK)
	w.(http.Flusher).Flush()
	d.Watches <- watch
	for {
		text, ok := watch.next(r)
		if !ok {
			return
		}
		_, _ = io.WriteString(w, text) // if the client has disconnected, r's context ends
		w.(http.Flusher).Flush()
	}
}

// next returns the next text to write, or false if the watch has ended.
func (w *Watch) next(r *http.Request) (text string, ok bool) {
	select {
	case line, open := <-w.Lines:
		return line + "\n", open
	case text := <-w.Bytes:
		return text, true
	case <-r.Context().Done():
		return "", false
	}
}

// EndpointJSON returns an entry of the platform's endpoint list as JSON. startedAtMs is Unix time in
// milliseconds.
func EndpointJSON(name, addr, health string, startedAtMs int64) string {
	const entry = `{"host":%q,"dial":%q,"site":"a","block":3,"health":%q,"share":1.0,"born_ms":%d}`
	return fmt.Sprintf(entry, name, addr, health, startedAtMs)
}

// EndpointListJSON returns an update of the platform's endpoint list as JSON, with the given entries.
func EndpointListJSON(version int, complete bool, entries ...string) string {
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`, version, complete, strings.Join(entries, ","))
}
