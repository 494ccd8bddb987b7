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

// standinCommand runs one of the stand-ins.
type standinCommand struct {
	Eureka standinEureka `cmd:"" help:"A Eureka registry by its public REST API, on loopback."`
	Node   standinNode   `cmd:"" help:"A node that serves what a sidecar sends it, on loopback."`
}

// loopback checks an address for a stand-in, which has no authentication.
func loopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("--address %s: a loopback address and a port are meant, such as 127.0.0.1:7081: the stand-in asks nobody who he is", address)
	}
	return nil
}

// waitForSignal waits for a signal, for d at the most.
func waitForSignal(d time.Duration) {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

type standinNode struct {
	Address  string        `default:"127.0.0.1:7081" help:"Where to listen, a loopback address."`
	Name     string        `default:"" help:"What it calls itself in its answers; its address by default."`
	Protocol string        `enum:"http,rpc" default:"http" help:"What it speaks: http or rpc (MessagePack-RPC)."`
	Delay    time.Duration `default:"5ms" help:"How long it takes for a request."`
	Errors   int           `default:"0" help:"How many of 100 requests it fails, after it ran them."`
	Away     int           `default:"0" help:"How many of 100 requests it turns away."`
	Hang     int           `default:"0" help:"How many of 100 requests it never answers."`
	Duration time.Duration `default:"1h" help:"It ends by itself after this."`
}

// Run serves until a signal or the end of its time.
func (c *standinNode) Run() error {
	if err := loopback(c.Address); err != nil {
		return err
	}
	if c.Errors < 0 || c.Away < 0 || c.Hang < 0 || c.Errors+c.Away+c.Hang > 100 {
		return fmt.Errorf("--errors, --away and --hang are parts of 100 requests: %d in all", c.Errors+c.Away+c.Hang)
	}
	protocol := peers.HTTP
	if c.Protocol == "rpc" {
		protocol = peers.RPC
	}
	name := cmp.Or(c.Name, c.Address)
	n, err := peers.StartUpstreamAt(c.Address, protocol, name, nil, func(call peers.Call) peers.Response {
		a := peers.Response{Delay: c.Delay, Body: fmt.Appendf(nil, "%s served %s\n", name, call.ID)}
		switch x := rand.IntN(100); {
		case x < c.Errors:
			a.Action = peers.Error
		case x < c.Errors+c.Away:
			a.Action = peers.Reject
		case x < c.Errors+c.Away+c.Hang:
			a.Action = peers.Hang
		}
		return a
	})
	if err != nil {
		return err
	}
	defer n.Close()
	fmt.Printf("a stand-in node %s at %s over %s for %v\n", name, n.Addr(), protocol, c.Duration)
	waitForSignal(c.Duration)
	return nil
}

type standinEureka struct {
	Address  string        `default:"127.0.0.1:8761" help:"Where to listen, a loopback address."`
	Lease    time.Duration `default:"90s" help:"How long a lease lasts without renewal."`
	Duration time.Duration `default:"1h" help:"It ends by itself after this."`
}

// Run serves until a signal or the end of its time.
func (c *standinEureka) Run() error {
	if err := loopback(c.Address); err != nil {
		return err
	}
	e, err := peers.StartEureka(c.Address)
	if err != nil {
		return err
	}
	defer e.Close()
	e.SetLeaseDuration(c.Lease)
	fmt.Printf("a stand-in Eureka registry at %s for %v\n\n", e.URL(), c.Duration)
	fmt.Printf("register   curl -X POST -H 'Content-Type: application/json' %s/apps/RECORDS -d \\\n", e.URL())
	fmt.Println(`             '{"instance":{"instanceId":"r1","hostName":"127.0.0.1","app":"RECORDS","ipAddr":"127.0.0.1","status":"UP","port":{"$":8080,"@enabled":"true"},"dataCenterInfo":{"name":"MyOwn"}}}'`)
	fmt.Printf("take out   curl -X PUT '%s/apps/RECORDS/r1/status?value=OUT_OF_SERVICE'\n", e.URL())
	fmt.Printf("put back   curl -X DELETE '%s/apps/RECORDS/r1/status?value=UP'\n", e.URL())
	fmt.Printf("look       curl -H 'Accept: application/json' %s/apps\n", e.URL())
	waitForSignal(c.Duration)
	return nil
}
