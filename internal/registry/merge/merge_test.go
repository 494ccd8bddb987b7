package merge

import (
	"context"
	"testing"

	"mothridge/internal/core"
	"mothridge/internal/peers/peertest"
	"mothridge/internal/registry/eureka"
	"mothridge/membership"
)

// The indexes of the two sources of a test's Merger.
const (
	platformSource = 0
	eurekaSource   = 1
)

// startMerger runs a Merger with two sources until stop is called. ended is closed once Run has
// returned.
func startMerger(t *testing.T) (
	merger *Merger, updates <-chan core.EndpointUpdate, stop func(), ended <-chan struct{},
) {
	t.Helper()
	set, err := membership.New(membership.Config{},
		membership.Source{Name: "platform"}, membership.Source{Name: "eureka", Polled: true})
	if err != nil {
		t.Fatal(err)
	}
	published, done := make(chan core.EndpointUpdate, 10), make(chan struct{})
	merger = New(set, func(update core.EndpointUpdate) { published <- update })
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		merger.Run(ctx)
		close(done)
	}()
	return merger, published, cancel, done
}

// Updates from two sources are merged into one endpoint list for the core, with the stricter
// status of the two, and the view contains the reason and the claims of both sources.
func TestMergeTwoSources(t *testing.T) {
	merger, updates, stop, ended := startMerger(t)
	cell := 3
	merger.UpdatePlatform(platformSource, core.EndpointUpdate{Complete: true, Endpoints: []core.Endpoint{
		{Name: "s-1", Addr: "10.0.0.1:80", Zone: "a", Cell: &cell, Health: core.Ready, Weight: 2},
	}})
	update := peertest.Await(t, "the platform's update", updates)
	if len(update.Endpoints) != 1 || update.Complete {
		t.Fatalf("got %+v, want a delta with one endpoint", update)
	}
	first := update.Endpoints[0]
	if first.Host != "s-1" || first.Addr != "10.0.0.1:80" || *first.Cell != 3 || first.Health != core.Ready ||
		first.Weight != 2 || first.Zone != "a" {
		t.Errorf("got the endpoint %+v, want s-1 as the platform reported it", first)
	}
	merger.UpdateEureka(eurekaSource, MetadataMapping{Cell: "cell"}, eureka.Update{Complete: true, Instances: []eureka.Instance{
		{ID: "s-1", IP: "10.0.0.1", Port: 80, Status: "OUT_OF_SERVICE"},
		{ID: "s-2", IP: "10.0.0.2", Port: 80, Status: "UP", Metadata: map[string]string{"cell": "north"}},
	}})
	update = peertest.Await(t, "the registry's update", updates)
	if len(update.Endpoints) != 2 {
		t.Fatalf("got %+v, want two endpoints", update)
	}
	if drained := update.Endpoints[0]; drained.Name != first.Name || drained.Health != core.Draining {
		t.Errorf("the platform's endpoint: got %+v, want the same name and Draining", drained)
	}
	if second := update.Endpoints[1]; second.Health != core.Ready || *second.Cell < firstAssignedCell {
		t.Errorf("the registry's endpoint: got %+v, want Ready and an assigned cell number", second)
	}
	added := core.Endpoint{Name: "s-3", Addr: "10.0.0.3:80", Health: core.Ready}
	merger.UpdatePlatform(platformSource, core.EndpointUpdate{Endpoints: []core.Endpoint{added}})
	peertest.Await(t, "the update with the added endpoint", updates)
	removed := added
	removed.Health = core.Removed
	merger.UpdatePlatform(platformSource, core.EndpointUpdate{Endpoints: []core.Endpoint{removed}})
	update = peertest.Await(t, "the update with the removal", updates)
	if len(update.Endpoints) != 1 || update.Endpoints[0].Health != core.Removed {
		t.Errorf("got %+v, want one removed endpoint", update)
	}
	view, err := merger.View(t.Context(), "", 10)
	if err != nil || len(view.Sources) != 2 || view.Sources[eurekaSource].Live != 2 ||
		view.Members[0].Reason != "OUT_OF_SERVICE by eureka" || len(view.Members[0].Claims) != 2 {
		t.Errorf("got the view %+v, error %v", view, err)
	}
	stop()
	peertest.Await(t, "the end of Run", ended)
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := merger.View(canceled, "", 10); err == nil {
		t.Error("View after the end of Run returned no error")
	}
}
