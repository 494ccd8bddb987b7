package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hudl/fargo"
	"github.com/op/go-logging"

	"mothridge/internal/peers"
)

func fargoJSON(ctx context.Context, w *world, t *tally) error { return registered(ctx, w, t, true) }

func fargoXML(ctx context.Context, w *world, t *tally) error { return registered(ctx, w, t, false) }

// drainWithin is how long after the news of a drain a node may still be sent something.
const drainWithin = 2 * time.Second

// registered lets a node come and go by a registry client of other people while
// the sidecar, which follows the registry, is under load.
func registered(ctx context.Context, w *world, t *tally, asJSON bool) error {
	logging.SetLevel(logging.ERROR, "fargo")
	e := fargo.NewConn(w.registry.URL())
	e.UseJson = asJSON
	e.Timeout = 5 * time.Second
	node := w.nodes[2]
	if !asJSON {
		node = w.nodes[3]
	}
	host, port, _ := net.SplitHostPort(node.Addr())
	number, _ := strconv.Atoi(port)
	instance := &fargo.Instance{
		InstanceId: node.Name, HostName: host, App: "RECORDS", IPAddr: host, VipAddress: "records", SecureVipAddress: "records-safe",
		Status: fargo.UP, Port: number, PortEnabled: true, DataCenterInfo: fargo.DataCenterInfo{Name: fargo.MyOwn}, CountryId: 1,
		LeaseInfo: fargo.LeaseInfo{RenewalIntervalInSecs: 30, DurationInSecs: 90}, UniqueID: func(i fargo.Instance) string { return i.InstanceId },
	}
	load, over := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { together(4, 1, func(int, int) { ask(load, w, t) }) })
	defer func() { over(); wg.Wait() }()

	steps := []struct {
		name string
		do   func() error
	}{
		{"register", func() error { return e.RegisterInstance(instance) }},
		{"be sent something", func() error {
			return wait(ctx, func() bool { return len(w.ledger.AttemptTimes(node.Name)) > 0 })
		}},
		{"heartbeat", func() error { return e.HeartBeatInstance(instance) }},
		{"list the apps", func() error {
			apps, err := e.GetApps()
			return firstOf(err, must(err != nil || apps["RECORDS"] != nil, "no RECORDS among %v", apps))
		}},
		{"list the app", func() error { return listed(&e, instance, fargo.UP) }},
		{"list by VIP", func() error {
			all, err := e.GetInstancesByVIPAddress("records", false)
			safe, err2 := e.GetInstancesByVIPAddress("records-safe", true)
			return firstOf(err, err2, must(len(all) == 1 && len(safe) == 1, "%d and %d by their VIPs", len(all), len(safe)))
		}},
		{"set metadata", func() error {
			if err := e.AddMetadataString(instance, "zone", "a"); err != nil {
				return err
			}
			got, err := e.GetInstance("RECORDS", node.Name)
			if err != nil {
				return err
			}
			zone, err := got.Metadata.GetString("zone")
			return firstOf(err, must(zone == "a", "zone is %q", zone))
		}},
		{"go out of service", func() error {
			if err := e.UpdateInstanceStatus(instance, fargo.OUTOFSERVICE); err != nil {
				return err
			}
			told := time.Now()
			if err := listed(&e, instance, fargo.OUTOFSERVICE); err != nil {
				return err
			}
			time.Sleep(drainWithin + time.Second) // a poll, 2 s, and a while in which nothing may come
			late := 0
			for _, at := range w.ledger.AttemptTimes(node.Name) {
				if at.Sub(told) > drainWithin+200*time.Millisecond { // it polls every 100 ms or so
					late++
				}
			}
			return must(late == 0, "%d requests reached it over 2 s after the sidecar heard", late)
		}},
		{"come back", func() error {
			before := len(w.ledger.AttemptTimes(node.Name))
			return firstOf(e.UpdateInstanceStatus(instance, fargo.UP), wait(ctx, func() bool { return len(w.ledger.AttemptTimes(node.Name)) > before }))
		}},
		{"outlive the registry's silence", func() error {
			w.registry.SetFault(peers.NoResponse)
			time.Sleep(500 * time.Millisecond)
			w.registry.SetFault(peers.NoFault)
			return nil
		}},
		{"be evicted and told to register anew", func() error {
			w.registry.SetLeaseDuration(time.Nanosecond)
			err := e.HeartBeatInstance(instance)
			w.registry.SetLeaseDuration(0)
			return firstOf(must(err != nil, "its heartbeat was taken"), e.RegisterInstance(instance))
		}},
		{"deregister", func() error { return e.DeregisterInstance(instance) }},
		{"be gone", func() error {
			_, err := e.GetInstance("RECORDS", node.Name)
			return must(err != nil, "it is still there")
		}},
	}
	for _, s := range steps {
		if err := s.do(); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return t.want(served, "served", 1000)
}

// listed sees that the app has the instance alone, in that status.
func listed(e *fargo.EurekaConnection, i *fargo.Instance, status fargo.StatusType) error {
	app, err := e.GetApp("RECORDS")
	if err != nil {
		return err
	}
	if len(app.Instances) != 1 || app.Instances[0].HostName != i.HostName || app.Instances[0].Port != i.Port || app.Instances[0].Status != status {
		return fmt.Errorf("RECORDS holds %+v", app.Instances)
	}
	return nil
}

// ask asks over HTTP until the context ends.
func ask(ctx context.Context, w *world, t *tally) {
	client := &http.Client{Transport: new(http.Transport)}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		t.add(asked)
		id := w.id()
		req, err := http.NewRequest("POST", "http://"+w.http+"/api", nil) // goes on to its end, whatever the context
		if err != nil {
			t.add(lost)
			return
		}
		req.Header.Set("Request-Id", id)
		req.Header.Set("Request-Class", "entry")
		req.Header.Set("Request-Timeout", "1.5")
		resp, err := client.Do(req)
		if err != nil {
			t.add(lost)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.add(lost)
			continue
		}
		t.add(outcome(resp.StatusCode, resp.Header.Get("Retry-After"), string(body), id))
	}
}

// wait waits until something holds.
func wait(ctx context.Context, is func() bool) error {
	for end := time.Now().Add(10 * time.Second); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("waited in vain")
		}
	}
	return nil
}
