package sidecar

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// watchDrain is a running sidecar with a watch on a registry, a second registry to which discovery
// may move, and a client that sends requests continuously.
type watchDrain struct {
	registry, newRegistry *peertest.ScriptedDiscovery
	watch                 *peertest.Watch
	drained, other        *peertest.RawUpstream
	drain                 string // update that drains the endpoint of drained
	complete              string // complete list without that endpoint
	config                *Config
	signals               chan os.Signal

	mu             sync.Mutex
	lastAtDrained  time.Time // when drained last received a request; guarded by mu
	stopRequesting chan struct{}
	stopped        chan struct{}
}

// startWatchDrain starts the sidecar, its upstreams and registries, and the client.
func startWatchDrain(t *testing.T) *watchDrain {
	t.Helper()
	w := &watchDrain{
		registry: peertest.NewDiscovery(t), newRegistry: peertest.NewDiscovery(t),
		other:   newServingUpstream(t, "b"),
		signals: make(chan os.Signal), stopRequesting: make(chan struct{}), stopped: make(chan struct{}),
	}
	w.drained = peertest.NewUpstream(t, func(peertest.ReceivedRequest) (string, bool) {
		w.mu.Lock()
		w.lastAtDrained = time.Now()
		w.mu.Unlock()
		return peertest.Response200("a"), false
	})
	w.drain = peertest.EndpointListJSON(2, false, peertest.EndpointJSON("s-1", w.drained.Addr, "draining", 0))
	w.complete = peertest.EndpointListJSON(2, true, upEndpoint("s-2", w.other.Addr))
	w.config = testConfig(t, testOptions{}, w.registry.Addr,
		upEndpoint("s-1", w.drained.Addr), upEndpoint("s-2", w.other.Addr))
	w.config.platformFile = filepath.Join(t.TempDir(), "config.json")
	address, _, _ := startReloadableSidecar(t, w.config, w.signals)
	w.watch = peertest.Await(t, "the watch", w.registry.Watches)
	go w.sendRequests(t, address)
	return w
}

// sendRequests sends a request every 5 ms until stopRequesting is closed. Each must be served.
func (w *watchDrain) sendRequests(t *testing.T, address string) {
	defer close(w.stopped)
	for i := 0; ; i++ {
		select {
		case <-w.stopRequesting:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if got := (peertest.Call{Class: "once", ID: fmt.Sprint(i)}).Do(t, address); got.Status != http.StatusOK {
			t.Errorf("request %d: got %+v, want 200", i, got)
		}
		countProbes(w.drained, w.other) // empties the channels so that they do not fill up
	}
}

// reload makes the sidecar reload its configuration with a new address of discovery.
func (w *watchDrain) reload(t *testing.T, discovery string) {
	t.Helper()
	writeFile(t, w.config.platformFile, reloadText(discovery))
	w.signals <- syscall.SIGHUP
}

// nextWatch waits for the next watch at a registry.
func nextWatch(t *testing.T, registry *peertest.ScriptedDiscovery) *peertest.Watch {
	t.Helper()
	return peertest.Await(t, "another watch", registry.Watches)
}

// watchEvents are the events on the watch around a drain. Each run ends with the notification of the
// drain to the sidecar. If maxSilence is above 0, run must end within it.
var watchEvents = map[string]struct {
	maxSilence time.Duration
	run        func(t *testing.T, w *watchDrain)
}{
	"stays": {0, func(_ *testing.T, w *watchDrain) { w.watch.Lines <- w.drain }},
	"arrives byte by byte": {0, func(_ *testing.T, w *watchDrain) {
		for _, b := range w.drain {
			w.watch.Bytes <- string(b)
		}
	}},
	"ends": {0, func(t *testing.T, w *watchDrain) {
		close(w.watch.Lines)
		nextWatch(t, w.registry).Lines <- w.drain
	}},
	"ends, then a complete list": {0, func(t *testing.T, w *watchDrain) {
		close(w.watch.Lines)
		nextWatch(t, w.registry).Lines <- w.complete
	}},
	"ends within a line": {0, func(t *testing.T, w *watchDrain) {
		w.watch.Bytes <- w.drain[:20]
		close(w.watch.Lines)
		nextWatch(t, w.registry).Lines <- w.drain
	}},
	"sends nothing": {6 * time.Second, func(t *testing.T, w *watchDrain) {
		nextWatch(t, w.registry).Lines <- w.drain
	}},
	"moves": {0, func(t *testing.T, w *watchDrain) {
		w.reload(t, w.newRegistry.Addr)
		<-w.newRegistry.ListRequests
		w.newRegistry.ListResponses <- w.complete
	}},
	"moves twice": {0, func(t *testing.T, w *watchDrain) {
		w.reload(t, "127.0.0.1:1")
		w.reload(t, w.newRegistry.Addr)
		<-w.newRegistry.ListRequests
		w.newRegistry.ListResponses <- w.complete
	}},
	"moves before the drain": {0, func(t *testing.T, w *watchDrain) {
		w.reload(t, w.newRegistry.Addr)
		<-w.newRegistry.ListRequests
		both := `"hosts":[` + upEndpoint("s-1", "127.0.0.1:1") + ","
		w.newRegistry.ListResponses <- strings.Replace(w.complete, `"hosts":[`, both, 1)
		nextWatch(t, w.newRegistry).Lines <- strings.Replace(w.drain, `"seq":2`, `"seq":10`, 1)
	}},
}

// The watch on the endpoint list may end, move or stop sending around a drain. The sidecar must still
// receive the drain: 2 s after its notification no new attempt may go to the drained endpoint, and no
// request may be lost.
func TestDrainAppliesWhateverHappensToWatch(t *testing.T) {
	const grace = 2 * time.Second
	for name, event := range watchEvents {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startWatchDrain(t)
			start := time.Now()
			event.run(t, w)
			notified := time.Now()
			if event.maxSilence > 0 && start.Add(event.maxSilence).Before(notified) {
				t.Errorf("new watch: got it %v after the old one stopped sending, want at most 6 s", notified.Sub(start))
			}
			time.Sleep(500 * time.Millisecond) // far less than the grace
			w.mu.Lock()
			last := w.lastAtDrained
			w.mu.Unlock()
			if last.Sub(notified) > grace/5 {
				t.Errorf("got a request at the drained upstream %v after the notification, want at most 0.4 s", last.Sub(notified))
			}
			close(w.stopRequesting)
			<-w.stopped
		})
	}
}
