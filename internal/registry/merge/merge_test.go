package merge

import (
	"context"
	"testing"
	"time"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/internal/registry/eureka"
	"mothridge/membership"
)

func TestMapping(t *testing.T) {
	m := Mapping{Zone: "zone", MachineType: "type", Cell: "cell", Weight: "weight", Protocol: "protocol", StartedAt: "started_ms"}
	i := eureka.Instance{
		ID: "r1", Host: "records.example.org", IP: "10.0.0.1", Port: 8080, SecurePort: 8443, Status: "UP", Dirty: 3, Updated: 4,
		Metadata: map[string]string{"zone": "b", "type": "m2", "cell": "c7", "weight": "1.5", "protocol": "msgpack-rpc", "started_ms": "1500"},
	}
	d, ok := m.instance(&i)
	want := membership.Instance{
		ID: "r1", Name: "r1", Addr: "10.0.0.1:8080", Status: membership.Up, Zone: "b", MachineType: "m2", Cell: "c7", Protocol: "msgpack-rpc",
		Weight: 1.5, StartedAt: 1500 * time.Millisecond, Dirty: 3, Updated: 4,
	}
	if !ok || d.Op != membership.Put || d.Instance != want {
		t.Errorf("got %+v %v", d, ok)
	}
	m.UseSecurePort = true
	if d, _ := m.instance(&i); d.Addr != "10.0.0.1:8443" {
		t.Errorf("at its secure port it is %s", d.Addr)
	}
	for name, change := range map[string]func(*eureka.Instance){
		"no port":    func(i *eureka.Instance) { i.SecurePort = 0 },
		"no address": func(i *eureka.Instance) { i.IP = "unknown" }, // there is no name service to ask for the host
	} {
		x := i
		change(&x)
		if d, ok := m.instance(&x); ok {
			t.Errorf("%s: %+v", name, d)
		}
	}
	for name, c := range map[string]struct {
		status, override string
		want             membership.Status
	}{
		"override":               {"UP", "OUT_OF_SERVICE", membership.OutOfService},
		"override lifted":        {"UP", "UNKNOWN", membership.Up},
		"override to UP":         {"DOWN", "UP", membership.Down}, // the stricter counts
		"a word of a later time": {"PARKED", "", membership.Unknown},
		"no word":                {"", "", membership.Unknown},
	} {
		x := i
		x.Status, x.Override = c.status, c.override
		if d, _ := m.instance(&x); d.Status != c.want {
			t.Errorf("%s: %v, want %v", name, d.Status, c.want)
		}
	}
	for key, value := range map[string]string{"weight": "-1", "started_ms": "soon"} {
		x := i
		x.Metadata = map[string]string{key: value}
		if d, _ := m.instance(&x); d.Weight != 1 || d.StartedAt != 0 {
			t.Errorf("%s=%s: weight %v, started %v", key, value, d.Weight, d.StartedAt)
		}
	}
}

// News of two sources become one list for the core, and the view tells why.
func TestMerging(t *testing.T) {
	set, err := membership.New(membership.Config{}, membership.Source{Name: "platform"}, membership.Source{Name: "eureka", Polled: true})
	if err != nil {
		t.Fatal(err)
	}
	news := make(chan core.EndpointUpdate, 10)
	m := New(set, func(n core.EndpointUpdate) { news <- n })
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		m.Run(ctx)
		close(ended)
	}()
	cell := 3
	m.UpdatePlatform(0, core.EndpointUpdate{Complete: true, Endpoints: []core.Endpoint{{Name: "s-1", Addr: "10.0.0.1:80", Zone: "a", Cell: &cell, Health: core.Up, Weight: 2}}})
	n := peertest.Await(t, "the platform's", news)
	if len(n.Endpoints) != 1 || n.Complete {
		t.Fatalf("news %+v", n)
	}
	first := n.Endpoints[0]
	if first.Host != "s-1" || first.Addr != "10.0.0.1:80" || *first.Cell != 3 || first.Health != core.Up || first.Weight != 2 || first.Zone != "a" {
		t.Errorf("instance %+v", first)
	}
	m.UpdateEureka(1, Mapping{Cell: "cell"}, eureka.News{Whole: true, Instances: []eureka.Instance{
		{ID: "s-1", IP: "10.0.0.1", Port: 80, Status: "OUT_OF_SERVICE"},
		{ID: "s-2", IP: "10.0.0.2", Port: 80, Status: "UP", Metadata: map[string]string{"cell": "north"}},
	}})
	n = peertest.Await(t, "the registry's", news)
	if len(n.Endpoints) != 2 || n.Endpoints[0].Name != first.Name || n.Endpoints[0].Health != core.Draining ||
		n.Endpoints[1].Health != core.Up || *n.Endpoints[1].Cell < firstCell {
		t.Errorf("news %+v", n)
	}
	m.UpdatePlatform(0, core.EndpointUpdate{Endpoints: []core.Endpoint{{Name: "s-3", Addr: "10.0.0.3:80", Health: core.Up}}})
	peertest.Await(t, "one more", news)
	m.UpdatePlatform(0, core.EndpointUpdate{Endpoints: []core.Endpoint{{Name: "s-3", Addr: "10.0.0.3:80", Health: core.Removed}}})
	if n = peertest.Await(t, "its end", news); len(n.Endpoints) != 1 || n.Endpoints[0].Health != core.Removed {
		t.Errorf("news %+v", n)
	}
	v, err := m.View(t.Context(), "", 10)
	if err != nil || len(v.Sources) != 2 || v.Sources[1].Live != 2 || v.Members[0].Reason != "OUT_OF_SERVICE by eureka" || len(v.Members[0].Claims) != 2 {
		t.Errorf("view %+v, %v", v, err)
	}
	cancel()
	peertest.Await(t, "the end", ended)
	if _, err := m.View(ctx, "", 10); err == nil {
		t.Error("a view after the end")
	}
}
