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
	noDiscovery      = "127.0.0.1:1"          // no process listens on this port
	schedulingMargin = 100 * time.Millisecond // tolerance for scheduling delays of a busy machine
)

// testSettings are settings with one class of each idempotency and two tenants. It is a format
// string. Its arguments are whether probes are allowed, the latency objective in ms and the mode of
// discovery.
const testSettings = `{"balancers":1,"caps":{"may_cancel":true,"probes":%v,"most_tries":3,"dial_timeout_ms":250,
	"conn_idle_ms":30000,"max_retry_after_ms":1200,"a_later_key":[null,{"x":1}]},
	"classes":[{"name":"read","semantics":"free","aim_ms":%d,"hard_limit_ms":5000,"worth":1},
		{"name":"keyed","semantics":"guarded","dedup_scope":"all","window_ms":5000,"aim_ms":%[2]d,"hard_limit_ms":5000,"worth":1},
		{"name":"once","semantics":"single_shot","aim_ms":%[2]d,"hard_limit_ms":5000,"worth":1}],
	"discovery":%[3]q,"orgs":[{"name":"acme","share":0.8},{"name":"zeta","share":0.2}],
	"telemetry":{"columns":["failed_ps","busy_reqs"],"how":"pull"},"zones":["a"],"rules":{"cold_from":0.3,"cold_ms":8000,"fall_multiple":2.5}}`

// testOptions are the options of testConfig. The zero value selects the defaults.
type testOptions struct {
	latencyObjective time.Duration // 4 s by default
	probes           bool
	watchOnRequest   bool // the sidecar requests its watches of discovery
	sockets          int  // 200 by default
}

// testConfig returns a configuration with a discovery address and a cached list of endpoints.
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
		known = `"known":` + peertest.EndpointListJSON(1, true, endpoints...) + ","
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

// singleSlotConfig returns a configuration that allows one request in flight per tenant.
func singleSlotConfig(t *testing.T, endpoints ...string) *Config {
	t.Helper()
	config := testConfig(t, testOptions{}, noDiscovery, endpoints...)
	config.Operator = operator.File{Limits: operator.Limits{Slots: 1}}
	return config
}

// upEndpoint returns an entry of the endpoint list in the state up.
func upEndpoint(name, address string) string { return peertest.EndpointJSON(name, address, "up", 0) }

// startSidecar runs a sidecar until the test ends. Calling shutdown stops it as SIGTERM does in a
// planned restart; ended then gets the result of Serve.
func startSidecar(t *testing.T, config *Config) (address string, shutdown func(), ended <-chan error) {
	t.Helper()
	return startReloadableSidecar(t, config, nil)
}

// startReloadableSidecar runs a sidecar as startSidecar does. The sidecar reloads its configuration
// for each value from reload.
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

// startWithUpstream runs a sidecar with one endpoint, the given upstream.
func startWithUpstream(t *testing.T, upstream *peertest.RawUpstream) (
	address string, shutdown func(), ended <-chan error,
) {
	t.Helper()
	return startSidecar(t, testConfig(t, testOptions{}, noDiscovery, upEndpoint("s-1", upstream.Addr)))
}

// newServingUpstream starts an upstream that responds to each request with 200 and body.
func newServingUpstream(t *testing.T, body string) *peertest.RawUpstream {
	t.Helper()
	return peertest.NewUpstream(t, peertest.RespondWith(peertest.Response200(body)))
}

// gatedUpstream is an upstream that responds to each request with the next text from responses.
type gatedUpstream struct {
	*peertest.RawUpstream
	responses chan string // if closed, each request gets 200
}

func newGatedUpstream(t *testing.T) *gatedUpstream {
	t.Helper()
	upstream := &gatedUpstream{responses: make(chan string, 100)}
	upstream.RawUpstream = peertest.NewUpstream(t, func(peertest.ReceivedRequest) (string, bool) {
		if text, ok := <-upstream.responses; ok {
			return text, false
		}
		return peertest.Response200("ok"), false
	})
	t.Cleanup(func() {
		defer func() { recover() }() // the test may have closed the channel
		close(upstream.responses)
	})
	return upstream
}

// newBlockingUpstream starts an upstream that responds to each request with 200 and body. It responds
// to the request with the id 'held' only after release is closed.
func newBlockingUpstream(t *testing.T, body string, release <-chan struct{}) *peertest.RawUpstream {
	t.Helper()
	return peertest.NewUpstream(t, func(received peertest.ReceivedRequest) (string, bool) {
		if received.Header.Get("Request-Id") == "held" {
			<-release
		}
		return peertest.Response200(body), false
	})
}

// readyStatus returns the status of the sidecar's readiness check.
func readyStatus(address string) (int, error) {
	response, err := http.Get("http://" + address + "/health/ready")
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}

// awaitDraining waits until the readiness check of the sidecar announces the shutdown.
func awaitDraining(t *testing.T, address string) {
	t.Helper()
	peertest.WaitUntil(t, "the announcement of the shutdown", func() bool {
		status, err := readyStatus(address)
		return err == nil && status == http.StatusServiceUnavailable
	})
}

// awaitServed sends requests until one is served, because an endpoint update has yet to arrive.
func awaitServed(t *testing.T, address string) {
	t.Helper()
	for i, deadline := 0, time.Now().Add(peertest.WaitTimeout); ; i++ {
		if got := (peertest.Call{Class: "once", ID: fmt.Sprint("soon-", i)}).Do(t, address); got.Status == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("got no served request in time")
		}
	}
}

// parseSeconds parses a duration in decimal seconds, as in Request-Timeout and Retry-After. It
// returns false for an invalid number.
func parseSeconds(text string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(text, 64)
	return time.Duration(seconds * float64(time.Second)), err == nil
}
