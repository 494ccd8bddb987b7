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

func runFargoJSON(ctx context.Context, env *environment, t *tally) error {
	return runRegistryClient(ctx, env, t, true)
}

func runFargoXML(ctx context.Context, env *environment, t *tally) error {
	return runRegistryClient(ctx, env, t, false)
}

// maxDrainDelay is how long after the sidecar has read that a node is out of service it may
// still send requests to the node.
const maxDrainDelay = 2 * time.Second

// runRegistryClient registers, drains and deregisters a node with another author's
// registry client while the sidecar, which reads the registry, is under load.
func runRegistryClient(ctx context.Context, env *environment, t *tally, asJSON bool) error {
	logging.SetLevel(logging.ERROR, "fargo")
	conn := fargo.NewConn(env.registry.URL())
	conn.UseJson = asJSON
	conn.Timeout = 5 * time.Second
	node := env.nodes[2]
	if !asJSON {
		node = env.nodes[3]
	}
	host, port, _ := net.SplitHostPort(node.Addr())
	portNumber, _ := strconv.Atoi(port)
	instance := &fargo.Instance{
		InstanceId: node.Name, HostName: host, App: "RECORDS", IPAddr: host, VipAddress: "records", SecureVipAddress: "records-safe",
		Status: fargo.UP, Port: portNumber, PortEnabled: true, DataCenterInfo: fargo.DataCenterInfo{Name: fargo.MyOwn}, CountryId: 1,
		LeaseInfo: fargo.LeaseInfo{RenewalIntervalInSecs: 30, DurationInSecs: 90}, UniqueID: func(i fargo.Instance) string { return i.InstanceId },
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() { runWorkers(4, 1, func(int, int) { sendUntilDone(loadCtx, env, t) }) })
	defer func() { stopLoad(); wg.Wait() }()

	steps := []struct {
		name string
		run  func() error
	}{
		{"register", func() error { return conn.RegisterInstance(instance) }},
		{"receive a request", func() error {
			return waitUntil(ctx, func() bool { return len(env.ledger.AttemptTimes(node.Name)) > 0 })
		}},
		{"heartbeat", func() error { return conn.HeartBeatInstance(instance) }},
		{"list all applications", func() error {
			apps, err := conn.GetApps()
			return firstError(err, errorUnless(err != nil || apps["RECORDS"] != nil, "got applications %v, want RECORDS among them", apps))
		}},
		{"list the application", func() error { return checkListed(&conn, instance, fargo.UP) }},
		{"list by VIP", func() error {
			instances, err := conn.GetInstancesByVIPAddress("records", false)
			secure, err2 := conn.GetInstancesByVIPAddress("records-safe", true)
			return firstError(err, err2, errorUnless(len(instances) == 1 && len(secure) == 1,
				"got %d instances by VIP and %d by secure VIP, want 1 each", len(instances), len(secure)))
		}},
		{"set metadata", func() error {
			if err := conn.AddMetadataString(instance, "zone", "a"); err != nil {
				return err
			}
			got, err := conn.GetInstance("RECORDS", node.Name)
			if err != nil {
				return err
			}
			zone, err := got.Metadata.GetString("zone")
			return firstError(err, errorUnless(zone == "a", "got zone %q, want a", zone))
		}},
		{"go out of service", func() error {
			if err := conn.UpdateInstanceStatus(instance, fargo.OUTOFSERVICE); err != nil {
				return err
			}
			drainedAt := time.Now()
			if err := checkListed(&conn, instance, fargo.OUTOFSERVICE); err != nil {
				return err
			}
			// The sidecar's next poll, the 2 s in which requests are allowed, and a period in which they are not.
			time.Sleep(maxDrainDelay + time.Second)
			late := 0
			for _, at := range env.ledger.AttemptTimes(node.Name) {
				if at.Sub(drainedAt) > maxDrainDelay+200*time.Millisecond { // the sidecar polls about every 100 ms
					late++
				}
			}
			return errorUnless(late == 0, "the node received %d requests more than 2 s after the sidecar read its status", late)
		}},
		{"return to service", func() error {
			before := len(env.ledger.AttemptTimes(node.Name))
			return firstError(conn.UpdateInstanceStatus(instance, fargo.UP),
				waitUntil(ctx, func() bool { return len(env.ledger.AttemptTimes(node.Name)) > before }))
		}},
		{"survive a registry that does not respond", func() error {
			env.registry.SetFault(peers.NoResponse)
			time.Sleep(500 * time.Millisecond)
			env.registry.SetFault(peers.NoFault)
			return nil
		}},
		{"be evicted and register again", func() error {
			env.registry.SetLeaseDuration(time.Nanosecond)
			err := conn.HeartBeatInstance(instance)
			env.registry.SetLeaseDuration(0)
			return firstError(errorUnless(err != nil, "the registry accepted a heartbeat after the lease expired, want an error"),
				conn.RegisterInstance(instance))
		}},
		{"deregister", func() error { return conn.DeregisterInstance(instance) }},
		{"be absent from the registry", func() error {
			_, err := conn.GetInstance("RECORDS", node.Name)
			return errorUnless(err != nil, "the registry still has the instance")
		}},
	}
	for _, step := range steps {
		if err := step.run(); err != nil {
			return fmt.Errorf("%s: %w", step.name, err)
		}
	}
	return t.requireAtLeast(served, "served", 1000)
}

// checkListed returns an error unless the instance is the application's only one and has the status.
func checkListed(conn *fargo.EurekaConnection, instance *fargo.Instance, status fargo.StatusType) error {
	app, err := conn.GetApp("RECORDS")
	if err != nil {
		return err
	}
	if len(app.Instances) != 1 || app.Instances[0].HostName != instance.HostName || app.Instances[0].Port != instance.Port ||
		app.Instances[0].Status != status {
		return fmt.Errorf("RECORDS has unexpected instances: %+v", app.Instances)
	}
	return nil
}

// sendUntilDone sends HTTP requests one after another until the context ends. It waits
// for the response to the last one.
func sendUntilDone(ctx context.Context, env *environment, t *tally) {
	client := &http.Client{Transport: new(http.Transport)}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		t.add(sent)
		id := env.newRequestID()
		req, err := http.NewRequest("POST", "http://"+env.httpAddr+"/api", nil) // without ctx: the request completes even if ctx ends
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
		t.add(httpOutcome(resp.StatusCode, resp.Header.Get("Retry-After"), string(body), id))
	}
}

// waitUntil polls a condition until it is true. It returns an error after 10 s or when ctx ends.
func waitUntil(ctx context.Context, condition func() bool) error {
	for end := time.Now().Add(10 * time.Second); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) || ctx.Err() != nil {
			return fmt.Errorf("the condition was not met within 10 s or before the context ended")
		}
	}
	return nil
}
