package sidecar

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/url"
	"sync"

	"mothridge/internal/admin"
	"mothridge/internal/core"
	"mothridge/internal/metrics"
	"mothridge/internal/operator"
	"mothridge/internal/quotas"
	"mothridge/internal/registry/eureka"
	"mothridge/internal/registry/merge"
	"mothridge/internal/registry/platform"
	"mothridge/membership"
)

// follow starts to follow the sources of the list. Where the platform's
// discovery is the only one its news go to the core as they come; else the
// membership module merges them. It returns the platform's, if that is one.
func (c *Config) follow(ctx context.Context, k *core.Core, update func(core.EndpointUpdate), loops *sync.WaitGroup) (*platform.Discovery, *merge.Merger, error) {
	o := &c.Operator
	var m *merge.Merger
	if o.Merges() {
		var err error
		if m, err = c.merger(update); err != nil {
			return nil, nil, err
		}
		loops.Go(func() { m.Run(ctx) })
		number := 0
		if o.UsesPlatform() {
			number++
			if c.Known != nil {
				m.UpdatePlatform(0, c.Known.EndpointUpdate())
			}
			update = func(n core.EndpointUpdate) { m.UpdatePlatform(0, n) }
		}
		if err := c.followOthers(ctx, m, number, loops); err != nil {
			return nil, nil, err
		}
		if !o.UsesPlatform() {
			return nil, m, nil
		}
	}
	d := platform.New(c.Discovery, c.Known, update)
	if c.Policy.WatchOnRequest {
		d.WatchOnRequest(k.WatchRequests(), k.UpdateFailed, c.Seed)
	}
	go d.Run(ctx)
	return d, m, nil
}

// register starts to register the sidecar where the operators' file says so.
// leave ends the registrations.
func (c *Config) register(leave context.Context, k *core.Core, loops *sync.WaitGroup) error {
	for i := range c.Operator.Eureka {
		e := &c.Operator.Eureka[i]
		if e.Register.App == "" {
			continue
		}
		r, err := eureka.NewRegistrar(eureka.Registration{
			Replicas: e.URLs(), App: e.Register.App, VIP: e.Register.VIP, Addr: cmp.Or(string(e.Register.Address), c.Listen),
			Metadata: e.Register.Metadata, RenewInterval: e.Register.Renew.Value(), Timeout: e.Timeout.Value(), Ready: k.Ready,
		})
		if err != nil {
			return fmt.Errorf("registry %s: %w", e.Name, err)
		}
		loops.Go(func() { r.Run(leave) })
	}
	return nil
}

// membersPage is how many nodes one answer of the admin socket holds.
const membersPage = 250

// administer opens the socket that the operators' commands ask at, if there is one.
func (c *Config) administer(m *merge.Merger, shares *quotas.Gate, figures *metrics.Metrics, loops *sync.WaitGroup) (end func(), err error) {
	if c.Operator.Admin.Socket == "" {
		return func() {}, nil
	}
	questions := make(map[string]admin.Question)
	if m != nil {
		questions["members"] = func(ctx context.Context, q url.Values) (any, error) {
			return m.View(ctx, q.Get("after"), membersPage) // a page at a time, as the list may be long
		}
	}
	if shares != nil {
		questions["quotas"] = func(context.Context, url.Values) (any, error) { return shares.View(), nil }
	}
	pages := make(map[string]http.Handler)
	if figures != nil {
		pages["metrics"] = figures
	}
	s, err := admin.Listen(c.Operator.Admin.Socket, questions, pages)
	if err != nil {
		return nil, err
	}
	loops.Go(func() {
		if err := s.Serve(); err != nil {
			slog.Error("admin", "err", err)
		}
	})
	return s.Close, nil
}

const (
	// nodeBytes is what a node takes in all modules together, measured at 10,000 of
	// them (docs/benchmarks.md), with what the list needs while it is read for the
	// first time.
	nodeBytes = 2200
	// withoutNodes is what the program takes before the first of them, with some
	// room for requests.
	withoutNodes = 16 << 20
	leastNodes   = 500
)

// mostNodes is how many nodes a source may list: what the operators say, or
// else what the memory of this process holds.
func (c *Config) mostNodes() int {
	if n := int(c.Operator.Membership.Most); n > 0 {
		return n
	}
	if c.Limits.MemoryMB <= 0 {
		return membership.DefaultMaxNodes
	}
	fit := (c.Limits.MemoryMB<<20 - withoutNodes) / nodeBytes
	return int(min(max(fit, leastNodes), membership.DefaultMaxNodes))
}

// merger makes the one for the sources of the operators' file.
func (c *Config) merger(update func(core.EndpointUpdate)) (*merge.Merger, error) {
	o := &c.Operator
	var sources []membership.Source
	if o.UsesPlatform() {
		sources = append(sources, membership.Source{Name: "platform"})
	}
	for _, e := range o.Eureka {
		sources = append(sources, membership.Source{Name: e.Name, Polled: true})
	}
	for _, s := range o.Static {
		sources = append(sources, membership.Source{Name: s.Name})
	}
	b := &o.Membership
	set, err := membership.New(membership.Config{
		MaxLoss: float64(b.MaxLoss), LossWindow: b.Window.Value(), LossHold: b.HoldFor.Value(), SilentAfter: b.Silent.Value(),
		TombstoneLifetime: b.Tombstone.Value(), StaleUpdateHold: b.Settle.Value(), NewProcessPeriod: b.Fresh.Value(), MaxNodes: c.mostNodes(),
	}, sources...)
	if err != nil {
		return nil, err
	}
	return merge.New(set, update), nil
}

// followOthers starts those of the operators' file; number is the first one's.
func (c *Config) followOthers(ctx context.Context, m *merge.Merger, number int, loops *sync.WaitGroup) error {
	for i := range c.Operator.Eureka {
		e, source := &c.Operator.Eureka[i], number
		number++
		mapping := merge.Mapping{
			Zone: e.Metadata.Site, MachineType: e.Metadata.Kind, Cell: e.Metadata.Cell, Weight: e.Metadata.Weight,
			Protocol: e.Metadata.Protocol, StartedAt: e.Metadata.Started, UseSecurePort: e.Secure,
		}
		client, err := eureka.NewClient(eureka.Config{
			Replicas: e.URLs(), Apps: e.Apps, VIPs: e.VIPs, XML: e.Format == operator.XML,
			Interval: e.Interval.Value(), Timeout: e.Timeout.Value(), MaxResponseMB: int(e.MostMB), KeepMetadata: mapping.UsesKey, Seed: c.Seed + uint64(i),
		}, func(n eureka.Update) { m.UpdateEureka(source, mapping, n) })
		if err != nil {
			return fmt.Errorf("registry %s: %w", e.Name, err)
		}
		loops.Go(func() { client.Run(ctx) })
	}
	for i := range c.Operator.Static {
		m.SetStatic(number, staticList(&c.Operator.Static[i]))
		number++
	}
	return nil
}

func staticList(s *operator.Static) []membership.Instance {
	list := make([]membership.Instance, 0, len(s.Nodes))
	for _, a := range s.Nodes {
		addr := string(a)
		list = append(list, membership.Instance{ID: addr, Name: s.Name + "/" + addr, Addr: addr, Zone: s.Site, MachineType: s.Kind, Weight: 1})
	}
	return list
}
