package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"mothridge/internal/operator"
	"mothridge/internal/peers/peertest"
)

const (
	noDiscovery      = "127.0.0.1:1"          // nothing listens there
	schedulingMargin = 100 * time.Millisecond // of a busy machine
)

// testSettings has one class of each idempotency and two tenants. It is a format
// for whether probes are allowed, the latency objective in ms and the mode of discovery.
const testSettings = `{"balancers":1,"caps":{"may_cancel":true,"probes":%v,"most_tries":3,"dial_timeout_ms":250,
	"conn_idle_ms":30000,"max_retry_after_ms":1200,"a_later_key":[null,{"x":1}]},
	"classes":[{"name":"read","semantics":"free","aim_ms":%d,"hard_limit_ms":5000,"worth":1},
		{"name":"keyed","semantics":"guarded","dedup_scope":"all","window_ms":5000,"aim_ms":%[2]d,"hard_limit_ms":5000,"worth":1},
		{"name":"once","semantics":"single_shot","aim_ms":%[2]d,"hard_limit_ms":5000,"worth":1}],
	"discovery":%[3]q,"orgs":[{"name":"acme","share":0.8},{"name":"zeta","share":0.2}],
	"telemetry":{"columns":["failed_ps","busy_reqs"],"how":"pull"},"zones":["a"],"rules":{"cold_from":0.3,"cold_ms":8000,"fall_multiple":2.5}}`

// testOptions are what tests vary of a sidecar.
type testOptions struct {
	latencyObjective time.Duration // 4 s by default
	probes           bool
	watchOnRequest   bool // discovery by watches that the sidecar requests
	sockets          int  // 200 by default
}

// testConfig reads a configuration with a discovery address and the endpoints known at the start.
func testConfig(t *testing.T, options testOptions, discovery string, endpoints ...string) *Config {
	t.Helper()
	if options.latencyObjective == 0 {
		options.latencyObjective = 4 * time.Second
	}
	if options.sockets == 0 {
		options.sockets = 200
	}
	mode := "push"
	if options.watchOnRequest {
		mode = "ask"
	}
	known := ""
	if len(endpoints) > 0 {
		known = `"known":` + peertest.ListText(1, true, endpoints...) + ","
	}
	settings := fmt.Sprintf(testSettings, options.probes, options.latencyObjective.Milliseconds(), mode)
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",%s
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"settings":%s}`,
		discovery, known, options.sockets, settings)
	config, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return config
}

// singleSlotConfig allows one request of a tenant in flight.
func singleSlotConfig(t *testing.T, endpoints ...string) *Config {
	t.Helper()
	config := testConfig(t, testOptions{}, noDiscovery, endpoints...)
	config.Operator = operator.File{Limits: operator.Limits{Slots: 1}}
	return config
}

// upEndpoint is an entry of the endpoint list that may be used.
func upEndpoint(name, address string) string { return peertest.HostText(name, address, "up", 0) }

// startSidecar runs a sidecar until the test ends; shutdown stops it as a planned restart does.
func startSidecar(t *testing.T, config *Config) (address string, shutdown func(), ended <-chan error) {
	t.Helper()
	return startReloadableSidecar(t, config, nil)
}

// startReloadableSidecar does the same for one that reads its configuration again.
func startReloadableSidecar(t *testing.T, config *Config, reload <-chan os.Signal) (
	address string, shutdown func(), ended <-chan error,
) {
	t.Helper()
	listener := peertest.Listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	var running sync.WaitGroup
	running.Go(func() { done <- Serve(ctx, reload, config, []net.Listener{listener}) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
	return listener.Addr().String(), cancel, done
}

// startWithUpstream runs a sidecar with one endpoint, that of the upstream.
func startWithUpstream(t *testing.T, upstream *peertest.Upstream) (
	address string, shutdown func(), ended <-chan error,
) {
	t.Helper()
	return startSidecar(t, testConfig(t, testOptions{}, noDiscovery, upEndpoint("s-1", upstream.Addr)))
}

// newServingUpstream serves each request with a body.
func newServingUpstream(t *testing.T, body string) *peertest.Upstream {
	t.Helper()
	return peertest.NewUpstream(t, peertest.Always(peertest.Answer200(body)))
}

// gatedUpstream answers a request once it has read from responses.
type gatedUpstream struct {
	*peertest.Upstream
	responses chan string // closed: 200 for each request
}

func newGatedUpstream(t *testing.T) *gatedUpstream {
	t.Helper()
	upstream := &gatedUpstream{responses: make(chan string, 100)}
	upstream.Upstream = peertest.NewUpstream(t, func(peertest.Received) (string, bool) {
		if text, ok := <-upstream.responses; ok {
			return text, false
		}
		return peertest.Answer200("ok"), false
	})
	t.Cleanup(func() {
		defer func() { recover() }() // the test has closed it
		close(upstream.responses)
	})
	return upstream
}

// newHoldingUpstream serves each request with a body, but the one with the id 'held' only
// once release is closed.
func newHoldingUpstream(t *testing.T, body string, release <-chan struct{}) *peertest.Upstream {
	t.Helper()
	return peertest.NewUpstream(t, func(received peertest.Received) (string, bool) {
		if received.Header.Get("Request-Id") == "held" {
			<-release
		}
		return peertest.Answer200(body), false
	})
}

// readyStatus requests the health check of the sidecar.
func readyStatus(address string) (int, error) {
	response, err := http.Get("http://" + address + "/health/ready")
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// awaitDraining waits until the sidecar announces its shutdown.
func awaitDraining(t *testing.T, address string) {
	t.Helper()
	peertest.Until(t, "the announcement", func() bool {
		status, err := readyStatus(address)
		return err == nil && status == http.StatusServiceUnavailable
	})
}

// serveSoon sends requests until one is served: an endpoint update is on its way.
func serveSoon(t *testing.T, address string) {
	t.Helper()
	for i, deadline := 0, time.Now().Add(peertest.WaitTimeout); ; i++ {
		if got := (peertest.Call{Class: "once", ID: fmt.Sprint("soon-", i)}).Do(t, address); got.Status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("never served")
		}
	}
}

// parseSeconds reads a duration as HTTP fields have it here.
func parseSeconds(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	return time.Duration(seconds * float64(time.Second)), err == nil
}
