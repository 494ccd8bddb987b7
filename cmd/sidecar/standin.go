package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os/signal"
	"syscall"
	"time"

	"mothridge/internal/peers"
)

// standinCommand holds the commands that run a stand-in.
type standinCommand struct {
	Eureka standinEureka `cmd:"" help:"Run a stand-in Eureka registry with the public REST API, on loopback."`
	Node   standinNode   `cmd:"" help:"Run a stand-in node that serves a sidecar's requests, on loopback."`
}

// checkLoopback checks that an address is on loopback, because a stand-in has no authentication.
func checkLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("--address must be a loopback address and a port, such as 127.0.0.1:7081, got %s: the stand-in has no authentication",
			address)
	}
	return nil
}

// waitForSignal waits for SIGINT or SIGTERM, at most for the given time.
func waitForSignal(timeout time.Duration) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

type standinNode struct {
	Address  string        `default:"127.0.0.1:7081" help:"Where to listen, a loopback address."`
	Name     string        `default:"" help:"Name of the node in its responses. Default: its address."`
	Protocol string        `enum:"http,rpc" default:"http" help:"Protocol of the node: http or rpc (MessagePack-RPC)."`
	Delay    time.Duration `default:"5ms" help:"Time until the response to a request."`
	Errors   int           `default:"0" help:"Percentage of requests that fail after they were executed."`
	Rejects  int           `name:"away" default:"0" help:"Percentage of requests that are rejected without being executed."`
	Hang     int           `default:"0" help:"Percentage of requests that never get a response."`
	Duration time.Duration `default:"1h" help:"Time after which the node ends by itself."`
}

// Run serves until a signal arrives or Duration has passed.
func (c *standinNode) Run() error {
	if err := checkLoopback(c.Address); err != nil {
		return err
	}
	if c.Errors < 0 || c.Rejects < 0 || c.Hang < 0 || c.Errors+c.Rejects+c.Hang > 100 {
		return fmt.Errorf("--errors, --away and --hang must not be negative and must sum to at most 100, got a sum of %d",
			c.Errors+c.Rejects+c.Hang)
	}
	protocol := peers.HTTP
	if c.Protocol == "rpc" {
		protocol = peers.RPC
	}
	name := cmp.Or(c.Name, c.Address)
	node, err := peers.StartUpstreamAt(c.Address, protocol, name, nil, func(call peers.Call) peers.Response {
		response := peers.Response{Delay: c.Delay, Body: fmt.Appendf(nil, "%s served %s\n", name, call.ID)}
		switch percentile := rand.IntN(100); {
		case percentile < c.Errors:
			response.Action = peers.Error
		case percentile < c.Errors+c.Rejects:
			response.Action = peers.Reject
		case percentile < c.Errors+c.Rejects+c.Hang:
			response.Action = peers.Hang
		}
		return response
	})
	if err != nil {
		return err
	}
	defer node.Close()
	fmt.Printf("stand-in node %s at %s, protocol %s, for %v\n", name, node.Addr(), protocol, c.Duration)
	waitForSignal(c.Duration)
	return nil
}

type standinEureka struct {
	Address  string        `default:"127.0.0.1:8761" help:"Where to listen, a loopback address."`
	Lease    time.Duration `default:"90s" help:"Time for which a lease lasts without renewal."`
	Duration time.Duration `default:"1h" help:"Time after which the registry ends by itself."`
}

// Run serves until a signal arrives or Duration has passed.
func (c *standinEureka) Run() error {
	if err := checkLoopback(c.Address); err != nil {
		return err
	}
	registry, err := peers.StartEureka(c.Address)
	if err != nil {
		return err
	}
	defer registry.Close()
	registry.SetLeaseDuration(c.Lease)
	fmt.Printf("stand-in Eureka registry at %s, for %v\n\n", registry.URL(), c.Duration)
	fmt.Printf("register     curl -X POST -H 'Content-Type: application/json' %s/apps/RECORDS -d \\\n", registry.URL())
	fmt.Println(`               '{"instance":{"instanceId":"r1","hostName":"127.0.0.1","app":"RECORDS","ipAddr":"127.0.0.1","status":"UP","port":{"$":8080,"@enabled":"true"},"dataCenterInfo":{"name":"MyOwn"}}}'`)
	fmt.Printf("drain        curl -X PUT '%s/apps/RECORDS/r1/status?value=OUT_OF_SERVICE'\n", registry.URL())
	fmt.Printf("end drain    curl -X DELETE '%s/apps/RECORDS/r1/status?value=UP'\n", registry.URL())
	fmt.Printf("list         curl -H 'Accept: application/json' %s/apps\n", registry.URL())
	waitForSignal(c.Duration)
	return nil
}
