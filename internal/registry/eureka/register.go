package eureka

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// DefaultRenewInterval is Eureka's own default renew interval.
const DefaultRenewInterval = 30 * time.Second

const (
	// renewIntervalsPerLease is the duration of a lease, in renew intervals.
	renewIntervalsPerLease = 3
	// maxRetryInterval bounds the time until the next attempt after a failure, and until the readiness of
	// a STARTING instance is checked again. A shorter renew interval applies instead.
	maxRetryInterval = time.Second
	// deregisterTimeout bounds the deregistration, because the process is about to exit.
	deregisterTimeout = 500 * time.Millisecond
	// maxDrainedBytes bounds how much of a response body is read so that its connection can be reused.
	maxDrainedBytes = 64 << 10
)

// Registration configures a Registrar.
type Registration struct {
	Replicas []string // base URLs, the preferred replica first; required
	App      string   // required
	VIP      string   // VIP address; default: none
	Addr     string   // IP address and port at which clients connect; required
	Metadata map[string]string

	// RenewInterval is the time between renewals of the lease. A lease lasts three renew intervals.
	// Default: DefaultRenewInterval.
	RenewInterval time.Duration

	// Timeout bounds one request, including its response. Default: DefaultTimeout.
	Timeout time.Duration

	// Ready reports whether the instance is ready to serve: its registered status is UP if so, and
	// STARTING if not. Run calls Ready in its own goroutine; Ready must not block. Required.
	Ready func() bool
}

// errIncompleteRegistration is returned for a Registration without replicas or without an app.
var errIncompleteRegistration = errors.New("eureka: register: Replicas and App must not be empty")

// Registrar keeps this process registered in a Eureka registry. The owner starts Run in a goroutine and
// stops it by canceling Run's context. Only that goroutine uses the fields below http.
type Registrar struct {
	cfg  Registration
	id   string
	host string
	port int
	http *http.Client

	replicaIndex int    // index in cfg.Replicas of the replica in use
	status       string // status last registered with the replica in use; empty: the replica may not have the instance
	registered   bool   // at least one replica may have the instance
	failing      bool   // the last attempt failed
}

// NewRegistrar returns a Registrar. It returns an error if the Registration is invalid.
func NewRegistrar(config Registration) (*Registrar, error) {
	addr, err := netip.ParseAddrPort(config.Addr)
	if err != nil {
		return nil, fmt.Errorf("eureka: register: address %q must be an IP address and port: %w", config.Addr, err)
	}
	if len(config.Replicas) == 0 || config.App == "" {
		return nil, errIncompleteRegistration
	}
	if config.RenewInterval == 0 {
		config.RenewInterval = DefaultRenewInterval
	}
	if config.Timeout == 0 {
		config.Timeout = DefaultTimeout
	}
	for i := range config.Replicas {
		config.Replicas[i] = strings.TrimRight(config.Replicas[i], "/")
	}
	host, port := addr.Addr().String(), int(addr.Port())
	return &Registrar{
		cfg:  config,
		host: host,
		port: port,
		id:   host + ":" + config.App + ":" + strconv.Itoa(port),
		http: &http.Client{
			Timeout:   config.Timeout,
			Transport: newTransport(config.Timeout, 2*config.RenewInterval),
		},
	}, nil
}

// ID returns the instance ID of the registration.
func (r *Registrar) ID() string { return r.id }

// Run registers this process and renews the lease until ctx is canceled. Run then deregisters, which takes
// at most half a second, and returns.
func (r *Registrar) Run(ctx context.Context) {
	defer r.http.CloseIdleConnections()
	for ctx.Err() == nil {
		status := "STARTING"
		if r.cfg.Ready() {
			status = "UP"
		}
		err := r.registerOrRenew(ctx, status)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			r.failover(err)
		} else {
			r.recordSuccess(status)
		}
		wait := r.cfg.RenewInterval
		if r.status != "UP" {
			wait = min(wait, maxRetryInterval)
		}
		sleep(ctx, wait)
	}
	if r.registered {
		r.deregister()
	}
}

// registerOrRenew renews the lease, or registers if the replica in use does not have the instance with this
// status.
func (r *Registrar) registerOrRenew(ctx context.Context, status string) error {
	if r.status != status {
		r.registered = true // even after an error: the replica may have processed the request
		return r.register(ctx, status)
	}
	err := r.sendRequest(ctx, http.MethodPut, r.instancePath()+"?status="+status, nil)
	if errors.Is(err, statusError(http.StatusNotFound)) {
		slog.Info("eureka: lease not found; registering again", "id", r.id)
		return r.register(ctx, status)
	}
	return err
}

func (r *Registrar) recordSuccess(status string) {
	if r.failing {
		slog.Info("eureka: registration succeeded after failures", "id", r.id)
	}
	r.status, r.failing = status, false
}

// failover selects the next replica after a failure. The new replica may not have the instance, so the next
// attempt registers again.
func (r *Registrar) failover(err error) {
	if !r.failing {
		slog.Warn("eureka: registration or renewal failed; trying the next replica", "replica", r.cfg.Replicas[r.replicaIndex], "err", err)
	}
	r.status, r.failing = "", true
	r.replicaIndex = (r.replicaIndex + 1) % len(r.cfg.Replicas)
}

// deregister sets the status to OUT_OF_SERVICE and then removes the instance. The status keeps clients that
// read the registry between the two calls from sending requests to this process. deregister uses a new
// context because Run's context is already canceled.
func (r *Registrar) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := r.sendRequest(ctx, http.MethodPut, r.instancePath()+"/status?value=OUT_OF_SERVICE", nil); err != nil {
		slog.Warn("eureka: setting status OUT_OF_SERVICE failed", "err", err)
	}
	if err := r.sendRequest(ctx, http.MethodDelete, r.instancePath(), nil); err != nil {
		slog.Warn("eureka: deregistration failed; the instance stays registered until its lease expires", "err", err)
	}
}

func (r *Registrar) register(ctx context.Context, status string) error {
	body, err := r.registrationBody(status)
	if err != nil {
		return err
	}
	return r.sendRequest(ctx, http.MethodPost, "", body)
}

// registrationBody returns the JSON body of a registration, as defined by Eureka's REST API.
func (r *Registrar) registrationBody(status string) ([]byte, error) {
	metadata := r.cfg.Metadata
	if metadata == nil {
		metadata = map[string]string{}
	}
	renewSeconds := r.cfg.RenewInterval.Seconds()
	return json.Marshal(map[string]any{"instance": map[string]any{
		"instanceId": r.id,
		"hostName":   r.host,
		"app":        r.appName(),
		"ipAddr":     r.host,
		"vipAddress": r.cfg.VIP,
		"status":     status,
		"port":       map[string]any{"$": r.port, "@enabled": "true"},
		"securePort": map[string]any{"$": 443, "@enabled": "false"},
		"dataCenterInfo": map[string]any{
			"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo",
			"name":   "MyOwn",
		},
		"leaseInfo": map[string]any{
			"renewalIntervalInSecs": max(1, int(renewSeconds)),
			"durationInSecs":        max(renewIntervalsPerLease, int(renewIntervalsPerLease*renewSeconds)),
		},
		"lastDirtyTimestamp": strconv.FormatInt(time.Now().UnixMilli(), 10),
		"metadata":           metadata,
	}})
}

func (r *Registrar) appName() string { return strings.ToUpper(r.cfg.App) }

// instancePath returns the path of the instance, relative to the path of its app.
func (r *Registrar) instancePath() string { return "/" + url.PathEscape(r.id) }

// sendRequest sends a request to a path relative to the path of the app, on the replica in use. It returns a
// statusError if the status of the response is not 2xx.
func (r *Registrar) sendRequest(ctx context.Context, method, path string, body []byte) error {
	requestURL := r.cfg.Replicas[r.replicaIndex] + "/apps/" + url.PathEscape(r.appName()) + path
	request, err := http.NewRequestWithContext(ctx, method, requestURL, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Accept", "application/json")
	response, err := r.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	// If draining the body fails, the connection is just not reused.
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainedBytes)
	if response.StatusCode/100 != 2 {
		return statusError(response.StatusCode)
	}
	return nil
}
