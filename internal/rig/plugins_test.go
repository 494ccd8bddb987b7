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

// operatorsFile is an operators' file with plug-ins in a folder of the test.
type operatorsFile struct {
	t      testing.TB
	folder string
}

// newOperatorsFile writes the file, and its programs as 0.hook and so on.
func newOperatorsFile(t testing.TB, text string, programs ...string) *operatorsFile {
	t.Helper()
	file := &operatorsFile{t, t.TempDir()}
	file.write("mothridge.toml", text)
	for i, program := range programs {
		file.writeProgram(i, program)
	}
	return file
}

func (file *operatorsFile) write(name, text string) {
	file.t.Helper()
	if err := os.WriteFile(filepath.Join(file.folder, name), []byte(text), 0o600); err != nil {
		file.t.Fatal(err)
	}
}

// writeProgram writes another program in place of one.
func (file *operatorsFile) writeProgram(i int, program string) {
	file.t.Helper()
	file.write(fmt.Sprintf("%d.hook", i), program)
}

// load reads the file, but for what the options of a rig say.
func (file *operatorsFile) load(into *operator.File) {
	file.t.Helper()
	loaded, err := operator.Load(filepath.Join(file.folder, "mothridge.toml"))
	if err != nil {
		file.t.Fatal(err)
	}
	loaded.Limits, loaded.Listeners, loaded.Pools = into.Limits, into.Listeners, into.Pools
	*into = *loaded
}

// reloadTwice returns once a reload has been carried out: that is when the second is taken.
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

// seenByNodes collects what the nodes receive of the plug-ins.
type seenByNodes struct {
	lock sync.Mutex
	seen []string
}

func (s *seenByNodes) script(call peers.Call) peers.Response {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.seen = append(s.seen, call.ID+" "+call.Field("Request-Tags")+" "+call.Field("X-Was"))
	return peers.Response{}
}

// take returns what was seen and forgets it.
func (s *seenByNodes) take() string {
	s.lock.Lock()
	defer s.lock.Unlock()
	text := strings.Join(s.seen, "; ")
	s.seen = nil
	return text
}

// With either protocol: what a plug-in rejects is answered at once with Retry-After
// and why, reaches no node and is a rejection; what it tags reaches
// the node so; one that fails follows the rule of the class; a reload takes other
// programs, or none where one of them is wrong.
func TestPlugins(t *testing.T) {
	for _, pair := range oneProtocol {
		t.Run(pair.String(), func(t *testing.T) { testPlugins(t, pair) })
	}
}

func testPlugins(t *testing.T, pair pairing) {
	file := newOperatorsFile(t, twoPlugins,
		`on request { if event.class == "keyed-entry" { refuse("closed", 1s) }
			else if event.class == "harvest-entry" { while true { } } }`,
		`on request { tag("one")  set_header("X-Was", event.class) }`)
	var nodes seenByNodes
	reload := make(chan os.Signal)
	rig := start(t, Options{
		Front: pair.front, Nodes: pair.nodes, Operators: file.load, Reload: reload, Script: nodes.script,
	})
	client := startClient(t, rig)
	do := func(call peers.Call) peers.Result { return client.Do(t.Context(), call) }
	if got := do(Request(Entry, "a", Tenant(0))); got.Outcome != peers.Rejected || got.RetryAfter != time.Second {
		t.Errorf("out of season: %+v", got)
	}
	if got := do(Request(Once, "b", Tenant(0))); got.Outcome != peers.Rejected || got.RetryAfter <= 0 {
		t.Errorf("a failure, of a class that is rejected then: %+v", got)
	}
	forged := Request(Read, "c", Tenant(0))
	forged.Fields = map[string]string{"Request-Tags": "forged"}
	if got := do(forged); got.Outcome != peers.Served {
		t.Errorf("%+v", got)
	}
	if got := nodes.take(); got != "c one read" {
		t.Errorf("the nodes saw %q", got)
	}
	file.writeProgram(0, `on request { }`)
	file.writeProgram(1, `on request { tag(2) }`)
	reloadTwice(reload)
	if got := do(Request(Entry, "d", Tenant(0))); got.Outcome != peers.Rejected {
		t.Errorf("after a reload to a broken program: %+v", got)
	}
	file.writeProgram(1, `on request { tag("two") }`)
	reloadTwice(reload)
	if got := do(Request(Entry, "e", Tenant(0))); got.Outcome != peers.Served {
		t.Errorf("after a reload: %+v", got)
	}
	if got := nodes.take(); got != "e two " {
		t.Errorf("after a reload the nodes saw %q", got)
	}
}

// A reload with requests under way: each has one response, by one of the two sets.
func TestPluginsReloadUnderLoad(t *testing.T) {
	program := func(value int) string {
		return fmt.Sprintf(`on request { set_header("X-A", "%d")  set_header("X-B", "%d") }`, value, value)
	}
	file := newOperatorsFile(t, "[[plugin]]\nname = \"p\"\nfile = \"0.hook\"\nheaders = [\"X-*\"]\n", program(1))
	reload := make(chan os.Signal)
	rig := start(t, Options{Operators: file.load, Reload: reload, Slots: 64, Script: func(call peers.Call) peers.Response {
		if a, b := call.Field("X-A"), call.Field("X-B"); a != b || a == "" {
			return peers.Response{Action: peers.Error} // of two sets, or of none
		}
		return peers.Response{}
	}})
	client := startClient(t, rig)
	stop := keepSending(4, func(worker, i int) {
		call := Request(Read, fmt.Sprintf("%d-%d", worker, i), Tenant(0))
		if got := client.Do(context.Background(), call); got.Outcome != peers.Served {
			t.Errorf("%+v", got)
		}
	})
	for i := range 20 {
		file.writeProgram(0, program(i))
		reload <- syscall.SIGHUP
	}
	stop()
}
