package rig

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"mothridge/internal/operator"
	"mothridge/internal/peers"
)

// operatorsFile is an operators' file with plug-ins in a temporary folder of the test.
type operatorsFile struct {
	t      testing.TB
	folder string
}

// newOperatorsFile writes the operators' file, and the programs as 0.hook, 1.hook and so on.
func newOperatorsFile(t testing.TB, text string, programs ...string) *operatorsFile {
	t.Helper()
	file := &operatorsFile{t, t.TempDir()}
	file.write("mothridge.toml", text)
	for i, program := range programs {
		file.writeProgram(i, program)
	}
	return file
}

// write writes a file of the folder.
func (file *operatorsFile) write(name, text string) {
	file.t.Helper()
	if err := os.WriteFile(filepath.Join(file.folder, name), []byte(text), 0o600); err != nil {
		file.t.Fatal(err)
	}
}

// writeProgram writes or replaces program i.
func (file *operatorsFile) writeProgram(i int, program string) {
	file.t.Helper()
	file.write(fmt.Sprintf("%d.hook", i), program)
}

// load reads the operators' file into a rig's configuration. Limits, listeners and pools keep the values of
// the rig's options.
func (file *operatorsFile) load(into *operator.File) {
	file.t.Helper()
	loaded, err := operator.Load(filepath.Join(file.folder, "mothridge.toml"))
	if err != nil {
		file.t.Fatal(err)
	}
	loaded.Limits, loaded.Listeners, loaded.Pools = into.Limits, into.Listeners, into.Pools
	*into = *loaded
}

// reloadTwice sends two reload signals and returns once the first reload is complete. The sidecar accepts the
// second signal only then.
func reloadTwice(reload chan<- os.Signal) {
	reload <- syscall.SIGHUP
	reload <- syscall.SIGHUP
}

const twoPlugins = `
[[plugin]]
name = "season"
file = "0.hook"
may_refuse = true
refuse_classes = ["harvest-entry"]
[[plugin]]
name = "tags"
file = "1.hook"
headers = ["X-*"]
`

// receivedByNodes records the tags and headers from plug-ins that the nodes receive.
type receivedByNodes struct {
	mu   sync.Mutex
	seen []string
}

func (s *receivedByNodes) script(call peers.Call) peers.Response {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seen = append(s.seen, call.ID+" "+call.HeaderValue("Request-Tags")+" "+call.HeaderValue("X-Was"))
	return peers.Response{}
}

// take returns the recorded requests and clears the record.
func (s *receivedByNodes) take() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := strings.Join(s.seen, "; ")
	s.seen = nil
	return text
}

// The test runs with each protocol. A request that a plug-in rejects is rejected immediately, with Retry-After
// and a reason, and reaches no node. Tags and headers that a plug-in sets reach the node, and tags that a client
// sets do not. A plug-in that fails follows the rule of the request's class. A reload replaces all programs,
// or none of them if one is invalid.
func TestPlugins(t *testing.T) {
	for _, pair := range sameProtocol {
		t.Run(pair.String(), func(t *testing.T) { testPlugins(t, pair) })
	}
}

func testPlugins(t *testing.T, pair pairing) {
	file := newOperatorsFile(t, twoPlugins,
		`on request { if event.class == "keyed-entry" { refuse("closed", 1s) }
			else if event.class == "harvest-entry" { while true { } } }`,
		`on request { tag("one")  set_header("X-Was", event.class) }`)
	var nodes receivedByNodes
	reload := make(chan os.Signal)
	rig := start(t, Options{
		ClientProtocol: pair.front, NodeProtocol: pair.nodes, ConfigureOperator: file.load, Reload: reload, Script: nodes.script,
	})
	client := startClient(t, rig)
	do := func(call peers.Call) peers.Result { return client.Do(t.Context(), call) }
	if got := do(Request(Keyed, "a", Tenant(0))); got.Outcome != peers.Rejected || got.RetryAfter != time.Second {
		t.Errorf("rejection by a plug-in: got %+v, want a rejection with RetryAfter 1s", got)
	}
	if got := do(Request(NonIdempotent, "b", Tenant(0))); got.Outcome != peers.Rejected || got.RetryAfter <= 0 {
		t.Errorf("failed plug-in, for a class that is rejected on failure: got %+v, want a rejection with RetryAfter",
			got)
	}
	forged := Request(Read, "c", Tenant(0))
	forged.HeaderFields = map[string]string{"Request-Tags": "forged"}
	if got := do(forged); got.Outcome != peers.Served {
		t.Errorf("request with a forged tag: got %+v, want outcome served", got)
	}
	if got := nodes.take(); got != "c one read" {
		t.Errorf("the nodes received %q, want \"c one read\" (id, tag, header X-Was)", got)
	}
	file.writeProgram(0, `on request { }`)
	file.writeProgram(1, `on request { tag(2) }`)
	reloadTwice(reload)
	if got := do(Request(Keyed, "d", Tenant(0))); got.Outcome != peers.Rejected {
		t.Errorf("after a reload with an invalid program: got %+v, want a rejection by the previous program", got)
	}
	file.writeProgram(1, `on request { tag("two") }`)
	reloadTwice(reload)
	if got := do(Request(Keyed, "e", Tenant(0))); got.Outcome != peers.Served {
		t.Errorf("after a reload: got %+v, want outcome served", got)
	}
	if got := nodes.take(); got != "e two " {
		t.Errorf("after a reload: the nodes received %q, want \"e two \" (id, tag, no header X-Was)", got)
	}
}

// Programs are reloaded with requests in flight. Each request is processed by either the old or the new set of
// programs, and gets one response. The test guards against a request that is processed by a mixture of both sets.
func TestPluginsReloadUnderLoad(t *testing.T) {
	program := func(value int) string {
		return fmt.Sprintf(`on request { set_header("X-A", "%d")  set_header("X-B", "%d") }`, value, value)
	}
	file := newOperatorsFile(t, "[[plugin]]\nname = \"p\"\nfile = \"0.hook\"\nheaders = [\"X-*\"]\n", program(1))
	reload := make(chan os.Signal)
	rig := start(t, Options{ConfigureOperator: file.load, Reload: reload, Slots: 64, Script: func(call peers.Call) peers.Response {
		if a, b := call.HeaderValue("X-A"), call.HeaderValue("X-B"); a != b || a == "" {
			return peers.Response{Action: peers.Error} // headers from two sets of programs, or from none
		}
		return peers.Response{}
	}})
	client := startClient(t, rig)
	stop := sendContinuously(4, func(worker, i int) {
		call := Request(Read, fmt.Sprintf("%d-%d", worker, i), Tenant(0))
		if got := client.Do(context.Background(), call); got.Outcome != peers.Served {
			t.Errorf("request during a reload: got %+v, want outcome served", got)
		}
	})
	for i := range 20 {
		file.writeProgram(0, program(i))
		reload <- syscall.SIGHUP
	}
	stop()
}
