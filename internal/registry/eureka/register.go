package eureka

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Registration is what a Registrar keeps to. Zeros take the defaults.
type Registration struct {
	Replicas []string // base URLs in order of preference
	App      string
	VIP      string
	Addr     string // address and port where clients connect
	Metadata map[string]string
	Renew    time.Duration
	Timeout  time.Duration
	Ready    func() bool // registers as STARTING until it is
}

// DefaultRenew is Eureka's own: a lease runs out after three of them.
const DefaultRenew = 30 * time.Second

// leaveIn bounds what leaving may take: the process is about to end.
const leaveIn = 500 * time.Millisecond

// Registrar keeps this process registered.
type Registrar struct {
	cfg     Registration
	id      string
	host    string
	port    int
	http    *http.Client
	replica int
}

// NewRegistrar makes a Registrar; Run starts it.
func NewRegistrar(c Registration) (*Registrar, error) {
	ap, err := netip.ParseAddrPort(c.Addr)
	if err != nil {
		return nil, fmt.Errorf("eureka: register %q: %w", c.Addr, err)
	}
	if len(c.Replicas) == 0 || c.App == "" {
		return nil, errors.New("eureka: register: a replica and the app's name are needed")
	}
	if c.Renew == 0 {
		c.Renew = DefaultRenew
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	for i := range c.Replicas {
		c.Replicas[i] = strings.TrimRight(c.Replicas[i], "/")
	}
	host := ap.Addr().String()
	return &Registrar{
		cfg: c, host: host, port: int(ap.Port()), id: host + ":" + c.App + ":" + strconv.Itoa(int(ap.Port())),
		http: &http.Client{Timeout: c.Timeout, Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: c.Timeout, KeepAlive: -1}).DialContext, MaxConnsPerHost: 1, IdleConnTimeout: 2 * c.Renew,
		}},
	}, nil
}

// ID is the instance id that it registers under.
func (r *Registrar) ID() string { return r.id }

// Run registers and renews until leave is done. Then it takes itself out of
// service and deregisters, within half a second.
func (r *Registrar) Run(leave context.Context) {
	defer r.http.CloseIdleConnections()
	status, failed, tried := "", false, false
	for leave.Err() == nil {
		want := "STARTING"
		if r.cfg.Ready() {
			want = "UP"
		}
		var err error
		if status != want {
			tried = true // it may be registered from here on, whatever comes back
			err = r.register(leave, want)
		} else if err = r.call(leave, http.MethodPut, "/"+url.PathEscape(r.id)+"?status="+status, nil); errors.Is(err, statusError(http.StatusNotFound)) {
			slog.Info("eureka: the lease has run out, registering again", "id", r.id)
			err = r.register(leave, want)
		}
		wait := r.cfg.Renew
		switch {
		case leave.Err() != nil:
		case err == nil:
			if failed {
				slog.Info("eureka: registered again", "id", r.id)
			}
			status, failed = want, false
			if want != "UP" {
				wait = min(wait, time.Second)
			}
		default:
			if !failed {
				slog.Warn("eureka: registration failed", "replica", r.cfg.Replicas[r.replica], "err", err)
			}
			status, failed = "", true // another replica may not know of it
			r.replica = (r.replica + 1) % len(r.cfg.Replicas)
			wait = min(wait, time.Second)
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-leave.Done():
		}
		t.Stop()
	}
	if tried {
		r.leave()
	}
}

func (r *Registrar) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveIn)
	defer cancel()
	id := "/" + url.PathEscape(r.id)
	// Those who read the registry between the two should not send here any more.
	if err := r.call(ctx, http.MethodPut, id+"/status?value=OUT_OF_SERVICE", nil); err != nil {
		slog.Warn("eureka: taking out of service failed", "err", err)
	}
	if err := r.call(ctx, http.MethodDelete, id, nil); err != nil {
		slog.Warn("eureka: deregistration failed, the lease will run out", "err", err)
	}
}

func (r *Registrar) register(ctx context.Context, status string) error {
	metadata := r.cfg.Metadata
	if metadata == nil {
		metadata = map[string]string{}
	}
	text, err := json.Marshal(map[string]any{"instance": map[string]any{
		"instanceId": r.id, "hostName": r.host, "app": strings.ToUpper(r.cfg.App), "ipAddr": r.host, "vipAddress": r.cfg.VIP, "status": status,
		"port": map[string]any{"$": r.port, "@enabled": "true"}, "securePort": map[string]any{"$": 443, "@enabled": "false"},
		"dataCenterInfo":     map[string]any{"@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn"},
		"leaseInfo":          map[string]any{"renewalIntervalInSecs": max(1, int(r.cfg.Renew.Seconds())), "durationInSecs": max(3, int(3*r.cfg.Renew.Seconds()))},
		"lastDirtyTimestamp": strconv.FormatInt(time.Now().UnixMilli(), 10),
		"metadata":           metadata,
	}})
	if err != nil {
		return err
	}
	return r.call(ctx, http.MethodPost, "", text)
}

func (r *Registrar) call(ctx context.Context, method, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, r.cfg.Replicas[r.replica]+"/apps/"+url.PathEscape(strings.ToUpper(r.cfg.App))+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Accept", "application/json")
	resp, err := r.http.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	io.CopyN(io.Discard, resp.Body, 64<<10)
	if resp.StatusCode/100 != 2 {
		return statusError(resp.StatusCode)
	}
	return nil
}
