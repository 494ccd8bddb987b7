package sidecar

import (
	"errors"
	"log/slog"

	"mothridge/internal/operator"
)

// errNoPlatformFile means that the operators' file alone configures the sidecar, so there is no
// platform's file to reload.
var errNoPlatformFile = errors.New("configured by the operators' file alone; applying its changes requires a restart")

// reload applies plug-ins and quotas from the operators' file, and the address of discovery from
// the platform's file. Errors are logged, and the part with the error keeps its old configuration.
func (s *service) reload() {
	s.reloadOperatorFile()
	standalone := s.config.Operator.Sidecar != nil
	if standalone && (s.plugins != nil || s.quotas != nil) {
		return // there is no platform's file, and the operators' file was reloaded
	}
	oldAddress := s.config.Discovery
	if err := s.config.reloadDiscovery(); err != nil {
		slog.Error("configuration reload failed; keeping the previous configuration", "err", err)
		return
	}
	if s.config.Discovery != oldAddress && s.discovery != nil {
		s.discovery.SetAddress(s.config.Discovery)
	}
}

// reloadOperatorFile applies the plug-ins of the operators' file, all of them or none, and its
// quotas, each only if the sidecar started with some. Adding the first plug-in, adding the first
// quota or removing all quotas requires a restart.
func (s *service) reloadOperatorFile() {
	if s.plugins == nil && s.quotas == nil || s.config.Operator.Path() == "" {
		return
	}
	file, err := operator.Load(s.config.Operator.Path())
	if err != nil {
		slog.Error("reload of the operators' file failed; keeping the previous plug-ins and quotas", "err", err)
		return
	}
	if err := s.reloadQuotas(file); err != nil {
		slog.Error("quota reload failed; keeping the previous quotas", "err", err)
	}
	if s.plugins == nil {
		return
	}
	if err := s.plugins.Load(pluginSpecs(file)); err != nil {
		slog.Error("plug-in reload failed; keeping the previous plug-ins", "err", err)
		return
	}
	slog.Info("plug-ins reloaded", "number", len(file.Plugins))
}

// reloadDiscovery applies the address of discovery from the platform's file. It ignores
// ROUTER_DISCOVERY: the environment cannot have changed since the start. On an error c is unchanged.
func (c *Config) reloadDiscovery() error {
	if c.platformFile == "" {
		return errNoPlatformFile
	}
	reloaded, err := readConfig(c.platformFile)
	if err != nil {
		return err
	}
	if err := reloaded.checkDiscovery(); err != nil {
		return err
	}
	c.Discovery = reloaded.Discovery
	return nil
}
