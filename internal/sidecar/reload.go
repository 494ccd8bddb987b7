package sidecar

import (
	"errors"
	"log/slog"

	"mothridge/internal/operator"
)

// errNoPlatformFile says that a sidecar which the operators' file alone configures has no
// platform's file to read again.
var errNoPlatformFile = errors.New("the operators' file says all of it, and takes a restart")

// reload reads the configuration again: plug-ins and quotas from the operators' file,
// discovery's address from the platform's. What cannot be used is logged and changes nothing.
func (s *service) reload() {
	s.reloadOperatorFile()
	standalone := s.config.Operator.Sidecar != nil
	if standalone && (s.plugins != nil || s.quotas != nil) {
		return // there is no platform's file, and what can be read again was
	}
	before := s.config.Discovery
	if err := s.config.reloadDiscovery(); err != nil {
		slog.Error("configuration: the old one stays in force", "err", err)
		return
	}
	if s.config.Discovery != before && s.discovery != nil {
		s.discovery.SetAddress(s.config.Discovery)
	}
}

// reloadOperatorFile takes the plug-ins of the operators' file, all of them or none, and its
// quotas, where there were some at the start. To remove or add the first takes a restart.
func (s *service) reloadOperatorFile() {
	if s.plugins == nil && s.quotas == nil || s.config.Operator.Path() == "" {
		return
	}
	file, err := operator.Load(s.config.Operator.Path())
	if err != nil {
		slog.Error("the operators' file: plug-ins and quotas stay as they were", "err", err)
		return
	}
	if err := s.reloadQuotas(file); err != nil {
		slog.Error("quotas: the old ones stay in force", "err", err)
	}
	if s.plugins == nil {
		return
	}
	if err := s.plugins.Load(pluginSpecs(file)); err != nil {
		slog.Error("plug-ins: the old ones stay in force", "err", err)
		return
	}
	slog.Info("plug-ins were read again", "number", len(file.Plugins))
}

// reloadDiscovery reads the platform's file again and applies discovery's address. The
// environment is that of the start, so here the file alone counts. On an error c stays as it is.
func (c *Config) reloadDiscovery() error {
	if c.path == "" {
		return errNoPlatformFile
	}
	fresh, err := readConfig(c.path)
	if err != nil {
		return err
	}
	if err := fresh.checkDiscovery(); err != nil {
		return err
	}
	c.Discovery = fresh.Discovery
	return nil
}
