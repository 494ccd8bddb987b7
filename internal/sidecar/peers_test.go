package sidecar

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"mothridge/internal/peers/peertest"
)

// testSettings has one class of each effect and two tenants.
const testSettings = `{"balancers":1,"caps":{"may_cancel":true,"probes":%v,"most_tries":3,"dial_timeout_ms":250,
	"conn_idle_ms":30000,"max_retry_after_ms":1200,"a_later_key":[null,{"x":1}]},
	"classes":[{"name":"read","semantics":"free","aim_ms":%d,"hard_limit_ms":5000,"worth":1},
		{"name":"keyed","semantics":"guarded","dedup_scope":"all","window_ms":5000,"aim_ms":%[2]d,"hard_limit_ms":5000,"worth":1},
		{"name":"once","semantics":"single_shot","aim_ms":%[2]d,"hard_limit_ms":5000,"worth":1}],
	"discovery":%[3]q,"orgs":[{"name":"acme","share":0.8},{"name":"zeta","share":0.2}],
	"telemetry":{"columns":["failed_ps","busy_reqs"],"how":"pull"},"zones":["a"],"rules":{"cold_from":0.3,"cold_ms":8000,"fall_multiple":2.5}}`

// options are what tests vary of a sidecar.
type options struct {
	aim     time.Duration
	probes  bool
	ask     bool
	sockets int
}

func testConfig(t *testing.T, o options, discovery string, hosts ...string) *Config {
	t.Helper()
	if o.aim == 0 {
		o.aim = 4 * time.Second
	}
	if o.sockets == 0 {
		o.sockets = 200
	}
	mode := "push"
	if o.ask {
		mode = "ask"
	}
	known := ""
	if len(hosts) > 0 {
		known = `"known":` + peertest.ListText(1, true, hosts...) + ","
	}
	text := fmt.Sprintf(`{"name":"n0","listen":"127.0.0.1:0","discovery":%q,"seed":"8c1f30d27a5be964",%s
		"limits":{"cores":1.0,"memory_mb":192,"sockets":%d},"settings":%s}`,
		discovery, known, o.sockets, fmt.Sprintf(testSettings, o.probes, o.aim.Milliseconds(), mode))
	c, err := ParseConfig([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// startSidecar runs a sidecar until the test ends and returns its address and a
// function that stops it as a planned restart does.
func startSidecar(t *testing.T, c *Config) (addr string, stop func(), ended <-chan error) {
	t.Helper()
	return startReloadable(t, c, nil)
}

// startReloadable does the same for one that reads its configuration again.
func startReloadable(t *testing.T, c *Config, reload <-chan os.Signal) (addr string, stop func(), ended <-chan error) {
	t.Helper()
	ln := peertest.Listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Add(1)
	go func() {
		defer wg.Done()
		done <- Serve(ctx, reload, c, []net.Listener{ln})
	}()
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return ln.Addr().String(), cancel, done
}

// parseSeconds reads a duration as HTTP fields have it here.
func parseSeconds(s string) (time.Duration, bool) {
	f, err := strconv.ParseFloat(s, 64)
	return time.Duration(f * float64(time.Second)), err == nil
}
