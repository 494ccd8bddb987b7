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

// watchDrain is a sidecar with a watch on a registry, another registry to which
// discovery may move, and a client that sends requests all the time.
type watchDrain struct {
	registry, moved *peertest.Discovery
	watch           *peertest.Watch
	drained, stays  *peertest.Upstream
	drain           string // the change that drains one of them
	complete        string // the list without it
	config          *Config
	signals         chan os.Signal

	lock           sync.Mutex
	lastAtDrained  time.Time // when the drained one last received a request
	stopRequesting chan struct{}
	stopped        chan struct{}
}

func startWatchDrain(t *testing.T) *watchDrain {
	t.Helper()
	scene := &watchDrain{
		registry: peertest.NewDiscovery(t), moved: peertest.NewDiscovery(t),
		stays:   newServingUpstream(t, "b"),
		signals: make(chan os.Signal), stopRequesting: make(chan struct{}), stopped: make(chan struct{}),
	}
	scene.drained = peertest.NewUpstream(t, func(peertest.Received) (string, bool) {
		scene.lock.Lock()
		scene.lastAtDrained = time.Now()
		scene.lock.Unlock()
		return peertest.Answer200("a"), false
	})
	scene.drain = peertest.ListText(2, false, peertest.HostText("s-1", scene.drained.Addr, "draining", 0))
	scene.complete = peertest.ListText(2, true, upEndpoint("s-2", scene.stays.Addr))
	scene.config = testConfig(t, testOptions{}, scene.registry.Addr,
		upEndpoint("s-1", scene.drained.Addr), upEndpoint("s-2", scene.stays.Addr))
	scene.config.path = filepath.Join(t.TempDir(), "config.json")
	address, _, _ := startReloadableSidecar(t, scene.config, scene.signals)
	scene.watch = peertest.Await(t, "the watch", scene.registry.Watches)
	go scene.sendRequests(t, address)
	return scene
}

// sendRequests sends a request every 5 ms; each must be served.
func (scene *watchDrain) sendRequests(t *testing.T, address string) {
	defer close(scene.stopped)
	for i := 0; ; i++ {
		select {
		case <-scene.stopRequesting:
			return
		case <-time.After(5 * time.Millisecond):
		}
		if got := (peertest.Call{Class: "once", ID: fmt.Sprint(i)}).Do(t, address); got.Status != http.StatusOK {
			t.Errorf("request %d: %+v", i, got)
		}
		countProbes(scene.drained, scene.stays) // so that their channels don't fill up
	}
}

// reload moves discovery to an address.
func (scene *watchDrain) reload(t *testing.T, discovery string) {
	t.Helper()
	writeFile(t, scene.config.path, reloadText(discovery))
	scene.signals <- syscall.SIGHUP
}

// nextWatch waits for a further watch at a registry.
func nextWatch(t *testing.T, registry *peertest.Discovery) *peertest.Watch {
	t.Helper()
	return peertest.Await(t, "another watch", registry.Watches)
}

// watchFates is what becomes of the watch at the moment of a drain, up to its notification;
// maxSilence bounds how long that takes, where it is not 0.
var watchFates = map[string]struct {
	maxSilence time.Duration
	happen     func(t *testing.T, scene *watchDrain)
}{
	"stays": {0, func(_ *testing.T, scene *watchDrain) { scene.watch.Lines <- scene.drain }},
	"comes in bytes": {0, func(_ *testing.T, scene *watchDrain) {
		for _, b := range scene.drain {
			scene.watch.Bytes <- string(b)
		}
	}},
	"ends": {0, func(t *testing.T, scene *watchDrain) {
		close(scene.watch.Lines)
		nextWatch(t, scene.registry).Lines <- scene.drain
	}},
	"ends, then a complete list": {0, func(t *testing.T, scene *watchDrain) {
		close(scene.watch.Lines)
		nextWatch(t, scene.registry).Lines <- scene.complete
	}},
	"is cut in a line": {0, func(t *testing.T, scene *watchDrain) {
		scene.watch.Bytes <- scene.drain[:20]
		close(scene.watch.Lines)
		nextWatch(t, scene.registry).Lines <- scene.drain
	}},
	"falls silent": {6 * time.Second, func(t *testing.T, scene *watchDrain) {
		nextWatch(t, scene.registry).Lines <- scene.drain
	}},
	"moves": {0, func(t *testing.T, scene *watchDrain) {
		scene.reload(t, scene.moved.Addr)
		<-scene.moved.ListRequests
		scene.moved.ListResponses <- scene.complete
	}},
	"moves twice": {0, func(t *testing.T, scene *watchDrain) {
		scene.reload(t, "127.0.0.1:1")
		scene.reload(t, scene.moved.Addr)
		<-scene.moved.ListRequests
		scene.moved.ListResponses <- scene.complete
	}},
	"moves, then drain": {0, func(t *testing.T, scene *watchDrain) {
		scene.reload(t, scene.moved.Addr)
		<-scene.moved.ListRequests
		both := `"hosts":[` + upEndpoint("s-1", "127.0.0.1:1") + ","
		scene.moved.ListResponses <- strings.Replace(scene.complete, `"hosts":[`, both, 1)
		nextWatch(t, scene.moved).Lines <- strings.Replace(scene.drain, `"seq":2`, `"seq":10`, 1)
	}},
}

// Whatever becomes of the watch, a drain that follows is kept: 2 s after its notification
// nothing new goes to its endpoint, and nothing that has started is lost.
func TestDrainIsKeptWhateverBecomesOfTheWatch(t *testing.T) {
	const grace = 2 * time.Second
	for name, fate := range watchFates {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scene := startWatchDrain(t)
			start := time.Now()
			fate.happen(t, scene)
			notified := time.Now()
			if fate.maxSilence > 0 && start.Add(fate.maxSilence).Before(notified) {
				t.Errorf("it was requested only %v after it had fallen silent", notified.Sub(start))
			}
			time.Sleep(500 * time.Millisecond) // far within the grace
			scene.lock.Lock()
			last := scene.lastAtDrained
			scene.lock.Unlock()
			if last.Sub(notified) > grace/5 {
				t.Errorf("still forwarded to %v after the notification", last.Sub(notified))
			}
			close(scene.stopRequesting)
			<-scene.stopped
		})
	}
}
