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

// followSources starts to follow the sources of the endpoint list until ctx ends. If the platform's
// discovery is the only source, its updates go to the core unchanged. Otherwise package membership
// merges the updates of all sources.
func (s *service) followSources(ctx context.Context) error {
	update := s.core.Update
	if s.plugins != nil {
		update = func(u core.EndpointUpdate) { s.core.Update(s.plugins.Members(u)) }
	}
	if s.config.Operator.Merges() {
		var err error
		if update, err = s.startMerger(ctx, update); err != nil {
			return err
		}
		if !s.config.Operator.UsesPlatform() {
			return nil
		}
	}
	s.followPlatform(ctx, update)
	return nil
}

// followPlatform follows the platform's discovery in a goroutine that ends with ctx.
func (s *service) followPlatform(ctx context.Context, update func(core.EndpointUpdate)) {
	s.discovery = platform.New(s.config.Discovery, s.config.CachedList, update)
	if s.config.Policy.WatchOnRequest {
		s.discovery.WatchOnRequest(s.core.WatchRequests(), s.core.UpdateFailed, s.config.Seed)
	}
	go s.discovery.Run(ctx)
}

// startMerger starts the merger of all sources and follows the sources of the operators' file until
// ctx ends. The merger calls update with each merged update. The returned function passes the
// updates of the platform's discovery to the merger.
func (s *service) startMerger(ctx context.Context, update func(core.EndpointUpdate)) (func(core.EndpointUpdate), error) {
	set, err := s.config.newMembership()
	if err != nil {
		return nil, err
	}
	s.merger = merge.New(set, update)
	s.background.Go(func() { s.merger.Run(ctx) })
	const platformSource = 0
	firstOperatorSource := platformSource
	if s.config.Operator.UsesPlatform() {
		firstOperatorSource++
		if s.config.CachedList != nil {
			s.merger.UpdatePlatform(platformSource, s.config.CachedList.EndpointUpdate())
		}
	}
	if err := s.followOperatorSources(ctx, firstOperatorSource); err != nil {
		return nil, err
	}
	return func(u core.EndpointUpdate) { s.merger.UpdatePlatform(platformSource, u) }, nil
}

// newMembership returns the merged view of all sources. The sources are numbered in this order: the
// platform's discovery, the Eureka registries, the static lists.
func (c *Config) newMembership() (*membership.Set, error) {
	var sources []membership.Source
	if c.Operator.UsesPlatform() {
		sources = append(sources, membership.Source{Name: "platform", Authoritative: true})
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
		MaxInstances:      c.maxInstances(),
	}, sources...)
}

// followOperatorSources follows the registries of the operators' file until ctx ends, and adds the
// static lists of the file. The first source gets number, each later source the next number.
func (s *service) followOperatorSources(ctx context.Context, number int) error {
	for i := range s.config.Operator.Eureka {
		registry := &s.config.Operator.Eureka[i]
		if err := s.followEureka(ctx, registry, number, s.config.Seed+uint64(i)); err != nil {
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

// followEureka follows one Eureka registry as the source with the given number, in a goroutine that
// ends with ctx.
func (s *service) followEureka(ctx context.Context, registry *operator.Eureka, number int, seed uint64) error {
	mapping := merge.MetadataMapping{
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
	s.background.Go(func() { client.Run(ctx) })
	return nil
}

// staticInstances returns the instances of a static list. The address of each is also its ID.
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

// register registers the sidecar with each registry for which the operators' file sets an
// application name. One goroutine per registry renews the registration until ctx ends.
func (s *service) register(ctx context.Context) error {
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
		s.background.Go(func() { registrar.Run(ctx) })
	}
	return nil
}
