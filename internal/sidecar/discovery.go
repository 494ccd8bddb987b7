package sidecar

import (
	"cmp"
	"context"
	"fmt"

	"mothridge/internal/core"
	"mothridge/internal/operator"
	"mothridge/internal/registry/eureka"
	"mothridge/internal/registry/merge"
	"mothridge/internal/registry/platform"
	"mothridge/membership"
)

// followSources starts to follow the sources of the endpoint list. Where the platform's
// discovery is the only one, its updates go to the core as they come; else the membership
// package merges them.
func (s *service) followSources(running context.Context) error {
	update := s.core.Update
	if s.plugins != nil {
		update = func(u core.EndpointUpdate) { s.core.Update(s.plugins.Members(u)) }
	}
	if s.config.Operator.Merges() {
		var err error
		if update, err = s.startMerger(running, update); err != nil {
			return err
		}
		if !s.config.Operator.UsesPlatform() {
			return nil
		}
	}
	s.followPlatform(running, update)
	return nil
}

// followPlatform follows the platform's discovery in a goroutine that ends with running.
func (s *service) followPlatform(running context.Context, update func(core.EndpointUpdate)) {
	s.discovery = platform.New(s.config.Discovery, s.config.Known, update)
	if s.config.Policy.WatchOnRequest {
		s.discovery.WatchOnRequest(s.core.WatchRequests(), s.core.UpdateFailed, s.config.Seed)
	}
	go s.discovery.Run(running)
}

// startMerger merges all sources and follows those of the operators' file. It returns what
// takes the platform's updates; update takes the merged ones.
func (s *service) startMerger(running context.Context, update func(core.EndpointUpdate)) (func(core.EndpointUpdate), error) {
	set, err := s.config.newMembership()
	if err != nil {
		return nil, err
	}
	s.merger = merge.New(set, update)
	s.background.Go(func() { s.merger.Run(running) })
	const platformSource = 0
	next := platformSource
	if s.config.Operator.UsesPlatform() {
		next++
		if s.config.Known != nil {
			s.merger.UpdatePlatform(platformSource, s.config.Known.EndpointUpdate())
		}
	}
	if err := s.followOperatorSources(running, next); err != nil {
		return nil, err
	}
	return func(u core.EndpointUpdate) { s.merger.UpdatePlatform(platformSource, u) }, nil
}

// newMembership makes the merged view of all sources; they are numbered in this order.
func (c *Config) newMembership() (*membership.Set, error) {
	var sources []membership.Source
	if c.Operator.UsesPlatform() {
		sources = append(sources, membership.Source{Name: "platform"})
	}
	for _, e := range c.Operator.Eureka {
		sources = append(sources, membership.Source{Name: e.Name, Polled: true})
	}
	for _, l := range c.Operator.Static {
		sources = append(sources, membership.Source{Name: l.Name})
	}
	bounds := &c.Operator.Membership
	return membership.New(membership.Config{
		MaxLoss:           float64(bounds.MaxLoss),
		LossWindow:        bounds.LossWindow.Value(),
		LossHold:          bounds.LossHold.Value(),
		SilentAfter:       bounds.SilentAfter.Value(),
		TombstoneLifetime: bounds.TombstoneLifetime.Value(),
		StaleUpdateHold:   bounds.StaleUpdateHold.Value(),
		NewProcessPeriod:  bounds.NewProcessPeriod.Value(),
		MaxNodes:          c.maxNodes(),
	}, sources...)
}

// followOperatorSources starts the registries and fixed lists of the operators' file;
// number is the first one's.
func (s *service) followOperatorSources(running context.Context, number int) error {
	for i := range s.config.Operator.Eureka {
		registry := &s.config.Operator.Eureka[i]
		if err := s.followEureka(running, registry, number, s.config.Seed+uint64(i)); err != nil {
			return err
		}
		number++
	}
	for i := range s.config.Operator.Static {
		s.merger.SetStatic(number, staticInstances(&s.config.Operator.Static[i]))
		number++
	}
	return nil
}

// followEureka follows one registry as source number, in a goroutine that ends with running.
func (s *service) followEureka(running context.Context, registry *operator.Eureka, number int, seed uint64) error {
	mapping := merge.Mapping{
		Zone:          registry.Metadata.Zone,
		MachineType:   registry.Metadata.MachineType,
		Cell:          registry.Metadata.Cell,
		Weight:        registry.Metadata.Weight,
		Protocol:      registry.Metadata.Protocol,
		StartedAt:     registry.Metadata.StartedAtMS,
		UseSecurePort: registry.UseSecurePort,
	}
	client, err := eureka.NewClient(eureka.Config{
		Replicas:      registry.URLs(),
		Apps:          registry.Apps,
		VIPs:          registry.VIPs,
		XML:           registry.Format == operator.XML,
		Interval:      registry.Interval.Value(),
		Timeout:       registry.Timeout.Value(),
		MaxResponseMB: int(registry.MaxResponseMB),
		KeepMetadata:  mapping.UsesKey,
		Seed:          seed,
	}, func(u eureka.Update) { s.merger.UpdateEureka(number, mapping, u) })
	if err != nil {
		return fmt.Errorf("registry %s: %w", registry.Name, err)
	}
	s.background.Go(func() { client.Run(running) })
	return nil
}

func staticInstances(list *operator.Static) []membership.Instance {
	instances := make([]membership.Instance, 0, len(list.Addresses))
	for _, address := range list.Addresses {
		addr := string(address)
		instances = append(instances, membership.Instance{
			ID: addr, Name: list.Name + "/" + addr, Addr: addr, Zone: list.Zone, MachineType: list.MachineType, Weight: 1,
		})
	}
	return instances
}

// register registers the sidecar itself where the operators' file says so, until registered ends.
func (s *service) register(registered context.Context) error {
	for i := range s.config.Operator.Eureka {
		registry := &s.config.Operator.Eureka[i]
		if registry.Register.App == "" {
			continue
		}
		registrar, err := eureka.NewRegistrar(eureka.Registration{
			Replicas:      registry.URLs(),
			App:           registry.Register.App,
			VIP:           registry.Register.VIP,
			Addr:          cmp.Or(string(registry.Register.Address), s.config.Listen),
			Metadata:      registry.Register.Metadata,
			RenewInterval: registry.Register.Renew.Value(),
			Timeout:       registry.Timeout.Value(),
			Ready:         s.core.Ready,
		})
		if err != nil {
			return fmt.Errorf("registry %s: %w", registry.Name, err)
		}
		s.background.Go(func() { registrar.Run(registered) })
	}
	return nil
}
